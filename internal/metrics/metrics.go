package metrics

import (
	"io"
	"net/http"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is how often the scope passes its values to the Prometheus registry.
const reportInterval = time.Second

// timeBuckets are the upper bounds of the histogram buckets for durations, in seconds.
var timeBuckets = []float64{
	0.001, 0.002, 0.005, 0.01, 0.02, 0.028, 0.05, 0.1, 0.2, 0.5, 1.1, 2, 5, 10, 20, 60, 180, 600,
}

// Root is the root scope of a host's metrics together with the handler that serves them.
type Root struct {
	Scope   tally.Scope  // parent of all scopes of the host
	Handler http.Handler // serves the metrics in Prometheus text format
	closer  io.Closer    // closes Scope
}

// New returns a root whose metric names start with turmericshunt. Each root has a registry of its own.
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

// Close passes the last values to the registry and stops reporting; Handler goes on serving them.
func (r *Root) Close() { _ = r.closer.Close() }
