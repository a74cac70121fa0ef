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

// handler does not answer a Finish, waits for the end of the call on an Ask without answering it, and echoes any
// other message.
type handler struct{}

func (handler) HandlePeer(ctx context.Context, m *protocol.Message) *protocol.Message {
	switch {
	case m.GrantRelease != nil:
		return nil
	case m.GrantRequest != nil:
		<-ctx.Done()
		return nil
	}
	return m
}

// openTransport runs a transport at an address until the test ends.
func openTransport(t *testing.T, ctx context.Context, at netip.AddrPort) *Transport {
	t.Helper()
	keys := &certificate.KeySource{}
	if err := keys.Load(); err != nil {
		t.Fatal(err)
	}
	transport := &Transport{
		Listen: at, Server: keys.ServerConfig(NextProto), Client: keys.ClientConfig(NextProto),
		Handler: handler{},
	}
	if err := transport.Open(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(transport.Close)
	go transport.Run(ctx)
	return transport
}

// TestCall checks the kinds of errors of calls, and that a call opens a new connection after two calls timed out.
func TestCall(t *testing.T) {
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	a := openTransport(t, t.Context(), loopback)
	b := openTransport(t, t.Context(), loopback)
	tests := []struct {
		name    string
		message protocol.Message
		timeout time.Duration
		kind    Kind
	}{
		{"answer", protocol.Message{Done: &protocol.Confirmation{}}, time.Minute, ""},
		{"no answer", protocol.Message{GrantRelease: &protocol.GrantRelease{}}, time.Minute, KindBroken},
		{"timeout", protocol.Message{GrantRequest: &protocol.GrantRequest{}}, 50 * time.Millisecond, KindTimeout},
		{"second timeout", protocol.Message{GrantRequest: &protocol.GrantRequest{}}, 50 * time.Millisecond, KindTimeout},
		{"answer on a new connection", protocol.Message{Done: &protocol.Confirmation{}}, time.Minute, ""},
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

// TestCallReachesRestartedPeer checks that calls reach a peer that has restarted at the same address after CloseConn.
func TestCallReachesRestartedPeer(t *testing.T) {
	a := openTransport(t, t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	b := openTransport(t, t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	if _, err := a.Call(t.Context(), b.Listen, &protocol.Message{Done: &protocol.Confirmation{}}); err != nil {
		t.Fatal(err)
	}
	b.Close()
	c := openTransport(t, t.Context(), b.Listen)
	a.CloseConn(b.Listen)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	for ctx.Err() == nil {
		if _, err := a.Call(ctx, c.Listen, &protocol.Message{Done: &protocol.Confirmation{}}); err == nil {
			return
		}
	}
	t.Error("no call reached the restarted peer")
}

// TestDropEndsCalls checks that CloseConn ends a call in progress with an error.
func TestDropEndsCalls(t *testing.T) {
	a := openTransport(t, t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	b := openTransport(t, t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	if _, err := a.Call(t.Context(), b.Listen, &protocol.Message{Done: &protocol.Confirmation{}}); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() {
		_, err := a.Call(t.Context(), b.Listen, &protocol.Message{GrantRequest: &protocol.GrantRequest{}})
		ended <- err
	}()
	for {
		a.CloseConn(b.Listen)
		select {
		case err := <-ended:
			if err == nil {
				t.Error("a call on a dropped connection succeeded")
			}
			return
		case <-time.After(time.Millisecond):
		}
	}
}
