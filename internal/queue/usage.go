package queue

import (
	"math"
	"time"
)

// Defaults of the exported fields of Usage.
const (
	DefaultWindow        = 20 * time.Second
	DefaultQuantumTokens = 100_000
)

// overShareFactor is the multiple of its share that a workspace may use, beside QuantumTokens, before it counts as over
// its share.
const overShareFactor = 1.1

type (
	// Usage tracks the recent token use of the workspaces; it is not safe for concurrent use.
	Usage struct {
		Window        time.Duration // time constant of the decay of past use; 0 means DefaultWindow
		QuantumTokens float64       // tokens that a workspace may always use beyond its share; 0 means DefaultQuantumTokens

		workspaces map[string]*workspaceUse
		evaluated  time.Time // time of the last evaluation
	}

	// workspaceUse is the recent use of one workspace.
	workspaceUse struct {
		share       float64
		tokens      float64 // decaying sum of the charged tokens
		lastRequest time.Time
		overShare   bool
	}
)

// evaluationInterval is the shortest time between two evaluations of the shares.
const evaluationInterval = 50 * time.Millisecond

// SetShare sets the weight of a workspace relative to the others; less than 1 counts as 1.
func (u *Usage) SetShare(workspace string, share int) {
	u.use(workspace).share = float64(max(share, 1))
}

// RecordRequest records that a workspace has sent a grant request, whether or not the request is granted.
func (u *Usage) RecordRequest(now time.Time, workspace string) { u.use(workspace).lastRequest = now }

// Charge counts tokens that were granted to a workspace.
func (u *Usage) Charge(workspace string, tokens int64) {
	u.use(workspace).tokens += float64(tokens)
}

// OverShare reports whether a workspace has used more than its share of the tokens used by all workspaces that have
// sent requests within Window.
func (u *Usage) OverShare(now time.Time, workspace string) bool {
	u.evaluate(now)
	w, ok := u.workspaces[workspace]
	return ok && w.overShare
}

// use returns the use of a workspace and adds it with a share of 1 if it is unknown.
func (u *Usage) use(workspace string) *workspaceUse {
	if u.workspaces == nil {
		u.workspaces = make(map[string]*workspaceUse)
	}
	w, ok := u.workspaces[workspace]
	if !ok {
		w = &workspaceUse{share: 1}
		u.workspaces[workspace] = w
	}
	return w
}

// evaluate decays past use and compares the use of each workspace with its share. It does nothing within
// evaluationInterval of the last evaluation.
func (u *Usage) evaluate(now time.Time) {
	if u.evaluated.IsZero() {
		u.evaluated = now.Add(-evaluationInterval)
	}
	elapsed := now.Sub(u.evaluated)
	if elapsed < evaluationInterval {
		return
	}
	window := u.Window
	if window <= 0 {
		window = DefaultWindow
	}
	decay := math.Exp(-elapsed.Seconds() / window.Seconds())
	u.evaluated = now
	var totalTokens, totalShares float64
	for _, w := range u.workspaces {
		w.tokens *= decay
		if now.Sub(w.lastRequest) < window {
			// Unlike fractions, whole numbers add up to the same sum in any order, and the order of a map varies.
			totalTokens += math.Floor(w.tokens)
			totalShares += w.share
		}
	}
	quantum := u.QuantumTokens
	if quantum <= 0 {
		quantum = DefaultQuantumTokens
	}
	for _, w := range u.workspaces {
		w.overShare = totalShares > 0 && w.tokens > overShareFactor*totalTokens*w.share/totalShares+quantum
	}
}
