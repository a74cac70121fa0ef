package service

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/turmericshunt/turmericshunt/pkg/outcome"
)

// post sends a POST request with an idempotency key and returns the response and its body, or an error if the
// connection broke.
func post(t *testing.T, url, key, body string) (*http.Response, string, error) {
	t.Helper()
	req, _ := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	req.Header.Set(KeyHeader, key)
	req.GetBody = nil // otherwise the transport retries requests that have an idempotency key
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	return resp, string(data), nil
}

// TestOrderFaults checks under the faults Refuse, Leaving and BreakAfterRun, and without faults, that an order gets the
// right response or a broken connection, and whether it ran.
func TestOrderFaults(t *testing.T) {
	tests := []struct {
		name          string
		faults        string
		connectionCut bool
		wantStatus    int
		wantOutcome   string
		wantRuns      string
	}{
		{"none", `{}`, false, http.StatusCreated, "", `{"runs":{"k":1}}`},
		{"refuse", `{"refuse":true}`, false, http.StatusServiceUnavailable, "not_run", `{"runs":{}}`},
		{"leaving", `{"leaving":true}`, false, http.StatusServiceUnavailable, "not_run", `{"runs":{}}`},
		{"break after run", `{"break_after_run":1}`, true, 0, "", `{"runs":{"k":1}}`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := httptest.NewServer((&Service{}).Handler())
			defer server.Close()
			if _, _, err := post(t, server.URL+"/faults", "", tt.faults); err != nil {
				t.Fatal(err)
			}
			resp, _, err := post(t, server.URL+"/orders", "k", `{"item":"mold","quantity":1}`)
			if tt.connectionCut != (err != nil) {
				t.Fatalf("response %v, error %v", resp, err)
			}
			if err == nil && (resp.StatusCode != tt.wantStatus || resp.Header.Get(outcome.Header) != tt.wantOutcome) {
				t.Errorf("response %s with headers %v", resp.Status, resp.Header)
			}
			runs, err := http.Get(server.URL + "/runs")
			if err != nil {
				t.Fatal(err)
			}
			defer runs.Body.Close()
			if got, _ := io.ReadAll(runs.Body); strings.TrimSpace(string(got)) != tt.wantRuns {
				t.Errorf("runs %s, want %s", got, tt.wantRuns)
			}
		})
	}
}
