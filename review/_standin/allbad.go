package main

import (
	"fmt"
	"time"
)

const (
	allBadTime     = 72 * time.Second // in which requests come
	allBadInterval = 100 * time.Millisecond
)

// allBad sends prompts that all hold a part that crashes replicas, from the first request on.
func allBad(w *world) (bool, error) {
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
	for i := 0; time.Since(began) < allBadTime; i++ {
		h := w.hosts[i%len(w.hosts)]
		q.start(fmt.Sprintf("bb000%03x", i), "bad", h, 2)
		time.Sleep(allBadInterval)
	}
	q.wg.Wait()
	late := bad.late(stableWindow)
	w.note("sum: %d crashes, %d requests with the bad part later than %v after the fifth (%d allowed); clients: %v", bad.count(),
		late, stableWindow, allowedRequests, q.results)
	if !w.trouble && (bad.count() > 0 || q.results["bad answered"] == 0) {
		return false, fmt.Errorf("without the disruption: %v", q.results)
	}
	return late > allowedRequests, nil
}
