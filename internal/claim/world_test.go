package claim

import (
	"fmt"
	"net/http"
	"time"

	"github.com/turmericshunt/turmericshunt/pkg/outcome"
)

const (
	testRetention           = 12 * time.Hour
	testDeadline            = 10 * time.Second
	testLateResponseTimeout = 30 * time.Second
)

// submission is one submission of the request, driven by its machine.
type submission struct {
	m            *Machine
	host         int
	body         string
	pending      Action    // action in progress
	pendingSince time.Time // when the machine returned pending
	result       Event     // result of pending that the machine has not received yet
	timedOut     bool      // DeadlineReached was delivered during the dispatch
	crashed      bool      // the host has crashed
	reply        *Reply    // what the caller received
}

// stored is a revision of the claim in the store; record is nil once the claim has expired.
type stored struct {
	record   *Record
	revision uint64
	expiry   time.Time
}

// delayedSwap is a Swap that the store may still apply after it returned no result.
type delayedSwap struct {
	swap        Swap
	leaseExpiry time.Time // expiry of the lease that the swap names
}

// serviceRun is a run of the request by the service.
type serviceRun struct {
	owner Owner
	body  string
}

// simulation simulates a store with one key, a service and two hosts. The numbers of the schedule choose what happens
// next.
type simulation struct {
	schedule    []int
	disabled    protections
	now         time.Time
	history     []stored // states of the key; the last one is current
	revision    uint64   // latest revision assigned by the store
	delayed     []delayedSwap
	submissions []*submission
	runs        []serviceRun
	expired     map[Owner]bool // owners whose claims have expired
	partitioned bool           // the hosts cannot ask each other
	faultFree   bool           // all choices are 0, so no faults occur
}

// simulate runs a schedule and then lets all submissions end without faults. It returns the first violation: a second
// run of the request, a wrong reply, or a submission that does not end.
func simulate(schedule []int, disabled protections) error {
	sim := &simulation{schedule: schedule, disabled: disabled, now: time.Unix(0, 0), expired: make(map[Owner]bool)}
	for len(sim.schedule) > 0 {
		if err := sim.step(); err != nil {
			return err
		}
	}
	sim.faultFree, sim.partitioned = true, false
	for range 2000 {
		sim.now = sim.now.Add(100 * time.Millisecond)
		for _, s := range sim.submissions {
			if err := sim.advance(s); err != nil {
				return err
			}
		}
	}
	return sim.checkEnd()
}

// choose returns the next number of the schedule modulo n, or 0 at the end of the schedule or without faults.
func (sim *simulation) choose(n int) int {
	if sim.faultFree || len(sim.schedule) == 0 {
		return 0
	}
	v := sim.schedule[0]
	sim.schedule = sim.schedule[1:]
	return v % n
}

// step makes one random change: a submission, a jump in time, a crash, a partition, a delayed swap, or progress of a
// submission.
func (sim *simulation) step() error {
	switch sim.choose(20) {
	case 0, 1:
		sim.submit()
	case 2:
		sim.now = sim.now.Add(4 * time.Second)
	case 3:
		if sim.choose(4) == 0 {
			sim.now = sim.now.Add(testRetention + time.Hour)
		}
	case 4:
		if sim.choose(4) == 0 {
			sim.crash(sim.choose(2))
		}
	case 5:
		sim.partitioned = !sim.partitioned
	case 6:
		if len(sim.delayed) > 0 {
			sim.apply(sim.delayed[0].swap, sim.delayed[0].leaseExpiry)
			sim.delayed = sim.delayed[1:]
		}
	default:
		sim.now = sim.now.Add(50 * time.Millisecond)
		if len(sim.submissions) > 0 {
			return sim.advance(sim.submissions[sim.choose(len(sim.submissions))])
		}
	}
	return nil
}

// submit starts a submission at a random host, up to five in total; one in six has another body.
func (sim *simulation) submit() {
	if len(sim.submissions) == 5 {
		return
	}
	s := &submission{host: sim.choose(2), body: "a"}
	if sim.choose(6) == 5 {
		s.body = "b"
	}
	s.m = &Machine{
		Owner:      Owner{Host: fmt.Sprint(s.host), Request: fmt.Sprint(len(sim.submissions))},
		BodyDigest: s.body, Deadline: sim.now.Add(testDeadline), disabled: sim.disabled,
	}
	sim.submissions = append(sim.submissions, s)
	_ = sim.deliver(s, Started{}) // returns only a Swap, which cannot fail here
}

// crash ends all submissions at a host.
func (sim *simulation) crash(host int) {
	for _, s := range sim.submissions {
		s.crashed = s.crashed || s.host == host
	}
}

// deliver passes an event to the machine of s and checks its reply or stores its action as pending. A Dispatch starts
// at once.
func (sim *simulation) deliver(s *submission, ev Event) error {
	var pending Action
	for _, a := range s.m.Step(sim.now, ev) {
		reply, ok := a.(Reply)
		if !ok {
			pending = a
			continue
		}
		if err := sim.checkReply(s, reply); err != nil {
			return err
		}
	}
	if _, ok := ev.(DeadlineReached); ok && pending == nil {
		return nil // the dispatch goes on
	}
	s.pending, s.pendingSince = pending, sim.now
	if _, ok := pending.(Dispatch); ok {
		return sim.startDispatch(s)
	}
	return nil
}

// startDispatch runs the request of s at the service, or reports at random that it was refused or the response lost.
func (sim *simulation) startDispatch(s *submission) error {
	if sim.now.After(s.m.Deadline.Add(testLateResponseTimeout)) && !sim.disabled.ignoresDeadline {
		return sim.deliver(s, Refused{}) // the call times out before it is sent
	}
	switch sim.choose(6) {
	case 4:
		return sim.deliver(s, Refused{})
	case 5:
		return sim.deliver(s, ResponseLost{})
	}
	for _, r := range sim.runs {
		if !sim.expired[r.owner] {
			return fmt.Errorf("%v runs after %v", s.m.Owner, r.owner)
		}
	}
	sim.runs = append(sim.runs, serviceRun{owner: s.m.Owner, body: s.body})
	return nil
}

// advance carries out the pending action of s, unless its host has crashed.
func (sim *simulation) advance(s *submission) error {
	if s.crashed || s.pending == nil {
		return nil
	}
	sim.expire()
	switch s.pending.(type) {
	case Wait:
		if s.reply == nil && !sim.now.Before(s.m.Deadline) {
			return sim.deliver(s, DeadlineReached{})
		}
		return sim.deliver(s, WaitEnded{})
	case Dispatch:
		return sim.endDispatch(s)
	}
	if s.result == nil {
		s.result = sim.execute(s)
		if sim.choose(3) == 1 {
			return nil // the host is paused
		}
	}
	result := s.result
	s.result = nil
	return sim.deliver(s, result)
}

// execute returns the result of the pending store call or question of s.
func (sim *simulation) execute(s *submission) Event {
	switch a := s.pending.(type) {
	case Swap:
		return sim.swap(a, s.pendingSince)
	case AskOwner:
		return sim.ask(s, OwnerFromAttemptID(a.ID))
	default:
		return sim.read()
	}
}

// endDispatch ends the dispatch of s at random with a response or without; it may last beyond the caller's deadline.
func (sim *simulation) endDispatch(s *submission) error {
	if !sim.now.Before(s.m.Deadline) && !s.timedOut {
		s.timedOut = true
		return sim.deliver(s, DeadlineReached{})
	}
	switch sim.choose(4) {
	case 3:
		return nil
	case 2:
		return sim.deliver(s, ResponseLost{})
	}
	return sim.deliver(s, Responded{Response: Response{Status: http.StatusOK, Body: []byte(s.body)}})
}

// swap applies a, or at random loses its result, delays it or drops it.
func (sim *simulation) swap(a Swap, pendingSince time.Time) Event {
	leaseExpiry := pendingSince.Add(testRetention + testRetention/24)
	switch sim.choose(8) {
	case 5:
		sim.apply(a, leaseExpiry)
		return SwapFailed{MayHaveApplied: true}
	case 6:
		sim.delayed = append(sim.delayed, delayedSwap{swap: a, leaseExpiry: leaseExpiry})
		return SwapFailed{MayHaveApplied: true}
	case 7:
		return SwapFailed{MayHaveApplied: sim.choose(2) == 1}
	}
	return sim.apply(a, leaseExpiry)
}

func (sim *simulation) current() stored {
	if len(sim.history) == 0 {
		return stored{}
	}
	return sim.history[len(sim.history)-1]
}

// apply compares and swaps in the store.
func (sim *simulation) apply(a Swap, leaseExpiry time.Time) Event {
	sim.expire()
	if !sim.now.Before(leaseExpiry) {
		return SwapFailed{}
	}
	if sim.current().revision != a.Revision {
		return SwapConflicted{}
	}
	sim.revision++
	sim.history = append(sim.history, stored{record: a.Record, revision: sim.revision, expiry: leaseExpiry})
	return Swapped{Revision: sim.revision}
}

// expire deletes the claim if its lease has expired.
func (sim *simulation) expire() {
	if cur := sim.current(); cur.record != nil && !sim.now.Before(cur.expiry) {
		sim.expired[cur.record.Owner] = true
		sim.history = append(sim.history, stored{})
	}
}

// read returns the claim, or at random a failure or a stale state.
func (sim *simulation) read() Event {
	index := len(sim.history) - 1
	switch sim.choose(6) {
	case 4:
		return ReadFailed{}
	case 5:
		index -= sim.choose(3)
	}
	if index < 0 || sim.history[index].record == nil {
		return NotFound{}
	}
	return Found{Record: sim.history[index].record, Revision: sim.history[index].revision}
}

// ask returns the reply of a claim's owner to the host of s.
func (sim *simulation) ask(s *submission, owner Owner) Event {
	for _, other := range sim.submissions {
		if other.m.Owner != owner {
			continue
		}
		if other.crashed || sim.partitioned && other.host != s.host {
			return OwnerUnreachable{}
		}
		return OwnerReplied{Running: other.m.InProgress()}
	}
	return OwnerReplied{}
}

// checkReply records the reply to a caller and returns an error if it contradicts what has happened.
func (sim *simulation) checkReply(s *submission, r Reply) error {
	if s.reply != nil {
		return fmt.Errorf("%v replied twice", s.m.Owner)
	}
	s.reply = &r
	if r.Err == nil && string(r.Response.Body) != s.body {
		return fmt.Errorf("%v with body %q got the answer for %q", s.m.Owner, s.body, r.Response.Body)
	}
	if r.Err == nil || r.Err.Outcome != outcome.NotRun || r.Err.Kind != outcome.KindUnavailable {
		return nil
	}
	for _, run := range sim.runs {
		if !sim.expired[run.owner] {
			return fmt.Errorf("%v was told not_run after %v ran", s.m.Owner, run.owner)
		}
	}
	return nil
}

// checkEnd returns an error if a submission did not end or ran although its caller was told that it was not run.
func (sim *simulation) checkEnd() error {
	for _, s := range sim.submissions {
		if !s.crashed && (s.reply == nil || s.m.InProgress()) {
			return fmt.Errorf("%v did not end: %+v", s.m.Owner, s.pending)
		}
		if s.reply == nil || s.reply.Err == nil || s.reply.Err.Outcome != outcome.NotRun {
			continue
		}
		for _, r := range sim.runs {
			if r.owner == s.m.Owner {
				return fmt.Errorf("%v was told not_run but ran", s.m.Owner)
			}
		}
	}
	return nil
}
