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

// allocationTarget is the maximum number of heap allocations of one decision, for any number of backend servers.
const allocationTarget = 8

const (
	calls         = 2000 // number of measured calls of each decision
	runningGrants = 30   // grants that the scheduler holds during the measurement
)

// serverCounts lists the numbers of backend servers for which the decisions of an entry host are measured.
var serverCounts = []int{50, 200, 810}

// start is the virtual time at which the measured decisions begin.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Run measures each decision and adds the results to r. Times have no target, since they depend on the machine.
func Run(r *report.Report) {
	for _, n := range serverCounts {
		view := makeView(n)
		req := protocol.GrantRequest{
			Model: "m", PromptTokens: 2000, OutputTokens: 200, TimeLeft: time.Minute,
			Blocks: []uint64{1, 2},
		}
		router := &routing.Router{}
		measure(r, fmt.Sprintf("candidates of %d", n), func(int) { router.Candidates(start, view, req, nil) })
		controller := &admission.Controller{}
		measure(r, fmt.Sprintf("admission of %d", n), func(int) { controller.Decide(start, view, req) })
	}
	scheduler := makeScheduler()
	measure(r, "grant and finish", func(i int) { requestAndFinish(scheduler, i) })
	limiter := &quota.Limiter{Host: "e1"}
	measure(r, "quota", func(int) {
		limiter.Admit(start, "w", 1000)
		limiter.Done(start, "w", 1000)
	})
}

// measure adds the mean time and the mean number of allocations of a call to r. A first call, with i = 0, is not
// measured.
func measure(r *report.Report, name string, call func(i int)) {
	call(0)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	startedAt := time.Now()
	for i := range calls {
		call(i + 1)
	}
	elapsed := time.Since(startedAt)
	runtime.ReadMemStats(&after)
	r.Add("decision_time", name, "ns", float64(elapsed.Nanoseconds())/calls)
	r.AtMost("decision_allocations", name, "allocations", float64((after.Mallocs-before.Mallocs)/calls), allocationTarget)
}

// makeView returns a view of n backend servers with different waits, a third of which take long prompts.
func makeView(n int) *fleet.View {
	view := &fleet.View{FailureDomain: "a"}
	for i := range n {
		view.Entries = append(view.Entries, fleet.Entry{
			Server:    protocol.Server{Name: fmt.Sprintf("g%04d", i), FailureDomain: "a"},
			Scheduler: protocol.Host{Name: "e1"}, RowCreatedAt: start,
			Row: protocol.Row{
				Wait: time.Duration(i*7919%1000) * time.Millisecond, Models: []string{"m"}, ForLongPrompts: i%3 == 0,
				CapacityBytes: 1 << 40, FreeBytes: 1 << 40, BytesPerToken: 1 << 17, PrefillRate: 20_000,
			},
		})
	}
	return view
}

// makeScheduler returns a scheduler with runningGrants grants whose prefill has ended.
func makeScheduler() *grant.Scheduler {
	s := &grant.Scheduler{Server: protocol.Server{Name: "g"}, MaxRunning: 2 * runningGrants}
	s.SetLoad(start, engineapi.Load{
		Models: []string{"m"}, MemoryBytes: 1 << 40, KVBytesPerToken: 1 << 17, PrefillPerSecond: 20_000, DecodePerSecond: 50,
	})
	for i := range runningGrants {
		a := newGrantRequest("r", i)
		s.Request(start, a)
		s.PrefillDone(start, a.ID)
	}
	return s
}

// newGrantRequest returns a grant request for the given attempt of a request.
func newGrantRequest(request string, attempt int) protocol.GrantRequest {
	return protocol.GrantRequest{
		ID:    protocol.AttemptID{Host: "e1", Request: request, Attempt: uint32(attempt)},
		Model: "m", Workspace: "w", PromptTokens: 2000, OutputTokens: 200, TimeLeft: time.Minute,
	}
}

// decisionInterval is the time between two grant requests. It is long enough for the scheduler to discard its records
// of old ones, as under a constant load.
const decisionInterval = 20 * time.Millisecond

// requestAndFinish requests a grant and gives it back at once; i distinguishes the requests and sets their time.
func requestAndFinish(s *grant.Scheduler, i int) {
	now := start.Add(time.Duration(i) * decisionInterval)
	grantRequest := newGrantRequest(strconv.Itoa(i), 1)
	s.Request(now, grantRequest)
	s.Finish(now, protocol.GrantRelease{ID: grantRequest.ID})
	if next := s.NextTick(); !next.IsZero() && !next.After(now) {
		s.Tick(now)
	}
}
