package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/call"
	"github.com/turmericshunt/turmericshunt/internal/steady"
)

// Guards against REFUSED: a replica runs a request that must not be repeated and answers with a status that promises callers that
// it was not run, so that they send it again. Other statuses, and responses to requests that may be repeated, stay as they are.
func TestResponseOfRunRequestPromisesNothing(t *testing.T) {
	statuses := map[int]int{ // what the caller gets for what the replica has answered
		http.StatusRequestTimeout: http.StatusBadGateway, http.StatusMisdirectedRequest: http.StatusBadGateway,
		http.StatusTooManyRequests: http.StatusBadGateway, http.StatusServiceUnavailable: http.StatusBadGateway,
		http.StatusOK: http.StatusOK, http.StatusNotFound: http.StatusNotFound, http.StatusConflict: http.StatusConflict,
		http.StatusInternalServerError: http.StatusInternalServerError, http.StatusGatewayTimeout: http.StatusGatewayTimeout,
	}
	for status, never := range statuses {
		for mode, want := range map[call.RetryMode]int{call.RetryNever: never, call.RetryFromStart: status} {
			for _, stream := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d, retry %v, stream %v", status, mode, stream), func(t *testing.T) {
					r, _, replicas := statingWorld(t, status, http.Header{"X-Own": {"1"}})
					exhaustBudget(r)
					w := httptest.NewRecorder()
					r.Serve(context.Background(), w, &call.Call{
						ID: "r1", Method: http.MethodPost, Host: "shop.example", Target: "/x", Received: steady.Now(),
						Service: "desk", Header: http.Header{"Request-Id": {"r1"}}, CallerTimeout: 5 * time.Second,
						RouteTimeout: 5 * time.Second, RetryMode: mode, Stream: stream && status != http.StatusOK, MaxAttempts: 3,
					})
					if w.Code != want || replicas[0].requests != 1 || replicas[1].requests != 0 {
						t.Errorf("status %d, want %d; the replicas got %d and %d requests", w.Code, want, replicas[0].requests,
							replicas[1].requests)
					}
					own := w.Code != status
					if signed := w.Header().Get("Response-Signature") != ""; signed == own || (w.Header().Get("X-Own") == "") != own {
						t.Errorf("headers %v of status %d", w.Header(), w.Code)
					}
					if id := w.Header().Get("Request-Id"); id != "r1" {
						t.Errorf("the response is to request %q", id)
					}
				})
			}
		}
	}
}
