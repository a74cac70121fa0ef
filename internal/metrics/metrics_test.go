package metrics

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Counters, gauges and timers are served as Prometheus counters, gauges and histograms with the prefix and the tags.
func TestPrometheusOutput(t *testing.T) {
	r := New()
	r.Scope.Counter("requests").Inc(2)
	r.Scope.Gauge("config_revision").Update(3)
	r.Scope.Tagged(map[string]string{"prompt_length": "up_to_4k"}).Timer("first_token").Record(15 * time.Millisecond)
	r.Close()
	w := httptest.NewRecorder()
	r.Handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	lines := []string{
		"# TYPE turmericshunt_requests counter",
		"turmericshunt_requests 2",
		"# TYPE turmericshunt_config_revision gauge",
		"turmericshunt_config_revision 3",
		"# TYPE turmericshunt_first_token histogram",
		`turmericshunt_first_token_bucket{prompt_length="up_to_4k",le="0.01"} 0`,
		`turmericshunt_first_token_bucket{prompt_length="up_to_4k",le="0.02"} 1`,
		`turmericshunt_first_token_count{prompt_length="up_to_4k"} 1`,
	}
	for _, line := range lines {
		if !strings.Contains(w.Body.String(), line+"\n") {
			t.Errorf("the output has no line %q", line)
		}
	}
}

// Two roots in one process count metrics of the same name separately, since each has a registry of its own.
func TestRootsAreIndependent(t *testing.T) {
	first, second := New(), New()
	first.Scope.Counter("requests").Inc(1)
	second.Scope.Counter("requests").Inc(2)
	first.Close()
	second.Close()
	for i, r := range []*Root{first, second} {
		w := httptest.NewRecorder()
		r.Handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		if want := "turmericshunt_requests " + string(rune('1'+i)) + "\n"; !strings.Contains(w.Body.String(), want) {
			t.Errorf("root %d: the output has no line %q", i, want)
		}
	}
}
