package main

import (
	"fmt"
	"net/http"
	"os"
	"time"
)

// The case blamed: a part begins to crash replicas after prompts with it were served. The prompts of its caller all begin with
// the same part; the sound ones among them come in batches. Another caller's prompts come beside them.
const (
	blamedQuiet         = 30 * time.Second
	blamedOnset         = 1200 * time.Millisecond // from the batch at the end of blamedQuiet until the part crashes replicas
	blamedTrouble       = 50 * time.Second        // from blamedQuiet to the end
	blamedBatchInterval = 5 * time.Second         // from one batch of sound prompts to the next
	blamedBatch         = 5                       // sound prompts
	blamedBadInterval   = 500 * time.Millisecond  // between two prompts with the part
	blamedOtherInterval = 300 * time.Millisecond  // between two prompts of the other caller
	blamedStart         = 6 * time.Second         // from the start of the hosts to the first prompt
	blamedStep          = 10 * time.Millisecond
	blamedLeast         = 20         // sound requests of each kind from which on the rule judges
	blamedFirst         = "f1250019" // part with which the caller's prompts begin, unless FIRST is set
	blamedOtherFirst    = "07e407e4" // the same for the other caller
)

// soundRequests is when sound requests were sent, and which of them reached a replica at their only attempt.
type soundRequests struct {
	q       *quickClients // its mutex guards the maps
	sentAt  map[string]time.Time
	arrived map[string]bool
}

func (s *soundRequests) sent(id string) {
	s.q.mu.Lock()
	defer s.q.mu.Unlock()
	s.sentAt[id] = time.Now()
}

func (s *soundRequests) arrives(r *http.Request) {
	s.q.mu.Lock()
	defer s.q.mu.Unlock()
	s.arrived[r.Header.Get("Request-Id")] = true
}

// share returns how many sound requests were sent between two times, and how many of these reached a replica.
func (s *soundRequests) share(from, to time.Time) (begun, sent int) {
	s.q.mu.Lock()
	defer s.q.mu.Unlock()
	for id, at := range s.sentAt {
		if at.Before(from) || !at.Before(to) {
			continue
		}
		sent++
		if s.arrived[id] {
			begun++
		}
	}
	return begun, sent
}

// ticker tells when something is due that recurs.
type ticker struct {
	next     time.Time
	interval time.Duration
}

// due reports whether it is due, and sets the next time if so.
func (t *ticker) due() bool {
	if time.Now().Before(t.next) {
		return false
	}
	t.next = t.next.Add(t.interval)
	return true
}

func blamed(w *world) (bool, error) {
	bad := &badArrivals{}
	q := &quickClients{w: w, results: make(map[string]int)}
	sound := &soundRequests{q: q, sentAt: make(map[string]time.Time), arrived: make(map[string]bool)}
	var crashFrom time.Time
	crashes := func() bool { return w.trouble && !crashFrom.IsZero() && time.Now().After(crashFrom) }
	if err := w.startEnginesWith(crashes, sound.arrives, bad); err != nil {
		return false, err
	}
	quick := route("quick", "/quick/", "streaming", "quote-llm", 10000, 2)
	quick["resumable"] = true
	w.putJSON("op/config", configuration(1, quick))
	if err := w.addHosts(3); err != nil {
		return false, err
	}
	began := time.Now().Add(blamedStart)
	crashFrom = began.Add(blamedQuiet + blamedOnset)
	if err := w.startAll(); err != nil {
		return false, err
	}
	time.Sleep(time.Until(began))
	w.note("the part crashes replicas from %.1f s on: %v", crashFrom.Sub(w.began).Seconds(), w.trouble)
	w.sendForBlame(q, sound, began)
	return w.judgeBlame(q, sound, bad, began, crashFrom)
}

// sendForBlame sends the prompts of both callers until all have ended.
func (w *world) sendForBlame(q *quickClients, sound *soundRequests, began time.Time) {
	first := blamedFirst
	if f := os.Getenv("FIRST"); f != "" {
		first = f // to compare
	}
	batches := &ticker{next: began, interval: blamedBatchInterval}
	bads := &ticker{next: began, interval: blamedBadInterval}
	others := &ticker{next: began, interval: blamedOtherInterval}
	for i := 0; time.Since(began) < blamedQuiet+blamedTrouble; i++ {
		h := w.hosts[i%len(w.hosts)]
		if batches.due() {
			for j := range blamedBatch {
				id := fmt.Sprintf("50%04x%02x", i, j)
				sound.sent(id)
				q.startWith(id, "sound", first+":40,"+id+":2000", w.hosts[j%len(w.hosts)])
			}
		}
		if bads.due() {
			id := fmt.Sprintf("bb%06x", i)
			q.startWith(id, "bad", first+":40,"+badPart+":40,"+id+":2000", h)
		}
		if others.due() {
			id := fmt.Sprintf("0c%06x", i)
			q.startFor(otherKey, id, "other", blamedOtherFirst+":40,"+id+":2000", h)
		}
		time.Sleep(blamedStep)
	}
	q.wg.Wait()
}

// judgeBlame compares how often sound requests began before the part crashed replicas and later than twice stableWindow after
// the fifth crash.
func (w *world) judgeBlame(q *quickClients, sound *soundRequests, bad *badArrivals, began, crashFrom time.Time) (bool, error) {
	from := crashFrom.Add(2 * stableWindow)
	if n := bad.count(); n > 0 {
		from = bad.crashes[min(n, crashesBefore)-1].Add(2 * stableWindow)
	}
	before, sentBefore := sound.share(began, began.Add(blamedQuiet))
	after, sentAfter := sound.share(from, began.Add(blamedQuiet+blamedTrouble))
	w.note("sum: %d crashes; of sound requests %d of %d began before them, and %d of %d from %v after the fifth; clients: %v",
		bad.count(), before, sentBefore, after, sentAfter, 2*stableWindow, q.results)
	if sentBefore < blamedLeast || sentAfter < blamedLeast {
		return false, fmt.Errorf("fewer than %d sound requests", blamedLeast)
	}
	if !w.trouble && (bad.count() > 0 || after < sentAfter) {
		return false, fmt.Errorf("without the disruption: %v", q.results)
	}
	return float64(after)/float64(sentAfter) < float64(before)/float64(sentBefore)/2, nil
}
