//go:build soak

package soak

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/standin/replica"
)

const (
	crashingPart    = "bad0"
	soundMiddlePart = "50d0"
	callerGroups    = 3                         // groups of requests that share the first part of their prompts
	brokenShare     = 0.15                      // share of requests that meet the fault of setBroken
	gracePeriod     = 5 * time.Second           // setting gracePeriodS
	graceUsable     = gracePeriod * 5 / 6       // a host may cut off responses after it
	lossSlack       = 200 * time.Millisecond    // until a host must have answered, refused or passed on what it has read
	settleTime      = responseSlack             // after a disruption of a host, until its requests are checked again
	firstNewFault   = replica.FaultAskPause + 1 // of those that setBroken draws
	newFaultCount   = replica.FaultEndlessBody - replica.FaultAskPause
)

func isCrashingPart(part string) bool { return part == crashingPart }

// promptParts returns the parts of a request's prompt: one that its caller group shares, middle and its own.
func promptParts(k requestKind, id, middle string) string {
	var number, prompt, output int
	_, _ = fmt.Sscanf(id, "r%d", &number)
	_, _ = fmt.Sscanf(k.tokenUsage, "%d,%d", &prompt, &output)
	return fmt.Sprintf("%x:%d,%s:%d,%x:%d", 0xa0+number%callerGroups, prompt/2, middle, prompt/4, 0x10000+number,
		prompt-prompt/2-prompt/4)
}

// setBroken sets a fault that a share of brokenShare of the requests meet; FaultNone ends it.
func (d *deployment) setBroken(f replica.Fault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.brokenFault, d.brokenShare = f, brokenShare
	if f == replica.FaultNone {
		d.brokenShare = 0
	}
}

// startBrokenReplicas starts the faults of replicas that are newer than inject, and series of signals to hosts. They
// draw from random sources of their own, so that inject draws the same faults as ever.
func (c *checker) startBrokenReplicas(seed uint64, wg *sync.WaitGroup) {
	end := time.Now().Add(*faultDuration)
	stop := make(chan struct{})
	time.AfterFunc(*faultDuration, func() { close(stop) })
	for i, inject := range []func(*rand.Rand){
		func(r *rand.Rand) { c.injectBrokenResponses(r, end) },
		func(r *rand.Rand) { c.injectCrashes(r, stop) },
		func(r *rand.Rand) { c.injectSignals(r, end) },
	} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			inject(rand.New(rand.NewPCG(seed, 5+uint64(i))))
		}()
	}
}

// injectBrokenResponses lets replicas fall silent, omit lengths, end inside an event or send bytes without end.
func (c *checker) injectBrokenResponses(random *rand.Rand, end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(time.Duration(200+random.IntN(1500)) * time.Millisecond)
		c.deployment.setBroken(firstNewFault + replica.Fault(random.IntN(int(newFaultCount))))
		time.Sleep(time.Duration(300+random.IntN(1200)) * time.Millisecond)
		c.deployment.setBroken(replica.FaultNone)
	}
}

// injectCrashes sends requests, no two alike, with a part in their prompts on which replicas crash, until stop is closed.
// Nothing is expected of their responses.
func (c *checker) injectCrashes(random *rand.Rand, stop <-chan struct{}) {
	d := c.deployment
	c.senders = make(map[string]*host)
	var all sync.WaitGroup
	defer all.Wait()
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(100+random.IntN(700)) * time.Millisecond):
		}
		k := append(kinds[:2:2], longKinds...)[random.IntN(2+len(longKinds))]
		id := fmt.Sprintf("r%d", c.ids.Add(1))
		h := d.hosts[random.IntN(len(d.hosts))]
		req := newRequest(h, k, id, d.newestKey(), crashingPart)
		c.senders[id] = h
		all.Add(1)
		go func() {
			defer all.Done()
			if resp, err := newClient().Do(req); err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
		}()
	}
}

// injectSignals sends hosts series of reloads and stops that overlap.
func (c *checker) injectSignals(random *rand.Rand, end time.Time) {
	var all sync.WaitGroup
	for time.Now().Before(end) {
		time.Sleep(time.Duration(1500+random.IntN(3000)) * time.Millisecond)
		h := c.deployment.hosts[random.IntN(len(c.deployment.hosts))]
		stopped := false
		for range 2 + random.IntN(4) {
			signal := []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM}[random.IntN(2)]
			stopped = stopped || signal == syscall.SIGTERM
			h.signal(signal)
			time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
		}
		if stopped {
			all.Add(1)
			go func() {
				defer all.Done()
				time.Sleep(gracePeriod + restartDelay)
				h.kill()
				c.deployment.start(h)
			}()
		}
	}
	all.Wait()
}

// startKeepAlive starts a client for each host that uses one connection for request after request for as long as the
// host lets it, through the host's stop too.
func (c *checker) startKeepAlive(seed uint64, wg *sync.WaitGroup, stop chan struct{}) {
	for i, h := range c.deployment.hosts {
		wg.Add(1)
		go func() {
			defer wg.Done()
			random := rand.New(rand.NewPCG(seed, 300+uint64(i)))
			client := newClient()
			client.Transport.(*http.Transport).MaxConnsPerHost = 1
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(random.IntN(100)) * time.Millisecond):
				}
				c.send(client, h, kinds[random.IntN(len(kinds))], c.deployment.newestKey())
			}
		}()
	}
}

// newestKey returns the key that is revoked last.
func (d *deployment) newestKey() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return fmt.Sprint("key-", d.configVersion)
}

func newClient() *http.Client {
	return &http.Client{Timeout: callerTimeout + responseSlack, Transport: &http.Transport{DisableCompression: true}}
}

// checkLost checks a request that got no response at all. It fails the test if the host's process had not been started,
// killed or frozen lately, had time left to stop, and has read the request: it passed the request on, or it closed the
// connection a while after the request was sent.
func (c *checker) checkLost(h *host, k requestKind, id string, sent time.Time, err error) {
	closed := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
	if took := time.Since(sent); !closed || took >= k.callerTimeout() {
		return
	}
	attempts := len(c.deployment.requestLog.Requests(id))
	if attempts == 0 && time.Since(sent) < lossSlack || !h.mustRespond(sent) {
		return
	}
	c.deployment.t.Errorf("%s: %s closed the connection without a response after %v, %d attempts had reached replicas: %v",
		id, h.name, time.Since(sent), attempts, err)
}

// mustRespond reports whether the host must respond until now to what it has read since at.
func (h *host) mustRespond(at time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	stopping := !h.stoppedAt.IsZero() && time.Since(h.stoppedAt) > graceUsable
	return h.brokenAt.Before(at.Add(-settleTime)) && !stopping
}
