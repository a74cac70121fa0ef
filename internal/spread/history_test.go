package spread

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/turmericshunt/turmericshunt/internal/document"
	"github.com/turmericshunt/turmericshunt/internal/manifest"
	"github.com/turmericshunt/turmericshunt/internal/wait"
	"github.com/turmericshunt/turmericshunt/pkg/platformapi"
)

// The outcomes of an operation in a history.
const (
	outcomeAccepted = iota
	outcomeConflict
	outcomeInvalid
	outcomeUnknown
	outcomeNotRun
	outcomeRead
)

type (
	// attempt is the input of an operation; a read has no section.
	attempt struct {
		section document.Section
		body    string
		base    uint64
	}

	// result is the output of an operation.
	result struct {
		outcome  int
		revision uint64
	}

	// whole is the sequential state: what each of two sections holds.
	whole struct {
		revision        uint64
		services, rules string
		servicesAt      uint64
		rulesAt         uint64
	}
)

const (
	noService = `[]`
	aRule     = `[{"service":"s","method":"POST","path_prefix":"/"}]`
)

func (w whole) at(s document.Section) uint64 {
	if s == document.SectionServices {
		return w.servicesAt
	}
	return w.rulesAt
}

func (w whole) with(a attempt) whole {
	w.revision++
	if a.section == document.SectionServices {
		w.services, w.servicesAt = a.body, w.revision
	} else {
		w.rules, w.rulesAt = a.body, w.revision
	}
	return w
}

func (w whole) body(s document.Section) string {
	if s == document.SectionServices {
		return w.services
	}
	return w.rules
}

// Each rule names service s, so there must be one; an empty list of either section has the same text.
func (w whole) valid() bool {
	empty := func(body string) bool { return body == "" || body == noService }
	return empty(w.rules) || !empty(w.services)
}

// Returns the states that may follow an operation with its result.
func (w whole) step(a attempt, r result) []any {
	next := w.with(a)
	possible := w.at(a.section) == a.base && next.valid()
	switch {
	case r.outcome == outcomeRead && r.revision == w.revision,
		r.outcome == outcomeNotRun,
		r.outcome == outcomeConflict && w.at(a.section) != a.base,
		r.outcome == outcomeInvalid && !next.valid(),
		r.outcome == outcomeAccepted && w.body(a.section) == a.body && w.at(a.section) == r.revision,
		r.outcome == outcomeUnknown && !possible:
		return []any{w}
	case r.outcome == outcomeUnknown:
		return []any{w, next}
	case r.outcome == outcomeAccepted && possible && next.revision == r.revision:
		return []any{next}
	default:
		return nil
	}
}

var configModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{whole{}} },
	Step: func(state, input, output any) []any { return state.(whole).step(input.(attempt), output.(result)) },
}

// blind writes over whatever the store holds, as a program without compare-and-swap would.
type blind struct{ Store }

func (b blind) Swap(ctx context.Context, key string, value []byte, revision uint64, lease string) (uint64, error) {
	if entry, err := b.Get(ctx, key); err == nil && key == manifest.Key {
		revision = entry.Revision
	}
	return b.Store.Swap(ctx, key, value, revision, lease)
}

// Lets four teams change two sections under faults and returns what each did and was told.
func record(t *testing.T, seed uint64, broken bool) []porcupine.Operation {
	f := newFleet()
	var clock atomic.Int64
	var mu sync.Mutex
	var history []porcupine.Operation
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go disturb(ctx, f, rand.New(rand.NewPCG(seed, 99)))
	var wg sync.WaitGroup
	for team := range 4 {
		k := f.restart(fmt.Sprint("host", team))
		if broken {
			k.Store = blind{k.Store}
		}
		rnd := rand.New(rand.NewPCG(seed, uint64(team)))
		wg.Go(func() {
			for range 6 {
				op := porcupine.Operation{ClientId: team, Call: clock.Add(1)}
				op.Input, op.Output = operate(ctx, k, rnd)
				op.Return = clock.Add(1)
				if op.Output.(result).outcome == outcomeUnknown {
					op.Return = math.MaxInt64 // it may take effect later
				}
				mu.Lock()
				history = append(history, op)
				mu.Unlock()
				time.Sleep(time.Duration(rnd.IntN(200)) * time.Millisecond)
			}
		})
	}
	wg.Wait()
	return history
}

// Changes the platform's faults every now and then; reads stay fresh, as the model has no stale ones.
func disturb(ctx context.Context, f *fleet, rnd *rand.Rand) {
	for ctx.Err() == nil {
		faults := []platformapi.Faults{
			{}, {LoseWriteAnswers: 1 + rnd.IntN(3)}, {Down: true}, {LateMS: 40}, {LateMS: 700}, {Hang: true}, {Throttle: 5},
		}
		f.server.SetFaults(faults[rnd.IntN(len(faults))])
		wait.For(ctx, time.Duration(rnd.IntN(300))*time.Millisecond)
	}
}

// Makes one change from what the store holds, or from an older base, or only reads.
func operate(ctx context.Context, k *Keeper, rnd *rand.Rand) (attempt, result) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(50+rnd.IntN(1500))*time.Millisecond)
	defer cancel()
	m, _, err := k.readManifest(ctx)
	if err != nil {
		return attempt{}, result{outcome: outcomeNotRun}
	}
	if rnd.IntN(4) == 0 {
		return attempt{}, k.reread(ctx)
	}
	section := []document.Section{document.SectionServices, document.SectionNonIdempotent}[rnd.IntN(2)]
	a := attempt{section: section, base: m.Section(section).Revision}
	a.body = fmt.Sprintf(`[{"name":"s","deadline":"%dms"}]`, rnd.IntN(1e6)+1)
	if section == document.SectionNonIdempotent {
		a.body = aRule
	}
	if rnd.IntN(3) == 0 {
		a.body = noService
	}
	if a.body == aRule && rnd.IntN(2) == 0 {
		a.body = fmt.Sprintf(`[{"service":"s","method":"PUT","path_prefix":"/%d"}]`, rnd.IntN(1e6))
	}
	if document.Digest([]byte(a.body)) == m.Section(section).Digest {
		return attempt{}, result{outcome: outcomeNotRun} // no change
	}
	accepted, err := k.Apply(ctx, Change{Section: section, Body: []byte(a.body), Base: a.base})
	return a, result{outcome: outcomeOf(err), revision: accepted.Revision}
}

func (k *Keeper) reread(ctx context.Context) result {
	m, _, err := k.readManifest(ctx)
	if err != nil {
		return result{outcome: outcomeNotRun}
	}
	return result{outcome: outcomeRead, revision: m.Revision}
}

func outcomeOf(err error) int {
	var refused *manifest.Error
	switch {
	case err == nil:
		return outcomeAccepted
	case !errors.As(err, &refused):
		return outcomeNotRun
	}
	switch refused.Kind {
	case manifest.KindConflict:
		return outcomeConflict
	case manifest.KindInvalid:
		return outcomeInvalid
	case manifest.KindUnknown:
		return outcomeUnknown
	default:
		return outcomeNotRun
	}
}

func linearizable(t *testing.T, seed uint64, broken bool) bool {
	var history []porcupine.Operation
	synctest.Test(t, func(t *testing.T) { history = record(t, seed, broken) })
	return porcupine.CheckOperations(configModel.ToModel(), history)
}

func TestHistoriesAreLinearizable(t *testing.T) {
	for seed := range uint64(20) {
		if !linearizable(t, seed, false) {
			t.Errorf("seed %d: the history is not linearizable", seed)
		}
	}
}

func TestHistoriesFailWithoutCompareAndSwap(t *testing.T) {
	for seed := range uint64(20) {
		if !linearizable(t, seed, true) {
			return
		}
	}
	t.Error("no violation was found")
}
