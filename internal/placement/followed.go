package placement

import "time"

// followed is what a host knows of the planners that it has followed, so that its present planner doesn't count it while an
// earlier one may still do so.
type followed struct {
	plannerHeard time.Time // when the present planner was last heard; zero before
	otherHeard   time.Time // when an earlier one was last heard that hasn't confirmed yet that the host has left it
	left         string    // the planner that was left last; empty for none
	leftAt       time.Time // when that was
	before       time.Time // otherHeard before that
}

// heard records that the present planner was heard at now.
func (f *followed) heard(now time.Time) { f.plannerHeard = now }

// leave records that the host leaves its planner at now. If that was the host itself, nothing else counted it as a follower.
func (f *followed) leave(now time.Time, planner string, ownPlanner bool) {
	heard := f.plannerHeard
	f.plannerHeard = time.Time{}
	if ownPlanner {
		return
	}
	if heard.IsZero() {
		heard = now // the planner may have heard this host, though not the other way round
	}
	f.left, f.leftAt, f.before = planner, now, f.otherHeard
	if heard.After(f.otherHeard) {
		f.otherHeard = heard
	}
}

// confirmed records that a host knows what this one has sent it at the given time. It reports whether that is the planner that
// was left last, and it has confirmed only now that it no longer counts this host.
func (f *followed) confirmed(host string, sentAt time.Time) bool {
	if host != f.left || f.left == "" || sentAt.Before(f.leftAt) {
		return false
	}
	f.left = ""
	f.otherHeard = f.before
	return true
}

// sinceOther returns the time since an earlier planner was last heard, at least 1 ns.
func (f *followed) sinceOther(now time.Time) time.Duration { return max(now.Sub(f.otherHeard), 1) }
