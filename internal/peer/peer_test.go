package peer

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/internal/certificate"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
)

type echo struct{}

func (echo) HandlePeer(ctx context.Context, m *protocol.Message) *protocol.Message {
	switch {
	case m.Finish != nil:
		return nil
	case m.Ask != nil:
		<-ctx.Done()
		return nil
	}
	return m
}

func open(t *testing.T, ctx context.Context, at netip.AddrPort) *Transport {
	t.Helper()
	keys := &certificate.Source{}
	if err := keys.Load(); err != nil {
		t.Fatal(err)
	}
	transport := &Transport{Listen: at, Server: keys.Server(NextProto), Client: keys.Client(NextProto), Handler: echo{}}
	if err := transport.Open(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(transport.Close)
	go transport.Run(ctx)
	return transport
}

func TestCall(t *testing.T) {
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	a := open(t, t.Context(), loopback)
	b := open(t, t.Context(), loopback)
	tests := []struct {
		name    string
		message protocol.Message
		timeout time.Duration
		kind    Kind
	}{
		{"answer", protocol.Message{Done: &protocol.Done{}}, time.Minute, ""},
		{"no answer", protocol.Message{Finish: &protocol.Finish{}}, time.Minute, KindBroken},
		{"timeout", protocol.Message{Ask: &protocol.Ask{}}, 50 * time.Millisecond, KindTimeout},
		{"second timeout", protocol.Message{Ask: &protocol.Ask{}}, 50 * time.Millisecond, KindTimeout},
		{"answer on a new connection", protocol.Message{Done: &protocol.Done{}}, time.Minute, ""},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), tc.timeout)
			defer cancel()
			_, err := a.Call(ctx, b.Listen, &tc.message)
			var failure *Error
			if errors.As(err, &failure) != (tc.kind != "") || failure != nil && failure.Kind != tc.kind {
				t.Errorf("got %v, want kind %q", err, tc.kind)
			}
		})
	}
	if sent, received := a.Traffic(); sent == 0 || received == 0 {
		t.Errorf("counted %d bytes sent, %d received", sent, received)
	}
}

func TestCallReachesRestartedPeer(t *testing.T) {
	a := open(t, t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	b := open(t, t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	if _, err := a.Call(t.Context(), b.Listen, &protocol.Message{Done: &protocol.Done{}}); err != nil {
		t.Fatal(err)
	}
	b.Close()
	c := open(t, t.Context(), b.Listen)
	a.Drop(b.Listen)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	for ctx.Err() == nil {
		if _, err := a.Call(ctx, c.Listen, &protocol.Message{Done: &protocol.Done{}}); err == nil {
			return
		}
	}
	t.Error("no call reached the restarted peer")
}

func TestDropEndsCalls(t *testing.T) {
	a := open(t, t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	b := open(t, t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	if _, err := a.Call(t.Context(), b.Listen, &protocol.Message{Done: &protocol.Done{}}); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() {
		_, err := a.Call(t.Context(), b.Listen, &protocol.Message{Ask: &protocol.Ask{}})
		ended <- err
	}()
	for {
		a.Drop(b.Listen)
		select {
		case err := <-ended:
			if err == nil {
				t.Error("a dropped call has an answer")
			}
			return
		case <-time.After(time.Millisecond):
		}
	}
}
