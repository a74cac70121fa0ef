package main

import (
	"net/http"
	"strings"
	"time"
)

const (
	// The limit of the second version, and the length of the header field that callers send under it.
	raisedHeaderBytes = 131072
	longFieldBytes    = 90_000
	longRequests      = 40
	applyTime         = 2 * time.Second // configApplyMs
)

// longHeader raises the limit of a request's head, and then sends heads between the old limit and the new one. The rule allows 5 and
// one in 500 of all requests to be ended with a 4xx though they are proper.
func longHeader(w *world, trouble bool) (bool, error) {
	w.configure(1, 16384)
	for _, id := range []string{"i-0", "i-1", "i-2"} {
		if _, err := w.newReplica(id, "zone-b", func(request string, _ time.Time) { w.note("%s runs %s", id, request) }); err != nil {
			return false, err
		}
	}
	var hosts []*host
	for _, name := range []string{"front-1", "front-2"} {
		h, err := newHost(name, "zone-b", 0.272)
		if err != nil {
			return false, err
		}
		hosts = append(hosts, h)
	}
	if err := w.start(hosts); err != nil {
		return false, err
	}
	if err := w.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	header := make(http.Header)
	if trouble {
		w.configure(2, raisedHeaderBytes)
		header.Set("Prompt-Note", strings.Repeat("x", longFieldBytes))
	}
	time.Sleep(2 * applyTime)
	statuses := w.batch("call", hosts, longRequests, header)
	denied, all := 0, 0
	for status, n := range statuses {
		all += n
		if status >= 300 && status < 500 && status != 408 && status != 421 && status != 429 {
			denied += n
		}
	}
	w.note("statuses: %v; %d of %d requests were denied", statuses, denied, all)
	return float64(denied) <= 5+float64(all)/500, nil
}
