package quota

import (
	"sync"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/document"
)

// DefaultSpread is the default of Limiter.Spread.
const DefaultSpread = 2 * time.Second

type (
	// Limiter holds the limits of the workspaces over a failure domain; it is safe for concurrent use.
	Limiter struct {
		Host        string
		Incarnation uint64
		Hosts       int           // entry hosts of the failure domain, this one included
		Spread      time.Duration // time within which a host's use reaches the others; 0 means DefaultSpread

		mu         sync.Mutex
		workspaces map[string]*usage
	}

	// Verdict says whether a request is within the limits of its workspace; RetryAfter is set when it is not.
	Verdict struct {
		OK         bool
		RetryAfter time.Duration
	}

	// usage is what one workspace has used.
	usage struct {
		limits   document.Workspace
		level    float64 // tokens left to use in the failure domain, as known here
		at       time.Time
		total    float64 // tokens used through this host
		pending  float64 // tokens predicted for the requests in flight through this host
		inFlight int
		peers    map[string]peer
		window   window
	}

	// window is what this host may admit until it has heard from the others again.
	window struct {
		end      time.Time
		tokens   float64
		requests int
	}

	// peer is what another host has told of its use of a workspace.
	peer struct {
		incarnation uint64
		total       float64
		pending     float64
		inFlight    int
		at          time.Time
	}
)

// Set replaces the limits.
func (l *Limiter) Set(workspaces []document.Workspace) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.workspaces
	l.workspaces = make(map[string]*usage, len(workspaces))
	for _, w := range workspaces {
		u, ok := old[w.Name]
		if !ok {
			u = &usage{level: float64(w.TokensPerMinute), peers: make(map[string]peer)}
		}
		u.limits = w
		l.workspaces[w.Name] = u
	}
}

// SetHosts tells how many entry hosts the failure domain has, this one included.
func (l *Limiter) SetHosts(count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Hosts = count
}
