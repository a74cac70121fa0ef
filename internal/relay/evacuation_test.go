package relay_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/backend"
	"github.com/turmericshunt/turmericshunt/internal/dialer"
	"github.com/turmericshunt/turmericshunt/internal/netconn"
	"github.com/turmericshunt/turmericshunt/internal/planner"
	"github.com/turmericshunt/turmericshunt/internal/relay"
	"github.com/turmericshunt/turmericshunt/internal/replica"
	"github.com/turmericshunt/turmericshunt/internal/steady"
	"github.com/turmericshunt/turmericshunt/platform"
)

// The planner doesn't know of an evacuation. Guards against a host that sends to an evacuated replica, as the primary one or
// with a helper there, and against one that asks again for each replica of the domain or gives up after a few of them.
func TestPlanWithEvacuatedReplicaIsDropped(t *testing.T) {
	r, p, replicas := statingWorld(t, http.StatusOK, nil)
	evacuated := []string{"a"}
	for _, id := range []string{"c", "d", "e", "f", "g"} { // before the sound replica b
		evacuated = append(evacuated, id)
		p.replicas = slices.Insert(p.replicas, 1, replica.Replica{ID: id, Address: p.replicas[0].Address})
	}
	p.evacuate(evacuated...)
	if status := serveOne(r, "r1"); status != http.StatusOK || replicas[0].requests != 0 || replicas[1].requests != 1 {
		t.Errorf("status %d; the evacuated replica got %d requests, the other one %d", status, replicas[0].requests,
			replicas[1].requests)
	}
	if want := []planner.Outcome{planner.OutcomeCanceled, planner.OutcomeCompleted}; !slices.Equal(p.ended, want) {
		t.Errorf("ended %v, want %v", p.ended, want)
	}
	p.evacuate("h")
	p.helpers = []planner.Helper{{Replica: "h", Address: p.replicas[0].Address}}
	if status := serveOne(r, "r2"); status == http.StatusOK || replicas[0].requests != 0 || replicas[1].requests != 1 {
		t.Errorf("status %d; the replicas got %d and %d requests though each plan has an evacuated helper", status,
			replicas[0].requests, replicas[1].requests)
	}
}

// exhaustBudget takes all retries from the budget.
func exhaustBudget(r *relay.Relay) {
	r.Budget.SetLimits(0, 0, time.Hour)
	for r.Budget.TryTake(steady.Now(), "desk") {
	}
}

// evacuatingMemory evacuates a replica when memory is reserved the first time.
type evacuatingMemory struct {
	noMemory
	planner  *unawarePlanner
	evacuate string

	mu       sync.Mutex
	reserved []netip.AddrPort
}

func (m *evacuatingMemory) Reserve(_ context.Context, engine replica.Location, _ string, _ int, _ time.Duration) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reserved = append(m.reserved, engine.Address)
	m.planner.evacuate(m.evacuate)
	return nil
}

// A helper's failure domain is evacuated while memory is reserved at another one. Guards against memory that is reserved in
// the evacuated domain, against a request that is sent with such a helper, and against a primary replica that is blamed or a
// retry that is counted though nothing was sent.
func TestNoMemoryIsReservedInEvacuatedDomain(t *testing.T) {
	r, p, replicas := statingWorld(t, http.StatusOK, nil)
	exhaustBudget(r)
	memory := &evacuatingMemory{planner: p, evacuate: "h2"}
	r.Memory = memory
	first, second := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	p.helpers = []planner.Helper{
		{Replica: "h1", Address: first, ReservedTokens: 10}, {Replica: "h2", Address: second, ReservedTokens: 10},
	}
	p.helpersOf = "a"
	if status := serveOne(r, "r1"); status != http.StatusOK || replicas[0].requests != 0 || replicas[1].requests != 1 {
		t.Errorf("status %d; requests %d and %d", status, replicas[0].requests, replicas[1].requests)
	}
	memory.mu.Lock()
	defer memory.mu.Unlock()
	if slices.Contains(memory.reserved, second) || len(memory.reserved) == 0 {
		t.Errorf("memory was reserved at %v", memory.reserved)
	}
	if want := []planner.Outcome{planner.OutcomeCanceled, planner.OutcomeCompleted}; !slices.Equal(p.ended, want) {
		t.Errorf("ended %v, want %v", p.ended, want)
	}
}

// A failure domain is evacuated, or a replica leaves, while the connection to a replica there is made. Guards against a request
// that is sent because the check came before the connection, against an idle connection that is used after it, and against a
// request that isn't idempotent which isn't sent elsewhere.
func TestServerIsWithdrawnWhileConnecting(t *testing.T) {
	for name, withdraw := range map[string]func(p *unawarePlanner){
		"evacuation": func(p *unawarePlanner) { p.evacuate("a") },
		"leaving":    func(p *unawarePlanner) { p.Leaving(replica.Replica{ID: "a"}) },
	} {
		t.Run(name, func(t *testing.T) {
			r, p, replicas := statingWorld(t, http.StatusOK, nil)
			exhaustBudget(r)
			r.Pool = &backend.Pool{Codec: platform.HeaderCodec{}, Dialer: &dialer.Dialer{
				Connect: func(ctx context.Context, server netip.AddrPort) (*net.TCPConn, error) {
					c, err := netconn.Connect(ctx, server)
					if server == p.replicas[0].Address {
						withdraw(p)
					}
					return c, err
				},
			}}
			if status := serveOne(r, "r1"); status != http.StatusOK || replicas[0].requests != 0 || replicas[1].requests != 1 {
				t.Errorf("status %d; the withdrawn replica got %d requests, the other one %d", status, replicas[0].requests,
					replicas[1].requests)
			}
		})
	}
}
