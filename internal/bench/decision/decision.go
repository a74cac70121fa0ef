package decision

import (
	"fmt"
	"runtime"
	"strconv"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/admission"
	"github.com/turmericshunt/turmericshunt/internal/bench/report"
	"github.com/turmericshunt/turmericshunt/internal/fleet"
	"github.com/turmericshunt/turmericshunt/internal/grant"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/internal/quota"
	"github.com/turmericshunt/turmericshunt/internal/routing"
	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
)

// allocationTarget bounds the allocations of one decision, whatever the number of backend servers.
const allocationTarget = 8

const (
	rounds  = 2000
	running = 30 // grants that a scheduler holds meanwhile
)

var sizes = []int{50, 200, 810}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Run measures each decision; times are reported without a bound, since they depend on the machine.
func Run(r *report.Report) {
	for _, n := range sizes {
		view := makeView(n)
		ask := protocol.Ask{Model: "m", PromptTokens: 2000, OutputTokens: 200, TimeLeft: time.Minute, Blocks: []uint64{1, 2}}
		router := &routing.Router{}
		measure(r, fmt.Sprintf("candidates of %d", n), func(int) { router.Candidates(start, view, ask, nil) })
		control := &admission.Controller{}
		measure(r, fmt.Sprintf("admission of %d", n), func(int) { control.Decide(start, view, ask) })
	}
	scheduler := makeScheduler()
	measure(r, "grant and finish", func(i int) { askAndFinish(scheduler, i) })
	limiter := &quota.Limiter{Host: "e1"}
	measure(r, "quota", func(int) {
		limiter.Admit(start, "w", 1000)
		limiter.Done(start, "w", 1000)
	})
}

func measure(r *report.Report, name string, call func(i int)) {
	call(0)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	began := time.Now()
	for i := range rounds {
		call(i + 1)
	}
	elapsed := time.Since(began)
	runtime.ReadMemStats(&after)
	r.Add("decision_time", name, "ns", float64(elapsed.Nanoseconds())/rounds)
	r.AtMost("decision_allocations", name, "allocations", float64((after.Mallocs-before.Mallocs)/rounds), allocationTarget)
}

func makeView(n int) *fleet.View {
	view := &fleet.View{FailureDomain: "a"}
	for i := range n {
		view.Entries = append(view.Entries, fleet.Entry{
			Server:    protocol.Server{Name: fmt.Sprintf("g%04d", i), FailureDomain: "a"},
			Scheduler: protocol.Host{Name: "e1"}, Updated: start,
			Row: protocol.Row{
				Wait: time.Duration(i*7919%1000) * time.Millisecond, Models: []string{"m"}, Long: i%3 == 0,
				CapacityBytes: 1 << 40, FreeBytes: 1 << 40, BytesPerToken: 1 << 17, PrefillRate: 20_000,
			},
		})
	}
	return view
}

func makeScheduler() *grant.Scheduler {
	s := &grant.Scheduler{Server: protocol.Server{Name: "g"}, MaxRunning: 2 * running}
	s.Report(start, engineapi.Load{
		Models: []string{"m"}, MemoryBytes: 1 << 40, KVBytesPerToken: 1 << 17, PrefillPerSecond: 20_000, DecodePerSecond: 50,
	})
	for i := range running {
		a := makeAsk("r", i)
		s.Ask(start, a)
		s.Prefilled(start, a.ID)
	}
	return s
}

func makeAsk(request string, attempt int) protocol.Ask {
	return protocol.Ask{
		ID:    protocol.AttemptID{Host: "e1", Request: request, Attempt: uint32(attempt)},
		Model: "m", Workspace: "w", PromptTokens: 2000, OutputTokens: 200, TimeLeft: time.Minute,
	}
}

// Long enough between two decisions for old ones to be forgotten, as under a steady load.
const pause = 20 * time.Millisecond

func askAndFinish(s *grant.Scheduler, i int) {
	now := start.Add(time.Duration(i) * pause)
	ask := makeAsk(strconv.Itoa(i), 1)
	s.Ask(now, ask)
	s.Finish(now, protocol.Finish{ID: ask.ID})
	if next := s.Next(); !next.IsZero() && !next.After(now) {
		s.Tick(now)
	}
}
