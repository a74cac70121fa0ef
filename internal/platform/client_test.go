package platform

import (
	"context"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	standin "github.com/turmericshunt/turmericshunt/internal/standin/platform"
	"github.com/turmericshunt/turmericshunt/pkg/platformapi"
)

func newClient(s *standin.Server) *Client {
	return &Client{
		Endpoint: netip.MustParseAddrPort("127.0.0.1:1"), Host: "e1", FailureDomain: "fd1",
		HTTPClient: &http.Client{Transport: &standin.InProcess{Server: s}},
	}
}

func TestClientFaults(t *testing.T) {
	tests := []struct {
		name    string
		faults  platformapi.Faults
		write   Kind // of the error of a write that creates a key; empty means success
		read    Kind // of the error of a read of an existing key; empty means success
		applied bool // whether the write took effect
	}{
		{name: "none", applied: true},
		{name: "down", faults: platformapi.Faults{Down: true}, write: KindUnavailable, read: KindUnavailable},
		{name: "hang", faults: platformapi.Faults{Hang: true}, write: KindOutcomeUnknown, read: KindUnavailable},
		{
			name: "lost write response", faults: platformapi.Faults{LoseWriteAnswers: 1}, write: KindOutcomeUnknown,
			applied: true,
		},
		{
			name: "late", faults: platformapi.Faults{LateMS: 3000}, write: KindOutcomeUnknown, read: KindUnavailable,
			applied: true,
		},
		{name: "throttled for a while", faults: platformapi.Faults{Throttle: 2}, applied: true},
		{name: "throttled", faults: platformapi.Faults{Throttle: 100}, write: KindThrottled, read: KindThrottled},
		{
			name: "host cut off", faults: platformapi.Faults{CutOffHosts: []string{"e1"}}, write: KindOutcomeUnknown,
			read: KindUnavailable,
		},
		{
			name: "domain cut off", faults: platformapi.Faults{CutOffFailureDomains: []string{"fd1"}},
			write: KindOutcomeUnknown, read: KindUnavailable,
		},
		{name: "another host cut off", faults: platformapi.Faults{CutOffHosts: []string{"e2"}}, applied: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &standin.Server{}
				c := newClient(s)
				if _, err := c.CompareAndSwap(t.Context(), "old", []byte("v"), 0, ""); err != nil {
					t.Fatal(err)
				}
				s.SetFaults(tt.faults)
				_, err := c.CompareAndSwap(t.Context(), "new", []byte("v"), 0, "")
				if got := KindOf(err); got != tt.write {
					t.Errorf("write: got %q, want %q (%v)", got, tt.write, err)
				}
				_, err = c.Get(t.Context(), "old")
				if got := KindOf(err); got != tt.read {
					t.Errorf("read: got %q, want %q (%v)", got, tt.read, err)
				}
				s.SetFaults(platformapi.Faults{})
				time.Sleep(breakerMaxOpen)
				if _, err = newClient(s).Get(t.Context(), "new"); (err == nil) != tt.applied {
					t.Errorf("applied: got %v, want %v", err == nil, tt.applied)
				}
			})
		})
	}
}

func TestSwapDelete(t *testing.T) {
	c := newClient(&standin.Server{})
	ctx := t.Context()
	first, err := c.CompareAndSwap(ctx, "a/b c", []byte("1"), 0, "")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.CompareAndSwap(ctx, "a/b c", []byte("2"), 0, ""); KindOf(err) != KindConflict {
		t.Errorf("create again: %v", err)
	}
	second, err := c.CompareAndSwap(ctx, "a/b c", []byte("2"), first, "")
	if err != nil || second <= first {
		t.Errorf("swap: %d, %v", second, err)
	}
	if e, err := c.Get(ctx, "a/b c"); err != nil || string(e.Value) != "2" || e.Revision != second {
		t.Errorf("get: %+v, %v", e, err)
	}
	if err := c.Delete(ctx, "a/b c", first); KindOf(err) != KindConflict {
		t.Errorf("delete at an old revision: %v", err)
	}
	if err := c.Delete(ctx, "a/b c", second); err != nil {
		t.Errorf("delete: %v", err)
	}
	if err := c.Delete(ctx, "a/b c", second); KindOf(err) != KindNotFound {
		t.Errorf("delete again: %v", err)
	}
}

func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &standin.Server{}
		c := newClient(s)
		list, err := c.List(t.Context(), "a/")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			time.Sleep(time.Second)
			_, _ = c.CompareAndSwap(context.Background(), "b/x", []byte("other"), 0, "")
			time.Sleep(time.Second)
			_, _ = c.CompareAndSwap(context.Background(), "a/x", []byte("v"), 0, "")
		}()
		start := time.Now()
		got, err := c.Watch(t.Context(), "a/", list.Index, time.Minute)
		if err != nil || len(got.Entries) != 1 || time.Since(start) != 2*time.Second {
			t.Errorf("got %+v after %v, %v", got, time.Since(start), err)
		}
		got, err = c.Watch(t.Context(), "a/", got.Index, time.Minute)
		if err != nil || len(got.Entries) != 1 || time.Since(start) != 62*time.Second {
			t.Errorf("without a change: got %+v after %v, %v", got, time.Since(start), err)
		}
		if calls := s.Calls(); calls.Watches != 2 || calls.Writes != 2 || calls.ByHost["e1"] != 5 {
			t.Errorf("calls: %+v", calls)
		}
	})
}

func TestLeaseLapses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClient(&standin.Server{})
		lease, err := c.GrantLease(t.Context(), 3*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.CompareAndSwap(t.Context(), "k", []byte("v"), 0, lease.ID); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		if _, err := c.RenewLease(t.Context(), lease.ID); err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		list, err := c.List(t.Context(), "k")
		if err != nil || len(list.Entries) != 1 {
			t.Fatalf("got %+v, %v", list, err)
		}
		got, err := c.Watch(t.Context(), "k", list.Index, time.Minute)
		if err != nil || len(got.Entries) != 0 || time.Since(start) != 3*time.Second {
			t.Errorf("got %+v after %v, %v", got, time.Since(start), err)
		}
		if _, err := c.RenewLease(t.Context(), lease.ID); KindOf(err) != KindLeaseExpired {
			t.Errorf("renewed: %v", err)
		}
		if _, err := c.CompareAndSwap(t.Context(), "k2", []byte("v"), 0, lease.ID); KindOf(err) != KindLeaseExpired {
			t.Errorf("wrote with an expired lease: %v", err)
		}
	})
}

func TestHosts(t *testing.T) {
	s := &standin.Server{}
	c := newClient(s)
	s.SetHosts([]platformapi.Host{{Name: "g1", Kind: platformapi.KindEngine}})
	got, err := c.Hosts(t.Context(), 0, time.Second)
	if err != nil || got.Index != 1 || len(got.Hosts) != 1 {
		t.Errorf("got %+v, %v", got, err)
	}
}

func TestStaleReads(t *testing.T) {
	s := &standin.Server{}
	c := newClient(s)
	revision := uint64(0)
	for _, v := range []string{"1", "2", "3", "4", "5"} {
		var err error
		if revision, err = c.CompareAndSwap(t.Context(), "k", []byte(v), revision, ""); err != nil {
			t.Fatal(err)
		}
	}
	s.SetFaults(platformapi.Faults{StaleReads: true})
	if e, err := c.Get(t.Context(), "k"); err != nil || string(e.Value) != "2" {
		t.Errorf("got %q, %v", e.Value, err)
	}
}

func TestConnectionRefused(t *testing.T) {
	c := &Client{Endpoint: closedPort(t)}
	if _, err := c.CompareAndSwap(t.Context(), "k", nil, 0, ""); KindOf(err) != KindUnavailable {
		t.Errorf("got %v, want %s", err, KindUnavailable)
	}
}
