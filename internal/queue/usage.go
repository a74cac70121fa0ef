package queue

import (
	"math"
	"time"
)

// Defaults of the fields of Usage.
const (
	DefaultWindow        = 20 * time.Second
	DefaultQuantumTokens = 100_000
)

// overFactor is the part of its share that a workspace may use before it counts as over.
const overFactor = 1.1

type (
	// Usage is what the workspaces have used of late; it is not safe for concurrent use.
	Usage struct {
		Window        time.Duration // over which use is averaged; 0 means DefaultWindow
		QuantumTokens float64       // use beyond the share that is always allowed; 0 means DefaultQuantumTokens

		workspaces map[string]*use
		at         time.Time // of the last evaluation
	}

	// use is the use of one workspace.
	use struct {
		share  float64
		tokens float64 // decaying sum
		asked  time.Time
		over   bool
	}
)

// evaluateEvery bounds how often the shares are compared.
const evaluateEvery = 50 * time.Millisecond

// SetShare sets the weight of a workspace against the others; less than 1 counts as 1.
func (u *Usage) SetShare(workspace string, share int) {
	u.of(workspace).share = float64(max(share, 1))
}

// Ask notes that a workspace has asked, whether it gets anything or not.
func (u *Usage) Ask(now time.Time, workspace string) { u.of(workspace).asked = now }

// Charge counts tokens that were given to a workspace.
func (u *Usage) Charge(workspace string, tokens int64) {
	u.of(workspace).tokens += float64(tokens)
}

// Over reports whether a workspace has used more than its share of what all that ask have used.
func (u *Usage) Over(now time.Time, workspace string) bool {
	u.evaluate(now)
	w, ok := u.workspaces[workspace]
	return ok && w.over
}

func (u *Usage) of(workspace string) *use {
	if u.workspaces == nil {
		u.workspaces = make(map[string]*use)
	}
	w, ok := u.workspaces[workspace]
	if !ok {
		w = &use{share: 1}
		u.workspaces[workspace] = w
	}
	return w
}

// evaluate lets old use decay and compares each workspace with its share.
func (u *Usage) evaluate(now time.Time) {
	if u.at.IsZero() {
		u.at = now.Add(-evaluateEvery)
	}
	elapsed := now.Sub(u.at)
	if elapsed < evaluateEvery {
		return
	}
	window := u.Window
	if window <= 0 {
		window = DefaultWindow
	}
	decay := math.Exp(-elapsed.Seconds() / window.Seconds())
	u.at = now
	var tokens, shares float64
	for _, w := range u.workspaces {
		w.tokens *= decay
		if now.Sub(w.asked) < window {
			// Whole numbers have the same sum in any order.
			tokens += math.Floor(w.tokens)
			shares += w.share
		}
	}
	quantum := u.QuantumTokens
	if quantum <= 0 {
		quantum = DefaultQuantumTokens
	}
	for _, w := range u.workspaces {
		w.over = shares > 0 && w.tokens > overFactor*tokens*w.share/shares+quantum
	}
}
