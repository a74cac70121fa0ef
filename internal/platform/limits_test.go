package platform

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	standin "github.com/turmericshunt/turmericshunt/internal/standin/platform"
	"github.com/turmericshunt/turmericshunt/pkg/platformapi"
)

// closedPort returns an address that refuses connections.
func closedPort(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return netip.MustParseAddrPort(l.Addr().String())
}

func TestBucketPriorities(t *testing.T) {
	now := time.Unix(0, 0)
	tests := []struct {
		name     string
		priority Priority
		want     int // calls that a full bucket allows at once
	}{
		{"claim takes the whole burst", PriorityClaim, 100},
		{"config leaves a quarter", PriorityConfig, 75},
		{"rest leaves half", PriorityOther, 50},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBucket(100)
			got := 0
			for b.take(now, tt.priority) == 0 {
				got++
			}
			if got != tt.want {
				t.Errorf("got %d calls, want %d", got, tt.want)
			}
			if wait := b.take(now, tt.priority); b.take(now.Add(wait), tt.priority) != 0 {
				t.Errorf("no token after the stated wait of %v", wait)
			}
		})
	}
}

func TestBreaker(t *testing.T) {
	now := time.Unix(0, 0)
	b := &breaker{rnd: rand.New(rand.NewPCG(1, 1))}
	for range breakerFailures {
		if ok, _ := b.allow(now); !ok {
			t.Fatal("breaker opened too early")
		}
		b.failed(now)
	}
	ok, wait := b.allow(now)
	if ok || wait < breakerMinOpen/2 || wait > breakerMinOpen {
		t.Fatalf("allow: %v, wait %v", ok, wait)
	}
	now = now.Add(wait)
	if ok, _ := b.allow(now); !ok {
		t.Error("no probe after the open period")
	}
	if ok, _ := b.allow(now); ok {
		t.Error("two probes at once")
	}
	b.failed(now)
	if ok, longer := b.allow(now); ok || longer < breakerMinOpen {
		t.Errorf("after a failed probe: %v, wait %v", ok, longer)
	}
	now = now.Add(breakerMaxOpen)
	b.allow(now)
	b.succeeded()
	if ok, _ := b.allow(now); !ok {
		t.Error("still open after a successful probe")
	}
}

// TestBreakerLimitsCallsInOutage checks that few of the calls made during an outage of one minute reach the platform,
// and that calls succeed after it.
func TestBreakerLimitsCallsInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &standin.Server{}
		c := newClient(s)
		s.SetFaults(platformapi.Faults{Down: true})
		for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			_, _ = c.CompareAndSwap(t.Context(), "k", nil, 0, "")
		}
		if calls := s.Calls(); calls.Writes > 40 {
			t.Errorf("%d calls reached the platform in a one-minute outage", calls.Writes)
		}
		s.SetFaults(platformapi.Faults{})
		time.Sleep(breakerMaxOpen)
		if _, err := c.CompareAndSwap(t.Context(), "k", nil, 0, ""); err != nil {
			t.Errorf("after the outage: %v", err)
		}
	})
}

func TestRateIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &standin.Server{}
		c := newClient(s)
		c.WritesPerSecond = 10
		start := time.Now()
		for range 40 {
			if _, err := c.GrantLease(WithPriority(t.Context(), PriorityClaim), time.Minute); err != nil {
				t.Fatal(err)
			}
		}
		if took := time.Since(start); took < 3*time.Second || took > 4*time.Second {
			t.Errorf("40 writes with a burst of 10 at 10/s took %v", took)
		}
	})
}

// TestBreakerIgnoresShortDeadlines checks that calls whose deadlines are too short for the platform to respond do not
// open the circuit breaker.
func TestBreakerIgnoresShortDeadlines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &standin.Server{}
		c := newClient(s)
		s.SetFaults(platformapi.Faults{LateMS: 50})
		for range 3 * breakerFailures {
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
			_, _ = c.CompareAndSwap(ctx, "k", nil, 0, "")
			cancel()
		}
		if _, err := c.List(t.Context(), ""); err != nil {
			t.Error(err)
		}
	})
}

// TestSilentConnections checks that at most one call fails when all open connections stop carrying data although new
// connections work.
func TestSilentConnections(t *testing.T) {
	const connections = 8
	s := &standin.Server{}
	type connection struct{}
	var silent atomic.Bool
	var opened atomic.Int32
	received := make(chan struct{}, connections)
	release := make(chan struct{})
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		old := r.Context().Value(connection{}).(int32) <= connections
		switch {
		case silent.Load() && old:
			<-r.Context().Done()
			return
		case !silent.Load():
			received <- struct{}{}
			<-release // hold all calls at once, so that each opens a connection of its own
		}
		s.Handler().ServeHTTP(w, r)
	}))
	srv.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, connection{}, opened.Add(1))
	}
	srv.Start()
	defer srv.Close()
	c := &Client{Endpoint: netip.MustParseAddrPort(srv.Listener.Addr().String())}
	var calls sync.WaitGroup
	for range connections {
		calls.Go(func() { _, _ = c.List(t.Context(), "") })
	}
	for range connections {
		<-received
	}
	close(release)
	calls.Wait()
	silent.Store(true)
	c.Timeout = 100 * time.Millisecond
	if _, err := c.CompareAndSwap(t.Context(), "k", nil, 0, ""); KindOf(err) != KindOutcomeUnknown {
		t.Errorf("over a connection without data: %v", err)
	}
	c.Timeout = 0
	if _, err := c.CompareAndSwap(t.Context(), "k", nil, 0, ""); err != nil {
		t.Errorf("after one failed call: %v", err)
	}
}
