package main

import (
	"fmt"
	"os"
	"time"
)

const (
	forgottenLearn    = 14 * time.Second // in which requests with the bad part come five times a second
	forgottenAfter    = 45 * time.Second // from the kill of all hosts to the end
	forgottenInterval = 4 * time.Second  // between requests with the bad part after it
	restartDelay      = 300 * time.Millisecond
)

// forgottenQuarantine kills all hosts once they refuse requests with a part that crashes replicas, and starts them again.
func forgottenQuarantine(w *world) (bool, error) {
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
	nextBad := began.Add(2 * time.Second)
	interval := badInterval / 5
	var killed time.Time
	var outOfTouch span
	for i := 0; time.Since(began) < forgottenLearn+forgottenAfter; i++ {
		if killed.IsZero() && time.Since(began) > forgottenLearn {
			killed = time.Now()
			interval = forgottenInterval
			nextBad = killed.Add(stableWindow + time.Second)
			outOfTouch = span{from: killed, to: killed}
			if w.trouble && os.Getenv("KILL") != "0" {
				if err := w.killAll(); err != nil {
					return false, err
				}
				outOfTouch.to = time.Now().Add(stableWindow)
			}
		}
		q.start(fmt.Sprintf("50000%03x", i), "sound", w.hosts[i%len(w.hosts)], -1)
		if time.Now().After(nextBad) {
			nextBad = nextBad.Add(interval)
			q.start(fmt.Sprintf("bb000%03x", i), "bad", w.hosts[(i/7)%len(w.hosts)], 2)
		}
		time.Sleep(soundInterval)
	}
	q.wg.Wait()
	late := bad.late(stableWindow, outOfTouch)
	w.note("sum: %d crashes, %d requests with the bad part later than %v after the fifth (%d allowed); clients: %v", bad.count(),
		late, stableWindow, allowedRequests, q.results)
	if !w.trouble && (bad.count() > 0 || q.results["bad answered"] == 0) {
		return false, fmt.Errorf("without the disruption: %v", q.results)
	}
	return late > allowedRequests, nil
}

// killAll kills all hosts at once, starts them again and waits until they are ready.
func (w *world) killAll() error {
	w.note("SIGKILL to all hosts")
	for _, h := range w.hosts {
		if err := h.command.Process.Kill(); err != nil {
			return err
		}
	}
	for _, h := range w.hosts {
		<-h.ended
	}
	time.Sleep(restartDelay)
	return w.startAll()
}
