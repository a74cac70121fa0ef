package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// plainConfiguration is a configuration with one safe and one unsafe route to a plain service.
func plainConfiguration() map[string]any {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": hostName, "prefix": prefix, "kind": kind, "timeoutMs": 2000, "targetLatencyMs": 300, "priority": 2,
			"service": "order-desk", "maxAttempts": attempts, "public": false,
		}
	}
	return map[string]any{
		"version":  7,
		"routes":   []any{route("lookup", "/lookups/", "safe", 2), route("order", "/orders/", "unsafe", 1)},
		"services": []any{map[string]any{"name": "order-desk", "healthPath": "/health", "maxConnections": 248}},
		"limits":   limits,
		"tenants":  []any{map[string]any{"name": "hule930", "apiKeys": []string{apiKey}}},
	}
}

// optionsCase: a client that doesn't behave asks for the options of the server as a whole, which is a path without a route.
func optionsCase(w *world) (verdict, error) {
	w.store.put("op/config", plainConfiguration())
	if _, err := w.startReplica("i-o1", "order-desk", "", false); err != nil {
		return failed, err
	}
	if err := w.startHosts(1, 206); err != nil {
		return failed, err
	}
	if a := w.call(w.hosts[0], http.MethodGet, "/lookups/1", "lookup", nil, nil, 2*time.Second); a.status != http.StatusOK {
		return failed, fmt.Errorf("an ordinary request got status %d", a.status)
	}
	target := "/nowhere/"
	if trouble() {
		target = "*"
	}
	status, signature, err := w.options(target)
	if err != nil {
		return failed, err
	}
	if status >= 200 && status < 300 && signature == "" {
		return broken, nil
	}
	return held, nil
}

// options sends an OPTIONS request and returns the status and the signature of the answer.
func (w *world) options(target string) (status int, signature string, err error) {
	c, err := net.Dial("tcp", w.hosts[0].front)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	w.record("client sends OPTIONS %s", target)
	_, err = fmt.Fprintf(c, "OPTIONS %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: opt-1\r\nTimeout-Remaining: 2000\r\nAuthorization: Bearer %s\r\n\r\n",
		target, hostName, apiKey)
	if err != nil {
		return 0, "", err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	signature = resp.Header.Get("Response-Signature")
	w.record("client gets %d with signature %q; headers %v", resp.StatusCode, signature, resp.Header)
	return resp.StatusCode, signature, nil
}
