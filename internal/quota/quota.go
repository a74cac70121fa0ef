package quota

import (
	"sync"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/document"
)

// DefaultPropagationDelay is the default of Limiter.PropagationDelay.
const DefaultPropagationDelay = 2 * time.Second

type (
	// Limiter applies the limits of the workspaces over a failure domain. Each host counts its own requests and learns of
	// those of the other hosts from their reports. It is safe for concurrent use.
	Limiter struct {
		Host             string        // name of this host
		Incarnation      uint64        // of this host
		HostCount        int           // number of entry hosts of the failure domain, including this one
		PropagationDelay time.Duration // time in which a host's usage reaches the others; 0 means DefaultPropagationDelay

		mu         sync.Mutex
		workspaces map[string]*usage
	}

	// Decision tells whether a request is within the limits of its workspace. RetryAfter is set only if OK is false.
	Decision struct {
		OK         bool
		RetryAfter time.Duration
	}

	// usage is what one workspace has used, as far as this host knows.
	usage struct {
		limits     document.Workspace
		balance    float64              // tokens left in the failure domain, without the predictions deducted
		refilledAt time.Time            // when balance was last refilled
		total      float64              // tokens used through this host
		pending    float64              // tokens predicted for the requests in flight through this host
		inFlight   int                  // requests in flight through this host
		peers      map[string]peerUsage // by host name
		share      hostShare
	}

	// hostShare is what this host may admit until end, by when it has received the usage of the other hosts again.
	hostShare struct {
		end      time.Time
		tokens   float64
		requests int
	}

	// peerUsage is what another host last reported of its usage of a workspace.
	peerUsage struct {
		incarnation uint64  // of the host
		total       float64 // tokens used through the host by this incarnation
		pending     float64 // tokens predicted for its requests in flight
		inFlight    int
		receivedAt  time.Time
	}
)

// SetLimits replaces the limits. A workspace that was already known keeps its usage; a new one starts with the tokens
// of one minute. The usage of workspaces that are not in the list is dropped.
func (l *Limiter) SetLimits(workspaces []document.Workspace) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.workspaces
	l.workspaces = make(map[string]*usage, len(workspaces))
	for _, w := range workspaces {
		u, ok := old[w.Name]
		if !ok {
			u = &usage{balance: float64(w.TokensPerMinute), peers: make(map[string]peerUsage)}
		}
		u.limits = w
		l.workspaces[w.Name] = u
	}
}

// SetHostCount sets the number of entry hosts of the failure domain, including this one.
func (l *Limiter) SetHostCount(count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.HostCount = count
}
