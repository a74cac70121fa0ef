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
	hosts          = 20
	orders         = 2000
	answerBytes    = 200
	deadline       = 10 * time.Second
	lossPeriod     = 50 // one write answer is lost in this many orders
	writesPerOrder = 2  // the claim and its outcome
	leaseWrites    = 1  // per host and part of the retention
	storeWrites    = 400.0
)

// counted is a plain service that counts the runs of each key.
type counted struct {
	mu   sync.Mutex
	runs map[string]int
}

// Do runs a call.
func (c *counted) Do(_ context.Context, call *service.Call) (service.Answer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[string(call.Body)]++
	return service.Answer{Status: http.StatusOK, Body: make([]byte, answerBytes)}, nil
}

// fleet is a number of hosts that share a store and a service.
type fleet struct {
	store   *standin.Server
	service *counted
	runners []*order.Runner
}

func newFleet(n int) *fleet {
	f := &fleet{store: &standin.Server{}, service: &counted{runs: make(map[string]int)}}
	for i := range n {
		name := fmt.Sprintf("e%d", i)
		f.runners = append(f.runners, &order.Runner{
			Store: &platform.Client{
				Endpoint: netip.AddrPortFrom(netip.IPv4Unspecified(), 1), Host: name,
				HTTP: &http.Client{Transport: &standin.InProcess{Server: f.store}},
			},
			Services: f.service, Owners: f, Host: protocol.Host{Name: name, Incarnation: 1},
		})
	}
	return f
}

// Running asks the runner of an attempt's host.
func (f *fleet) Running(_ context.Context, id protocol.AttemptID) (bool, error) {
	for _, r := range f.runners {
		if r.Host.Name == id.Host {
			return r.Running(id), nil
		}
	}
	return false, errors.Errorf("unknown host %q", id.Host)
}

// send sends an order with the given number at a host and waits until its outcome is written.
func (f *fleet) send(host, number int) bool {
	r := f.runners[host%len(f.runners)]
	key := fmt.Sprint(number)
	ctx := context.Background()
	_, err := r.Do(ctx, &order.Request{
		Workspace: "w", Key: key, Service: "s", Method: http.MethodPost, Path: "/", Body: []byte(key),
		Deadline: time.Now().Add(deadline),
	})
	return err == nil && r.Flush(ctx) == nil
}

// secondRuns counts the runs beyond the first one of each order.
func (f *fleet) secondRuns() int {
	n := 0
	for _, runs := range f.service.runs {
		n += runs - 1
	}
	return n
}

// Run records the figures of all measurements of claims.
func Run(r *report.Report) {
	plain(r)
	resends(r)
	lostAnswers(r)
	commits(r)
}

// plain counts the calls of orders without faults.
func plain(r *report.Report) {
	const name = "orders without faults"
	f := newFleet(hosts)
	failed := 0
	for i := range orders {
		if !f.send(i, i) {
			failed++
		}
	}
	calls := f.store.Calls()
	perOrder := float64(calls.Writes) / orders
	r.AtMost("claims_failed", name, "orders", float64(failed), 0)
	r.AtMost("claims_second_runs", name, "runs", float64(f.secondRuns()), 0)
	r.AtMost("claims_store_writes", name, "writes/order", perOrder, writesPerOrder+leaseWrites*float64(hosts)/orders)
	r.AtMost("claims_store_reads", name, "reads/order", float64(calls.Reads)/orders, 0)
	r.Add("claims_rate", name+fmt.Sprintf(" at %g store writes/s", storeWrites), "orders/s", storeWrites/perOrder)
}

// resends counts the calls of a second sending of each order at another host.
func resends(r *report.Report) {
	const name = "resend at another host"
	f := newFleet(hosts)
	for i := range orders {
		f.send(i, i)
	}
	before := f.store.Calls()
	failed := 0
	for i := range orders {
		if !f.send(i+1, i) {
			failed++
		}
	}
	after := f.store.Calls()
	r.AtMost("claims_failed", name, "orders", float64(failed), 0)
	r.AtMost("claims_second_runs", name, "runs", float64(f.secondRuns()), 0)
	r.Add("claims_store_writes", name, "writes/order", float64(after.Writes-before.Writes)/orders)
	r.Add("claims_store_reads", name, "reads/order", float64(after.Reads-before.Reads)/orders)
}

// lostAnswers loses the answers of some orders' writes: of the claim, or of the claim and the outcome.
func lostAnswers(r *report.Report) {
	const name = "lost write answers"
	f := newFleet(1)
	f.send(0, -1) // fetches the lease
	before := f.store.Calls()
	failed := 0
	for i := range orders {
		if i%lossPeriod == 0 {
			f.store.SetFaults(platformapi.Faults{LoseWriteAnswers: 1 + i/lossPeriod%2})
		}
		if !f.send(0, i) {
			failed++
		}
	}
	calls := f.store.Calls()
	r.AtMost("claims_failed", name, "orders", float64(failed), 0)
	r.AtMost("claims_second_runs", name, "runs", float64(f.secondRuns()), 0)
	r.Add("claims_store_writes", name, "writes/order", float64(calls.Writes-before.Writes)/orders)
	r.Add("claims_store_reads", name, "reads/order", float64(calls.Reads-before.Reads)/orders)
}
