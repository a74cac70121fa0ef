package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"time"
)

// The case sessions: the bad part comes in one session after the other, each with a document of its own.
const (
	sessionsLength  = 44 * time.Second
	sessionLength   = 6 * time.Second // of one session whose prompts hold the bad part
	sessionInterval = time.Second     // between two requests of a session
	sharedDocument  = "d0c0d0c0"      // that all requests hold, after the first part
	firstPart       = "f125f125"
)

// sessionParts returns the parts of a prompt: two that all requests share and, in a session, its document and the bad part.
func sessionParts(own string, session int) string {
	parts := firstPart + ":40," + sharedDocument + ":40"
	if session >= 0 {
		parts += fmt.Sprintf(",5e55%04x:40,%s:40", session, badPart)
	}
	return parts + "," + own + ":2000"
}

// startWith sends a prompt with the given parts to a host in the background.
func (q *quickClients) startWith(id, kind, parts string, h *host) {
	q.startFor(apiKey, id, kind, parts, h)
}

// startFor is startWith for the holder of a key.
func (q *quickClients) startFor(key, id, kind, parts string, h *host) {
	q.wg.Go(func() {
		a := send(h.front, &request{
			method: http.MethodPost, path: "/quick/" + id, id: id, key: key, timeout: 10 * time.Second, body: []byte(id),
			header: http.Header{"Model": {"m"}, "Token-Usage": {"2720,300"}, "Prompt-Prefix": {parts}},
		})
		q.w.note("client: %s request %s to %s: %s", kind, id, h.name, a)
		q.mu.Lock()
		defer q.mu.Unlock()
		q.results[fmt.Sprintf("%s status %d, complete %v", kind, a.status, a.complete)]++
	})
}

// badSessions sends sound prompts and, in one session after the other, prompts with the bad part.
func badSessions(w *world) (bool, error) {
	length := sessionLength
	if os.Getenv("SESSIONS") == "1" {
		length = sessionsLength // to compare: one session only
	}
	bad := &badArrivals{}
	if err := w.startEngines(w.trouble, bad); err != nil {
		return false, err
	}
	quick := route("quick", "/quick/", "streaming", "quote-llm", 10000, 2)
	quick["resumable"] = true
	w.putJSON("op/config", configuration(1, quick))
	if err := w.addHosts(3); err != nil {
		return false, err
	}
	if err := w.startAll(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	q := &quickClients{w: w, results: make(map[string]int)}
	began := time.Now()
	next := began.Add(2 * time.Second) // for the first request with the bad part
	for i := 0; time.Since(began) < sessionsLength; i++ {
		q.startWith(fmt.Sprintf("50000%03x", i), "sound", sessionParts(strconv.Itoa(i), -1), w.hosts[i%len(w.hosts)])
		if time.Now().After(next) {
			session := int(time.Since(began) / length)
			id := fmt.Sprintf("bb000%03x", i)
			w.note("client: request %s is of session %d", id, session)
			q.startWith(id, "bad", sessionParts("b"+strconv.Itoa(i), session), w.hosts[(i/7)%len(w.hosts)])
			next = next.Add(sessionInterval)
		}
		time.Sleep(soundInterval)
	}
	q.wg.Wait()
	crashes := bad.count()
	late := bad.late(stableWindow)
	w.note("sum: %d crashes, %d requests with the bad part later than %v after the fifth (%d allowed); clients: %v", crashes,
		late, stableWindow, allowedRequests, q.results)
	if !w.trouble && (crashes > 0 || q.results["bad status 200, complete true"] == 0) {
		return false, fmt.Errorf("without the disruption: %v", q.results)
	}
	return late > allowedRequests, nil
}
