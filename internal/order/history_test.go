package order

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/turmericshunt/turmericshunt/internal/platform"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/internal/service"
	standin "github.com/turmericshunt/turmericshunt/internal/standin/platform"
	"github.com/turmericshunt/turmericshunt/pkg/outcome"
	"github.com/turmericshunt/turmericshunt/pkg/platformapi"
)

const (
	historyHosts       = 3
	historyKeys        = 4
	historySubmissions = 48
	historyDuration    = 60 * time.Second
	unseenResponse     = "?" // the response of a run that no caller has received
)

// simHost is a Runner and the Store and Services that it uses. Once the host has crashed, its new calls have no effect
// and no call returns a result.
type simHost struct {
	*Runner
	store          Store
	services       Services
	crashed        atomic.Bool
	ignoreRevision bool // a swap writes whatever the revision in the store is
}

var errCrashed = errors.New("host has crashed")

func (m *simHost) Get(ctx context.Context, key string) (platformapi.Entry, error) {
	e, err := m.store.Get(ctx, key)
	if m.crashed.Load() {
		return platformapi.Entry{}, &platform.Error{Op: "get", Kind: platform.KindUnavailable, Err: errCrashed}
	}
	return e, err
}

func (m *simHost) CompareAndSwap(ctx context.Context, key string, v []byte, revision uint64, lease string) (uint64,
	error,
) {
	if m.crashed.Load() {
		return 0, &platform.Error{Op: "swap", Kind: platform.KindUnavailable, Err: errCrashed}
	}
	if m.ignoreRevision {
		e, _ := m.store.Get(ctx, key)
		revision = e.Revision
	}
	r, err := m.store.CompareAndSwap(ctx, key, v, revision, lease)
	if m.crashed.Load() {
		return 0, &platform.Error{Op: "swap", Kind: platform.KindOutcomeUnknown, Err: errCrashed}
	}
	return r, err
}

func (m *simHost) GrantLease(ctx context.Context, ttl time.Duration) (platformapi.Lease, error) {
	return m.store.GrantLease(ctx, ttl)
}

func (m *simHost) Do(ctx context.Context, call *service.Call) (service.Response, error) {
	if m.crashed.Load() {
		return service.Response{}, &service.Error{Op: "call", Kind: service.KindNotSent, Err: errCrashed}
	}
	a, err := m.services.Do(ctx, call)
	if m.crashed.Load() {
		return service.Response{}, &service.Error{Op: "call", Kind: service.KindBroken, Err: errCrashed}
	}
	return a, err
}

// historyPeers implements Owners and Peers for the host asker; it asks the hosts that have not crashed.
type historyPeers struct {
	hosts  *[]*simHost
	cutOff *atomic.Bool // no host can be asked
	asker  *simHost
}

func (p historyPeers) AttemptRunning(_ context.Context, id protocol.AttemptID) (bool, error) {
	for _, h := range *p.hosts {
		if h.Host.Name == id.Host && !h.crashed.Load() && !p.cutOff.Load() {
			return h.Running(id), nil
		}
	}
	return false, errors.New("unreachable")
}

func (p historyPeers) SentElsewhere(_ context.Context, key string) (bool, error) {
	if p.cutOff.Load() {
		return false, errors.New("unreachable")
	}
	return slices.ContainsFunc(*p.hosts,
		func(h *simHost) bool { return h != p.asker && !h.crashed.Load() && h.Sent(key) }), nil
}

// historyOptions says how a history is made. ignoreRevision and skipPeers each disable a protection.
type historyOptions struct {
	crash          bool // one host may crash
	ignoreRevision bool // writes ignore the revision
	skipPeers      bool // other hosts are not asked what they have sent
}

// recordHistory makes random submissions under random faults and returns the results that their callers received.
func recordHistory(seed uint64, opts historyOptions) []porcupine.Operation {
	p := &standin.Server{}
	cutOff := new(atomic.Bool)
	var hosts []*simHost
	for i := range historyHosts {
		m := &simHost{ignoreRevision: opts.ignoreRevision, services: &services{respond: unreliableService(seed, i)}}
		m.Runner = newRunner(fmt.Sprintf("e%d", i), p, m, owners{})
		m.store, m.Store, m.Owners, m.Peers = m.Store, m, historyPeers{&hosts, cutOff, m}, historyPeers{&hosts, cutOff, m}
		if opts.skipPeers {
			m.Peers = nil
		}
		hosts = append(hosts, m)
	}
	stop := make(chan struct{})
	go setFaults(rand.New(rand.NewPCG(seed, 1000)), p, hosts, cutOff, stop, opts.crash)
	operations := make([]porcupine.Operation, historySubmissions)
	var submissions sync.WaitGroup
	for i := range operations {
		submissions.Go(func() { operations[i] = submitAtRandom(rand.New(rand.NewPCG(seed, uint64(i))), i, hosts) })
	}
	submissions.Wait()
	close(stop)
	p.SetFaults(platformapi.Faults{})
	for _, m := range hosts {
		_ = m.Stop(context.Background())
	}
	return operations
}

// unreliableService returns the function of a service that responds to each run, after a random delay, with a text that
// is unique to the run, or refuses the call, or loses the response.
func unreliableService(seed uint64, host int) func(int) (service.Response, error) {
	return func(runs int) (service.Response, error) {
		rnd := rand.New(rand.NewPCG(seed, uint64(host*1000+runs)))
		time.Sleep(time.Duration(rnd.ExpFloat64() * float64(time.Second)))
		switch rnd.IntN(6) {
		case 0:
			return service.Response{}, &service.Error{Op: "call", Kind: service.KindRefused}
		case 1:
			return service.Response{}, &service.Error{Op: "call", Kind: service.KindBroken}
		}
		return service.Response{Status: http.StatusOK, Body: fmt.Appendf(nil, "run %d at %d", runs, host)}, nil
	}
}

// setFaults changes the faults of the store and between hosts at random until stop is closed. If crash is set, it
// may crash the first host.
func setFaults(r *rand.Rand, p *standin.Server, hosts []*simHost, cutOff *atomic.Bool, stop chan struct{}, crash bool) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(r.IntN(3000)) * time.Millisecond):
		}
		cutOff.Store(r.IntN(3) == 0)
		p.SetFaults([]platformapi.Faults{
			{},
			{Down: true},
			{Hang: true},
			{LoseWriteAnswers: 4},
			{LateMS: 1500},
			{StaleReads: true, LoseWriteAnswers: 2},
			{CutOffHosts: []string{"e1"}},
		}[r.IntN(7)])
		if crash && r.IntN(20) == 0 {
			hosts[0].crashed.Store(true) // the other hosts stay alive
		}
	}
}

// observation is what a caller learned from a submission.
type observation struct {
	kind     outcome.Kind
	result   outcome.Outcome
	response string
	replay   bool
}

// submitAtRandom makes a submission at a random time, to a random host, with a random key.
func submitAtRandom(rnd *rand.Rand, i int, hosts []*simHost) porcupine.Operation {
	time.Sleep(time.Duration(rnd.Int64N(int64(historyDuration))))
	m := hosts[rnd.IntN(len(hosts))]
	q := request(fmt.Sprint(rnd.IntN(historyKeys)), "b")
	op := porcupine.Operation{ClientId: i, Input: q.Key, Call: time.Now().UnixNano()}
	response, err := m.Runner.Do(context.Background(), q)
	op.Return = time.Now().UnixNano()
	out := observation{result: outcome.Completed, response: string(response.Body), replay: response.Replayed}
	var e *outcome.Error
	if errors.As(err, &e) {
		out = observation{kind: e.Kind, result: e.Outcome}
	}
	if m.crashed.Load() {
		out = observation{result: outcome.Unknown}
	}
	if out.result == outcome.Unknown {
		op.Return = math.MaxInt64 // the run may take effect at any time
	}
	op.Output = out
	return op
}

// model models each key as a register that is written once, by the run of the request. What a crashed host sent is
// known only to the store. So if crash is set, a submission may be refused as not_run after a run while the store is
// down.
func model(crash bool) porcupine.Model {
	m := porcupine.NondeterministicModel{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			byKey := make(map[any][]porcupine.Operation)
			for _, op := range history {
				byKey[op.Input] = append(byKey[op.Input], op)
			}
			var parts [][]porcupine.Operation
			for _, part := range byKey {
				parts = append(parts, part)
			}
			return parts
		},
		Init: func() []any { return []any{""} },
		Step: func(state, _, output any) []any {
			run, out := state.(string), output.(observation)
			switch {
			case out.result == outcome.Completed && out.replay && (run == out.response || run == unseenResponse):
				return []any{out.response}
			case out.result == outcome.Completed && !out.replay && run == "":
				return []any{out.response}
			case out.result == outcome.Completed:
				return nil
			case out.result == outcome.Unknown && run == "":
				return []any{"", unseenResponse}
			case out.result == outcome.NotRun && run != "" && (!crash || out.kind == outcome.KindUnavailable):
				return nil
			}
			return []any{run}
		},
	}
	return m.ToModel()
}

// TestHistories checks that under faults and crashes the results of all submissions are linearizable: each order runs
// at most once, and no caller receives a wrong response or a false not_run.
func TestHistories(t *testing.T) {
	completed, unknown := 0, 0
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			crash := seed%2 == 1
			history := recordHistory(seed, historyOptions{crash: crash})
			for _, op := range history {
				switch op.Output.(observation).result {
				case outcome.Completed:
					completed++
				case outcome.Unknown:
					unknown++
				}
			}
			if got := porcupine.CheckOperations(model(crash), history); !got {
				t.Errorf("seed %d: the history is not linearizable", seed)
			}
		})
	}
	t.Logf("%d submissions completed, %d unknown", completed, unknown)
	if completed == 0 || unknown == 0 {
		t.Error("no submission completed or none had an unknown outcome, so the histories prove too little")
	}
}

// TestHistoriesWithoutProtection checks that the model detects it if one of the protections is disabled.
func TestHistoriesWithoutProtection(t *testing.T) {
	tests := []struct {
		name    string
		options historyOptions
	}{
		{"compare-and-swap", historyOptions{ignoreRevision: true}},
		{"asking peers", historyOptions{skipPeers: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			found := false
			for seed := uint64(0); seed < 20 && !found; seed++ {
				synctest.Test(t, func(*testing.T) {
					found = !porcupine.CheckOperations(model(false), recordHistory(seed, tt.options))
				})
			}
			if !found {
				t.Error("no violation found")
			}
		})
	}
}
