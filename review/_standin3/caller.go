package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	callerHost = "quotes.example"
	callerKey  = "n2ctnfzs989anu6wsjnb"
	deadline   = 4 * time.Second
)

// call sends one request on a new connection and returns the status, 0 if there is no response.
func call(h *host, id string, header http.Header) (status int, signed bool) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.caller+"/lookups/"+id, http.NoBody)
	if err != nil {
		return 0, false
	}
	req.Host = callerHost
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Request-Id", id)
	req.Header.Set("Timeout-Remaining", fmt.Sprint(deadline.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+callerKey)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, false
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, false
	}
	return resp.StatusCode, resp.Header.Get("Response-Signature") != ""
}

// batch sends count requests to each of the hosts within a short time, and returns how often each status came.
func (w *world) batch(name string, hosts []*host, count int, header http.Header) map[int]int {
	var mu sync.Mutex
	var group sync.WaitGroup
	statuses := make(map[int]int)
	for _, h := range hosts {
		for i := range count {
			group.Go(func() {
				id := fmt.Sprintf("%s-%s-%d", name, h.name, i)
				began := time.Now()
				status, signed := call(h, id, header)
				w.note("request %s to %s: status %d, signed %v, after %d ms", id, h.name, status, signed,
					time.Since(began).Milliseconds())
				mu.Lock()
				defer mu.Unlock()
				statuses[status]++
			})
			time.Sleep(5 * time.Millisecond)
		}
	}
	group.Wait()
	return statuses
}

// configure writes a version of the configuration, in the operator's place.
func (w *world) configure(version, maxHeaderBytes int) {
	w.store.Put("op/config", fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"quote-lookup","host":%q,"prefix":"/lookups/",`+
		`"kind":"safe","timeoutMs":4000,"targetLatencyMs":300,"priority":2,"service":"order-desk","maxAttempts":2,"public":false}],`+
		`"services":[{"name":"order-desk","healthPath":"/health","maxConnections":248,"protocol":"h1","tls":false},`+
		`{"name":"quote-calc","healthPath":"/health","maxConnections":248,"protocol":"h1","tls":false}],`+
		`"limits":{"maxHeaderBytes":%d,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},`+
		`"tenants":[{"name":"hule930","apiKeys":[%q],"priority":1}]}`, version, callerHost, maxHeaderBytes, callerKey))
	w.note("configuration %d is acknowledged, maxHeaderBytes %d", version, maxHeaderBytes)
}
