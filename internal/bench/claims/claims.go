package claims

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/internal/bench/report"
	"github.com/turmericshunt/turmericshunt/internal/order"
	"github.com/turmericshunt/turmericshunt/internal/platform"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/internal/service"
	standin "github.com/turmericshunt/turmericshunt/internal/standin/platform"
	"github.com/turmericshunt/turmericshunt/pkg/platformapi"
)

const (
	hostCount          = 20
	orderCount         = 2000
	responseBytes      = 200
	deadline           = 10 * time.Second
	ordersPerLoss      = 50    // orders per injected loss of write responses
	writesPerOrder     = 2     // one for the claim, one for its outcome
	leaseWritesPerHost = 1     // lease writes of each host, one per part of the retention
	storeWriteRate     = 400.0 // writes that the store takes per second
)

// countingService is a service that always succeeds and counts how often it runs the order of each key.
type countingService struct {
	mu   sync.Mutex
	runs map[string]int
}

// Do counts a run of the key in the call's body and returns status 200.
func (c *countingService) Do(_ context.Context, call *service.Call) (service.Response, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[string(call.Body)]++
	return service.Response{Status: http.StatusOK, Body: make([]byte, responseBytes)}, nil
}

// fleet is a set of hosts that share a store and a service.
type fleet struct {
	store   *standin.Server
	service *countingService
	runners []*order.Runner
}

func newFleet(n int) *fleet {
	f := &fleet{store: &standin.Server{}, service: &countingService{runs: make(map[string]int)}}
	for i := range n {
		name := fmt.Sprintf("e%d", i)
		f.runners = append(f.runners, &order.Runner{
			Store: &platform.Client{
				Endpoint: netip.AddrPortFrom(netip.IPv4Unspecified(), 1), Host: name,
				HTTPClient: &http.Client{Transport: &standin.InProcess{Server: f.store}},
			},
			Services: f.service, Owners: f, Host: protocol.Host{Name: name, Incarnation: 1},
		})
	}
	return f
}

// AttemptRunning reports whether the attempt is running at its host; it fails if the fleet has no such host.
func (f *fleet) AttemptRunning(_ context.Context, id protocol.AttemptID) (bool, error) {
	for _, r := range f.runners {
		if r.Host.Name == id.Host {
			return r.Running(id), nil
		}
	}
	return false, errors.Errorf("unknown host %q", id.Host)
}

// sendOrder sends the order with the given number through a host, writes its outcome to the store and reports whether
// both succeeded.
func (f *fleet) sendOrder(host, number int) bool {
	r := f.runners[host%len(f.runners)]
	key := fmt.Sprint(number)
	ctx := context.Background()
	_, err := r.Do(ctx, &order.Request{
		Workspace: "w", Key: key, Service: "s", Method: http.MethodPost, Path: "/", Body: []byte(key),
		Deadline: time.Now().Add(deadline),
	})
	return err == nil && r.Flush(ctx) == nil
}

// secondRuns returns the number of runs beyond the first run of each order.
func (f *fleet) secondRuns() int {
	n := 0
	for _, runs := range f.service.runs {
		n += runs - 1
	}
	return n
}

// Run measures the store calls of orders and compares the strategies for writing claims.
func Run(r *report.Report) {
	measureFaultless(r)
	measureResends(r)
	measureLostResponses(r)
	compareCommits(r)
}

// measureFaultless counts the store calls of orders while nothing fails.
func measureFaultless(r *report.Report) {
	const name = "orders without faults"
	f := newFleet(hostCount)
	failed := 0
	for i := range orderCount {
		if !f.sendOrder(i, i) {
			failed++
		}
	}
	calls := f.store.Calls()
	perOrder := float64(calls.Writes) / orderCount
	r.AtMost("claims_failed", name, "orders", float64(failed), 0)
	r.AtMost("claims_second_runs", name, "runs", float64(f.secondRuns()), 0)
	r.AtMost("claims_store_writes", name, "writes/order", perOrder,
		writesPerOrder+leaseWritesPerHost*float64(hostCount)/orderCount)
	r.AtMost("claims_store_reads", name, "reads/order", float64(calls.Reads)/orderCount, 0)
	r.Add("claims_rate", name+fmt.Sprintf(" at %g store writes/s", storeWriteRate), "orders/s", storeWriteRate/perOrder)
}

// measureResends counts the store calls that it takes to send each order a second time, through another host.
func measureResends(r *report.Report) {
	const name = "resend at another host"
	f := newFleet(hostCount)
	for i := range orderCount {
		f.sendOrder(i, i)
	}
	before := f.store.Calls()
	failed := 0
	for i := range orderCount {
		if !f.sendOrder(i+1, i) {
			failed++
		}
	}
	after := f.store.Calls()
	r.AtMost("claims_failed", name, "orders", float64(failed), 0)
	r.AtMost("claims_second_runs", name, "runs", float64(f.secondRuns()), 0)
	r.Add("claims_store_writes", name, "writes/order", float64(after.Writes-before.Writes)/orderCount)
	r.Add("claims_store_reads", name, "reads/order", float64(after.Reads-before.Reads)/orderCount)
}

// measureLostResponses counts the store calls of orders while the store loses the responses to some writes: in turn
// that to the claim, and those to the claim and the outcome.
func measureLostResponses(r *report.Report) {
	const name = "lost write answers"
	f := newFleet(1)
	f.sendOrder(0, -1) // acquires the host's lease, so that its write isn't counted
	before := f.store.Calls()
	failed := 0
	for i := range orderCount {
		if i%ordersPerLoss == 0 {
			f.store.SetFaults(platformapi.Faults{LoseWriteAnswers: 1 + i/ordersPerLoss%2})
		}
		if !f.sendOrder(0, i) {
			failed++
		}
	}
	calls := f.store.Calls()
	r.AtMost("claims_failed", name, "orders", float64(failed), 0)
	r.AtMost("claims_second_runs", name, "runs", float64(f.secondRuns()), 0)
	r.Add("claims_store_writes", name, "writes/order", float64(calls.Writes-before.Writes)/orderCount)
	r.Add("claims_store_reads", name, "reads/order", float64(calls.Reads-before.Reads)/orderCount)
}
