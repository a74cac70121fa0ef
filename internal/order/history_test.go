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
	historyHosts    = 3
	historyKeys     = 4
	historySendings = 48
	historyTime     = 60 * time.Second
	lost            = "?" // a run's answer that no caller has seen
)

// mortal is a runner whose calls have no effect and no answer once its host is dead.
type mortal struct {
	*Runner
	store    Store
	services Services
	dead     atomic.Bool
	blind    bool // writes whatever the revision is
}

var errDead = errors.New("dead")

func (m *mortal) Get(ctx context.Context, key string) (platformapi.Entry, error) {
	e, err := m.store.Get(ctx, key)
	if m.dead.Load() {
		return platformapi.Entry{}, &platform.Error{Op: "get", Kind: platform.KindUnavailable, Err: errDead}
	}
	return e, err
}

func (m *mortal) Swap(ctx context.Context, key string, v []byte, revision uint64, lease string) (uint64, error) {
	if m.dead.Load() {
		return 0, &platform.Error{Op: "swap", Kind: platform.KindUnavailable, Err: errDead}
	}
	if m.blind {
		e, _ := m.store.Get(ctx, key)
		revision = e.Revision
	}
	r, err := m.store.Swap(ctx, key, v, revision, lease)
	if m.dead.Load() {
		return 0, &platform.Error{Op: "swap", Kind: platform.KindUnknown, Err: errDead}
	}
	return r, err
}

func (m *mortal) GrantLease(ctx context.Context, ttl time.Duration) (platformapi.Lease, error) {
	return m.store.GrantLease(ctx, ttl)
}

func (m *mortal) Do(ctx context.Context, call *service.Call) (service.Answer, error) {
	if m.dead.Load() {
		return service.Answer{}, &service.Error{Op: "call", Kind: service.KindNotSent, Err: errDead}
	}
	a, err := m.services.Do(ctx, call)
	if m.dead.Load() {
		return service.Answer{}, &service.Error{Op: "call", Kind: service.KindBroken, Err: errDead}
	}
	return a, err
}

// peers asks mortal runners.
type peers struct {
	hosts *[]*mortal
	cut   *atomic.Bool
	asker *mortal
}

func (p peers) Running(_ context.Context, id protocol.AttemptID) (bool, error) {
	for _, h := range *p.hosts {
		if h.Host.Name == id.Host && !h.dead.Load() && !p.cut.Load() {
			return h.Running(id), nil
		}
	}
	return false, errors.New("unreachable")
}

func (p peers) Sent(_ context.Context, key string) (bool, error) {
	if p.cut.Load() {
		return false, errors.New("unreachable")
	}
	return slices.ContainsFunc(*p.hosts, func(h *mortal) bool { return h != p.asker && !h.dead.Load() && h.Sent(key) }), nil
}

// trial says how a history is made; blind and alone switch protections off.
type trial struct {
	deaths bool // a host dies
	blind  bool // writes ignore the revision
	alone  bool // peers are not asked what they sent
}

// record plays sendings under faults and returns what their callers saw.
func record(seed uint64, tr trial) []porcupine.Operation {
	p := &standin.Server{}
	cut := new(atomic.Bool)
	var hosts []*mortal
	for i := range historyHosts {
		m := &mortal{blind: tr.blind, services: &services{answer: flaky(seed, i)}}
		m.Runner = newRunner(fmt.Sprintf("e%d", i), p, m, owners{})
		m.store, m.Store, m.Owners, m.Peers = m.Store, m, peers{&hosts, cut, m}, peers{&hosts, cut, m}
		if tr.alone {
			m.Peers = nil
		}
		hosts = append(hosts, m)
	}
	stop := make(chan struct{})
	go disturb(rand.New(rand.NewPCG(seed, 1000)), p, hosts, cut, stop, tr.deaths)
	operations := make([]porcupine.Operation, historySendings)
	var sendings sync.WaitGroup
	for i := range operations {
		sendings.Go(func() { operations[i] = hostSending(rand.New(rand.NewPCG(seed, uint64(i))), i, hosts) })
	}
	sendings.Wait()
	close(stop)
	p.SetFaults(platformapi.Faults{})
	for _, m := range hosts {
		_ = m.Stop(context.Background())
	}
	return operations
}

// flaky answers each run with its own number, late or not at all.
func flaky(seed uint64, host int) func(int) (service.Answer, error) {
	return func(runs int) (service.Answer, error) {
		rnd := rand.New(rand.NewPCG(seed, uint64(host*1000+runs)))
		time.Sleep(time.Duration(rnd.ExpFloat64() * float64(time.Second)))
		switch rnd.IntN(6) {
		case 0:
			return service.Answer{}, &service.Error{Op: "call", Kind: service.KindRefused}
		case 1:
			return service.Answer{}, &service.Error{Op: "call", Kind: service.KindBroken}
		}
		return service.Answer{Status: http.StatusOK, Body: fmt.Appendf(nil, "run %d at %d", runs, host)}, nil
	}
}

func disturb(rnd *rand.Rand, p *standin.Server, hosts []*mortal, cut *atomic.Bool, stop chan struct{}, deaths bool) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rnd.IntN(3000)) * time.Millisecond):
		}
		cut.Store(rnd.IntN(3) == 0)
		p.SetFaults([]platformapi.Faults{
			{},
			{Down: true},
			{Hang: true},
			{LoseWriteAnswers: 4},
			{LateMS: 1500},
			{StaleReads: true, LoseWriteAnswers: 2},
			{CutOffHosts: []string{"e1"}},
		}[rnd.IntN(7)])
		if deaths && rnd.IntN(20) == 0 {
			hosts[0].dead.Store(true) // the others live on
		}
	}
}

type seen struct {
	kind   outcome.Kind
	result outcome.Outcome
	answer string
	replay bool
}

func hostSending(rnd *rand.Rand, i int, hosts []*mortal) porcupine.Operation {
	time.Sleep(time.Duration(rnd.Int64N(int64(historyTime))))
	m := hosts[rnd.IntN(len(hosts))]
	q := request(fmt.Sprint(rnd.IntN(historyKeys)), "b")
	op := porcupine.Operation{ClientId: i, Input: q.Key, Call: time.Now().UnixNano()}
	answer, err := m.Runner.Do(context.Background(), q)
	op.Return = time.Now().UnixNano()
	out := seen{result: outcome.Completed, answer: string(answer.Body), replay: answer.Replayed}
	var e *outcome.Error
	if errors.As(err, &e) {
		out = seen{kind: e.Kind, result: e.Outcome}
	}
	if m.dead.Load() {
		out = seen{result: outcome.Unknown}
	}
	if out.result == outcome.Unknown {
		op.Return = math.MaxInt64 // its run may come at any time
	}
	op.Output = out
	return op
}

// model is a register that is written once per key: by the run of the request. What a dead host sent is known to
// the store only, so that deaths allow a refusal as not_run after a run while the store is down.
func model(deaths bool) porcupine.Model {
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
			run, out := state.(string), output.(seen)
			switch {
			case out.result == outcome.Completed && out.replay && (run == out.answer || run == lost):
				return []any{out.answer}
			case out.result == outcome.Completed && !out.replay && run == "":
				return []any{out.answer}
			case out.result == outcome.Completed:
				return nil
			case out.result == outcome.Unknown && run == "":
				return []any{"", lost}
			case out.result == outcome.NotRun && run != "" && (!deaths || out.kind == outcome.KindUnavailable):
				return nil
			}
			return []any{run}
		},
	}
	return m.ToModel()
}

func TestHistories(t *testing.T) {
	completed, unknown := 0, 0
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			deaths := seed%2 == 1
			history := record(seed, trial{deaths: deaths})
			for _, op := range history {
				switch op.Output.(seen).result {
				case outcome.Completed:
					completed++
				case outcome.Unknown:
					unknown++
				}
			}
			if got := porcupine.CheckOperations(model(deaths), history); !got {
				t.Errorf("seed %d: the history is not linearizable", seed)
			}
		})
	}
	t.Logf("%d sendings completed, %d unknown", completed, unknown)
	if completed == 0 || unknown == 0 {
		t.Error("the histories show too little")
	}
}

// Shows that the checker finds each protection missing.
func TestHistoriesWithoutProtection(t *testing.T) {
	tests := []struct {
		name string
		off  trial
	}{
		{"compare-and-swap", trial{blind: true}},
		{"asking peers", trial{alone: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			found := false
			for seed := uint64(0); seed < 20 && !found; seed++ {
				synctest.Test(t, func(*testing.T) {
					found = !porcupine.CheckOperations(model(false), record(seed, tt.off))
				})
			}
			if !found {
				t.Error("no violation found")
			}
		})
	}
}
