package claim

import (
	"fmt"
	"net/http"
	"time"

	"github.com/turmericshunt/turmericshunt/pkg/outcome"
)

const (
	testRetention = 12 * time.Hour
	testDeadline  = 10 * time.Second
	testLate      = 30 * time.Second
)

// sending is one sending of the request, driven by its machine.
type sending struct {
	m        *Machine
	host     int
	body     string
	pending  Action
	ordered  time.Time // when pending was ordered
	answer   Event     // of pending, which the host has not taken yet
	timedOut bool
	dead     bool
	reply    *Reply
}

type stored struct {
	record   *Record
	revision uint64
	expiry   time.Time
}

type delayedSwap struct {
	swap   Swap
	lapses time.Time // of the lease that the swap names
}

type ran struct {
	owner Owner
	body  string
}

// world is a store with one key, a service and two hosts; a schedule chooses what happens next.
type world struct {
	schedule []int
	off      protections
	now      time.Time
	history  []stored // revisions of the key; the last one is current
	revision uint64
	delayed  []delayedSwap
	sendings []*sending
	runs     []ran
	expired  map[Owner]bool
	cut      bool // the hosts can't ask each other
	fair     bool // no faults
}

// play runs a schedule and then lets everything end without faults; it returns the first violation.
func play(schedule []int, off protections) error {
	w := &world{schedule: schedule, off: off, now: time.Unix(0, 0), expired: make(map[Owner]bool)}
	for len(w.schedule) > 0 {
		if err := w.step(); err != nil {
			return err
		}
	}
	w.fair, w.cut = true, false
	for range 2000 {
		w.now = w.now.Add(100 * time.Millisecond)
		for _, s := range w.sendings {
			if err := w.advance(s); err != nil {
				return err
			}
		}
	}
	return w.check()
}

// choose takes the next number of the schedule, below n.
func (w *world) choose(n int) int {
	if w.fair || len(w.schedule) == 0 {
		return 0
	}
	v := w.schedule[0]
	w.schedule = w.schedule[1:]
	return v % n
}

func (w *world) step() error {
	switch w.choose(20) {
	case 0, 1:
		w.send()
	case 2:
		w.now = w.now.Add(4 * time.Second)
	case 3:
		if w.choose(4) == 0 {
			w.now = w.now.Add(testRetention + time.Hour)
		}
	case 4:
		if w.choose(4) == 0 {
			w.crash(w.choose(2))
		}
	case 5:
		w.cut = !w.cut
	case 6:
		if len(w.delayed) > 0 {
			w.apply(w.delayed[0].swap, w.delayed[0].lapses)
			w.delayed = w.delayed[1:]
		}
	default:
		w.now = w.now.Add(50 * time.Millisecond)
		if len(w.sendings) > 0 {
			return w.advance(w.sendings[w.choose(len(w.sendings))])
		}
	}
	return nil
}

func (w *world) send() {
	if len(w.sendings) == 5 {
		return
	}
	s := &sending{host: w.choose(2), body: "a"}
	if w.choose(6) == 5 {
		s.body = "b"
	}
	s.m = &Machine{
		Owner:      Owner{Host: fmt.Sprint(s.host), Request: fmt.Sprint(len(w.sendings))},
		BodyDigest: s.body, Deadline: w.now.Add(testDeadline), off: w.off,
	}
	w.sendings = append(w.sendings, s)
	_ = w.feed(s, Started{}) // orders a swap only
}

func (w *world) crash(host int) {
	for _, s := range w.sendings {
		s.dead = s.dead || s.host == host
	}
}

// feed gives an event to the machine of s and takes its actions; a dispatch follows at once.
func (w *world) feed(s *sending, ev Event) error {
	var order Action
	for _, a := range s.m.Step(w.now, ev) {
		reply, ok := a.(Reply)
		if !ok {
			order = a
			continue
		}
		if err := w.replied(s, reply); err != nil {
			return err
		}
	}
	if _, ok := ev.(Deadline); ok && order == nil {
		return nil // the dispatch goes on
	}
	s.pending, s.ordered = order, w.now
	if _, ok := order.(Dispatch); ok {
		return w.run(s)
	}
	return nil
}

// run lets the service run the request of s, or not.
func (w *world) run(s *sending) error {
	if w.now.After(s.m.Deadline.Add(testLate)) && !w.off.ignoresDeadline {
		return w.feed(s, Refused{}) // the call's time is over before it is sent
	}
	switch w.choose(6) {
	case 4:
		return w.feed(s, Refused{})
	case 5:
		return w.feed(s, Broke{})
	}
	for _, r := range w.runs {
		if !w.expired[r.owner] {
			return fmt.Errorf("%v runs after %v", s.m.Owner, r.owner)
		}
	}
	w.runs = append(w.runs, ran{owner: s.m.Owner, body: s.body})
	return nil
}

// advance carries out the pending action of s.
func (w *world) advance(s *sending) error {
	if s.dead || s.pending == nil {
		return nil
	}
	w.expire()
	switch s.pending.(type) {
	case Wait:
		if s.reply == nil && !w.now.Before(s.m.Deadline) {
			return w.feed(s, Deadline{})
		}
		return w.feed(s, Woke{})
	case Dispatch:
		return w.end(s)
	}
	if s.answer == nil {
		s.answer = w.carryOut(s)
		if w.choose(3) == 1 {
			return nil // the host is paused
		}
	}
	answer := s.answer
	s.answer = nil
	return w.feed(s, answer)
}

func (w *world) carryOut(s *sending) Event {
	switch a := s.pending.(type) {
	case Swap:
		return w.swap(a, s.ordered)
	case AskOwner:
		return w.ask(s, OwnerOf(a.ID))
	default:
		return w.read()
	}
}

// end ends the dispatch of s, which may last beyond the caller's deadline.
func (w *world) end(s *sending) error {
	if !w.now.Before(s.m.Deadline) && !s.timedOut {
		s.timedOut = true
		return w.feed(s, Deadline{})
	}
	switch w.choose(4) {
	case 3:
		return nil
	case 2:
		return w.feed(s, Broke{})
	}
	return w.feed(s, Answered{Answer: Answer{Status: http.StatusOK, Body: []byte(s.body)}})
}

func (w *world) swap(a Swap, ordered time.Time) Event {
	lapses := ordered.Add(testRetention + testRetention/24)
	switch w.choose(8) {
	case 5:
		w.apply(a, lapses)
		return SwapFailed{Maybe: true}
	case 6:
		w.delayed = append(w.delayed, delayedSwap{swap: a, lapses: lapses})
		return SwapFailed{Maybe: true}
	case 7:
		return SwapFailed{Maybe: w.choose(2) == 1}
	}
	return w.apply(a, lapses)
}

func (w *world) current() stored {
	if len(w.history) == 0 {
		return stored{}
	}
	return w.history[len(w.history)-1]
}

func (w *world) apply(a Swap, lapses time.Time) Event {
	w.expire()
	if !w.now.Before(lapses) {
		return SwapFailed{}
	}
	if w.current().revision != a.Revision {
		return SwapConflicted{}
	}
	w.revision++
	w.history = append(w.history, stored{record: a.Record, revision: w.revision, expiry: lapses})
	return Swapped{Revision: w.revision}
}

func (w *world) expire() {
	if cur := w.current(); cur.record != nil && !w.now.Before(cur.expiry) {
		w.expired[cur.record.Owner] = true
		w.history = append(w.history, stored{})
	}
}

func (w *world) read() Event {
	at := len(w.history) - 1
	switch w.choose(6) {
	case 4:
		return ReadFailed{}
	case 5:
		at -= w.choose(3)
	}
	if at < 0 || w.history[at].record == nil {
		return Missing{}
	}
	return Found{Record: w.history[at].record, Revision: w.history[at].revision}
}

func (w *world) ask(s *sending, owner Owner) Event {
	for _, other := range w.sendings {
		if other.m.Owner != owner {
			continue
		}
		if other.dead || w.cut && other.host != s.host {
			return OwnerSilent{}
		}
		return OwnerAnswered{Running: other.m.Working()}
	}
	return OwnerAnswered{}
}

// replied checks what a caller is told against what has happened.
func (w *world) replied(s *sending, r Reply) error {
	if s.reply != nil {
		return fmt.Errorf("%v replied twice", s.m.Owner)
	}
	s.reply = &r
	if r.Err == nil && string(r.Answer.Body) != s.body {
		return fmt.Errorf("%v with body %q got the answer for %q", s.m.Owner, s.body, r.Answer.Body)
	}
	if r.Err == nil || r.Err.Outcome != outcome.NotRun || r.Err.Kind != outcome.KindUnavailable {
		return nil
	}
	for _, run := range w.runs {
		if !w.expired[run.owner] {
			return fmt.Errorf("%v was told not_run after %v ran", s.m.Owner, run.owner)
		}
	}
	return nil
}

// check compares the end with what callers were told.
func (w *world) check() error {
	for _, s := range w.sendings {
		if !s.dead && (s.reply == nil || s.m.Working()) {
			return fmt.Errorf("%v did not end: %+v", s.m.Owner, s.pending)
		}
		if s.reply == nil || s.reply.Err == nil || s.reply.Err.Outcome != outcome.NotRun {
			continue
		}
		for _, r := range w.runs {
			if r.owner == s.m.Owner {
				return fmt.Errorf("%v was told not_run but ran", s.m.Owner)
			}
		}
	}
	return nil
}
