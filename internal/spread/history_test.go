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
	// opInput is the input of an operation; the section is empty for a read.
	opInput struct {
		section document.Section
		body    string
		base    uint64
	}

	// opResult is the output of an operation.
	opResult struct {
		outcome  int
		revision uint64
	}

	// sections is the state of the sequential model: the texts of two sections and the revisions that introduced them.
	sections struct {
		revision        uint64
		services, rules string
		servicesAt      uint64
		rulesAt         uint64
	}
)

const (
	emptySection = `[]`
	oneRule      = `[{"service":"s","method":"POST","path_prefix":"/"}]`
)

func (c sections) revisionOf(s document.Section) uint64 {
	if s == document.SectionServices {
		return c.servicesAt
	}
	return c.rulesAt
}

func (c sections) withChange(a opInput) sections {
	c.revision++
	if a.section == document.SectionServices {
		c.services, c.servicesAt = a.body, c.revision
	} else {
		c.rules, c.rulesAt = a.body, c.revision
	}
	return c
}

func (c sections) body(s document.Section) string {
	if s == document.SectionServices {
		return c.services
	}
	return c.rules
}

// Reports whether the sections are valid together: each rule names service s, so rules require a service. The text of
// an empty list is the same in both sections.
func (c sections) valid() bool {
	empty := func(body string) bool { return body == "" || body == emptySection }
	return empty(c.rules) || !empty(c.services)
}

// Returns the states in which the operation with the given input and result may leave the model, or nil if the result
// is impossible in state c.
func (c sections) step(a opInput, r opResult) []any {
	next := c.withChange(a)
	possible := c.revisionOf(a.section) == a.base && next.valid()
	switch {
	case r.outcome == outcomeRead && r.revision == c.revision,
		r.outcome == outcomeNotRun,
		r.outcome == outcomeConflict && c.revisionOf(a.section) != a.base,
		r.outcome == outcomeInvalid && !next.valid(),
		r.outcome == outcomeAccepted && c.body(a.section) == a.body && c.revisionOf(a.section) == r.revision,
		r.outcome == outcomeUnknown && !possible:
		return []any{c}
	case r.outcome == outcomeUnknown:
		return []any{c, next}
	case r.outcome == outcomeAccepted && possible && next.revision == r.revision:
		return []any{next}
	default:
		return nil
	}
}

var configModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{sections{}} },
	Step: func(state, input, output any) []any { return state.(sections).step(input.(opInput), output.(opResult)) },
}

// withoutCAS is a Store whose Swap overwrites the current manifest, as a program without compare-and-swap would.
type withoutCAS struct{ Store }

func (b withoutCAS) CompareAndSwap(ctx context.Context, key string, value []byte, revision uint64,
	lease string,
) (uint64, error) {
	if entry, err := b.Get(ctx, key); err == nil && key == manifest.Key {
		revision = entry.Revision
	}
	return b.Store.CompareAndSwap(ctx, key, value, revision, lease)
}

// Lets four clients change two sections while the store has faults, and returns the operations and their results.
func recordHistory(t *testing.T, seed uint64, disableCAS bool) []porcupine.Operation {
	f := newFleet()
	var clock atomic.Int64
	var mu sync.Mutex
	var history []porcupine.Operation
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go injectFaults(ctx, f, rand.New(rand.NewPCG(seed, 99)))
	var wg sync.WaitGroup
	for client := range 4 {
		k := f.restart(fmt.Sprint("host", client))
		if disableCAS {
			k.Store = withoutCAS{k.Store}
		}
		rnd := rand.New(rand.NewPCG(seed, uint64(client)))
		wg.Go(func() {
			for range 6 {
				op := porcupine.Operation{ClientId: client, Call: clock.Add(1)}
				op.Input, op.Output = runOperation(ctx, k, rnd)
				op.Return = clock.Add(1)
				if op.Output.(opResult).outcome == outcomeUnknown {
					op.Return = math.MaxInt64 // the change may be applied later
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

// Sets random faults in the platform's store at random intervals until ctx ends. It sets no stale reads, which the
// model does not allow.
func injectFaults(ctx context.Context, f *fleet, rnd *rand.Rand) {
	for ctx.Err() == nil {
		faults := []platformapi.Faults{
			{}, {LoseWriteAnswers: 1 + rnd.IntN(3)}, {Down: true}, {LateMS: 40}, {LateMS: 700}, {Hang: true}, {Throttle: 5},
		}
		f.server.SetFaults(faults[rnd.IntN(len(faults))])
		wait.For(ctx, time.Duration(rnd.IntN(300))*time.Millisecond)
	}
}

// Runs one operation: a read, or a change that is based on the manifest read just before. Another client's change may
// make that base outdated.
func runOperation(ctx context.Context, k *ActiveConfig, rnd *rand.Rand) (opInput, opResult) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(50+rnd.IntN(1500))*time.Millisecond)
	defer cancel()
	m, _, err := k.readManifest(ctx)
	if err != nil {
		return opInput{}, opResult{outcome: outcomeNotRun}
	}
	if rnd.IntN(4) == 0 {
		return opInput{}, k.readRevision(ctx)
	}
	section := []document.Section{document.SectionServices, document.SectionNonIdempotent}[rnd.IntN(2)]
	a := opInput{section: section, base: m.Section(section).Revision}
	a.body = fmt.Sprintf(`[{"name":"s","deadline":"%dms"}]`, rnd.IntN(1e6)+1)
	if section == document.SectionNonIdempotent {
		a.body = oneRule
	}
	if rnd.IntN(3) == 0 {
		a.body = emptySection
	}
	if a.body == oneRule && rnd.IntN(2) == 0 {
		a.body = fmt.Sprintf(`[{"service":"s","method":"PUT","path_prefix":"/%d"}]`, rnd.IntN(1e6))
	}
	if document.Digest([]byte(a.body)) == m.Section(section).Digest {
		return opInput{}, opResult{outcome: outcomeNotRun} // the section already has this body
	}
	accepted, err := k.Apply(ctx, Change{Section: section, Body: []byte(a.body), Base: a.base})
	return a, opResult{outcome: outcomeOf(err), revision: accepted.Revision}
}

func (ac *ActiveConfig) readRevision(ctx context.Context) opResult {
	m, _, err := ac.readManifest(ctx)
	if err != nil {
		return opResult{outcome: outcomeNotRun}
	}
	return opResult{outcome: outcomeRead, revision: m.Revision}
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

func linearizable(t *testing.T, seed uint64, disableCAS bool) bool {
	var history []porcupine.Operation
	synctest.Test(t, func(t *testing.T) { history = recordHistory(t, seed, disableCAS) })
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
	t.Error("every history is linearizable, want a violation without compare-and-swap")
}
