package main

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

const (
	reuseAfter = 2 * time.Second // reuseAfterS
	// A prompt that needs the memory of three of the replicas.
	promptTokens = 650000
	outputTokens = 400
	promptTime   = 15 * time.Second // deadline of such a request
)

// modelService returns the entry of a service of model replicas in the configuration.
func modelService(name string) map[string]any {
	return map[string]any{
		"name": name, "healthPath": "/health", "maxConnections": 819, "engine": map[string]any{
			"slots": slots, "kvTokens": memory, "stride": 51, "step_ms": 0.85, "per_seq_ms": 0.00425, "context_per_k": 0.00285,
			"read_per_s": readPerS, "pairs_per_m": 0, "chunk": 2048, "hopMs": 0.05,
		},
	}
}

// streamRoute returns the entry of a route to a service of model replicas.
func streamRoute(name, prefix, service string) map[string]any {
	return map[string]any{
		"name": name, "host": hostName, "prefix": prefix, "kind": "streaming", "timeoutMs": 15000, "targetLatencyMs": 4000,
		"priority": 1, "service": service, "maxAttempts": 2, "public": false, "sessionAffinity": true, "resumable": true,
		"gapAimMs": 1000,
	}
}

// limits are those of the configuration.
var limits = map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}

// helperCase: a helper replica of one service crashes for good, and its address goes to a replica of another service while its
// entry is still in the store.
func helperCase(w *world) (verdict, error) {
	w.store.put("op/config", map[string]any{
		"version":  7,
		"routes":   []any{streamRoute("tender", "/tender/", "quote-llm"), streamRoute("draft", "/draft/", "draft-llm")},
		"services": []any{modelService("quote-llm"), modelService("draft-llm")},
		"limits":   limits,
		"tenants":  []any{map[string]any{"name": "hule930", "apiKeys": []string{apiKey}}},
	})
	var quotes []*replica
	for n := range 3 {
		r, err := w.startReplica(fmt.Sprintf("i-q%d", n+1), "quote-llm", "", true)
		if err != nil {
			return failed, err
		}
		quotes = append(quotes, r)
	}
	if _, err := w.startReplica("i-d1", "draft-llm", "", true); err != nil {
		return failed, err
	}
	if err := w.startHosts(2, 206); err != nil {
		return failed, err
	}
	time.Sleep(6 * time.Second) // the hosts know each other and the replicas
	if a := w.prompt(0, "before"); a.status != 200 {
		return failed, fmt.Errorf("the request before the disruption got status %d", a.status)
	}
	helper := w.helperOf("before", quotes)
	if helper == nil {
		return failed, errors.New("the prompt before the disruption had no helper")
	}
	time.Sleep(500 * time.Millisecond)
	if trouble() {
		helper.crash()
		time.Sleep(reuseAfter + 50*time.Millisecond)
		if _, err := w.startReplica("i-d2", "draft-llm", helper.address, true); err != nil {
			return failed, err
		}
		time.Sleep(50 * time.Millisecond)
	}
	w.prompt(0, "after")
	return w.judgeServices("quote-llm", "/tender/"), nil
}

// prompt sends a request with a long prompt to a host.
func (w *world) prompt(host int, id string) answer {
	return w.call(w.hosts[host], "POST", "/tender/"+id, id, map[string]string{
		"Model": "m", "Token-Usage": fmt.Sprintf("%d,%d", promptTokens, outputTokens),
		"Prompt-Prefix": fmt.Sprintf("5c1e07a2:40,e4402b7d:%d", promptTokens-40),
	}, strings.NewReader("the whole tender"), promptTime)
}

// helperOf returns one of the replicas that has read a part of the prompt of a request as a helper, nil if none has.
func (w *world) helperOf(id string, replicas []*replica) *replica {
	for _, run := range w.runsOf(id) {
		for _, r := range replicas {
			if run.helper && run.replica == r {
				return r
			}
		}
	}
	return nil
}

// judgeServices returns broken if a replica of another service than the given one has worked on a request under the given path.
func (w *world) judgeServices(service, path string) verdict {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs {
		if strings.HasPrefix(r.path, path) && r.replica.service != service {
			return broken
		}
	}
	return held
}
