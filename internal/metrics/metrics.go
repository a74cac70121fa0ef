package metrics

import (
	"io"
	"net/http"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

const reportInterval = time.Second

// Upper bounds of the buckets for times, in seconds.
var timeBuckets = []float64{
	0.001, 0.002, 0.005, 0.01, 0.02, 0.028, 0.05, 0.1, 0.2, 0.5, 1.1, 2, 5, 10, 20, 60, 180, 600,
}

// Root holds the root scope and what serves its metrics.
type Root struct {
	Scope   tally.Scope
	Handler http.Handler
	closer  io.Closer
}

// New makes a root whose names start with turmericshunt.
func New() *Root {
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer:              registry,
		Gatherer:                registry,
		DefaultTimerType:        prometheus.HistogramTimerType,
		DefaultHistogramBuckets: timeBuckets,
		OnRegisterError:         func(error) {},
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "turmericshunt",
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Root{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close reports the last values and ends reporting.
func (r *Root) Close() { _ = r.closer.Close() }
