package drain

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// How long a listener that is closed goes on accepting the connections that wait in its queue.
	queueTime = 20 * time.Millisecond
	// The interval at which Stop checks whether all connections have sent their first requests.
	pollInterval = 5 * time.Millisecond
)

// Server serves HTTP until Stop.
type Server struct {
	HTTP *http.Server // must be set before Serve; its ConnState is the Server's own
	// FirstRequestTime is how long Stop waits for the first requests on connections that it has accepted.
	FirstRequestTime time.Duration
	// ConnState, if not nil, is called as that of http.Server. It must be set before Serve.
	ConnState func(net.Conn, http.ConnState)

	mu       sync.Mutex
	listener *queueListener
	served   chan struct{}     // closed when Serve accepts no more connections
	fresh    map[net.Conn]bool // connections on which no request has been read completely
}

// queueListener is a listener that ends with net.ErrClosed once it was closed and its queue is empty.
type queueListener struct {
	net.Listener

	mu      sync.Mutex
	closing bool
}

// Accept returns the next connection.
func (l *queueListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil && l.closing {
		_ = l.Close()
		return nil, net.ErrClosed
	}
	return c, err
}

// drain closes the listener after the connections in its queue have been accepted.
func (l *queueListener) drain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closing = true
	limited, ok := l.Listener.(interface{ SetDeadline(t time.Time) error })
	if !ok || limited.SetDeadline(time.Now().Add(queueTime)) != nil {
		_ = l.Close()
	}
}

// Serve serves connections of l until Stop, with TLS if HTTP has a TLS configuration. It returns http.ErrServerClosed
// after Stop, and the error of the listener otherwise.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = &queueListener{Listener: l}
	s.served = make(chan struct{})
	s.fresh = make(map[net.Conn]bool)
	s.HTTP.ConnState = s.track
	s.mu.Unlock()
	defer close(s.served)
	var err error
	if s.HTTP.TLSConfig != nil {
		err = s.HTTP.ServeTLS(s.listener, "", "")
	} else {
		err = s.HTTP.Serve(s.listener)
	}
	if errors.Is(err, net.ErrClosed) {
		return http.ErrServerClosed
	}
	return err
}

// track records on which connections no request has been read yet.
func (s *Server) track(c net.Conn, state http.ConnState) {
	if s.ConnState != nil {
		s.ConnState(c, state)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateNew {
		s.fresh[c] = true
		return
	}
	delete(s.fresh, c)
}

// freshConns returns the number of connections on which no request has been read.
func (s *Server) freshConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.fresh)
}

// BeginStop makes each response the last on its connection, and closes idle connections.
func (s *Server) BeginStop() { s.HTTP.SetKeepAlivesEnabled(false) }

// Stop closes the listener, waits for the first requests on connections that were accepted, and then until all requests
// have ended. It returns the error of ctx if that ends before.
func (s *Server) Stop(ctx context.Context) error {
	s.BeginStop()
	s.mu.Lock()
	listener, served := s.listener, s.served
	s.mu.Unlock()
	if listener != nil {
		listener.drain()
		s.awaitFirstRequests(ctx, served)
	}
	return s.HTTP.Shutdown(ctx)
}

// awaitFirstRequests waits until no connection is accepted any more and a request has been read on each, for at most
// FirstRequestTime.
func (s *Server) awaitFirstRequests(ctx context.Context, served <-chan struct{}) {
	ctx, cancel := context.WithTimeout(ctx, s.FirstRequestTime)
	defer cancel()
	select {
	case <-served:
	case <-ctx.Done():
	}
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	for s.freshConns() > 0 {
		select {
		case <-poll.C:
		case <-ctx.Done():
			return
		}
	}
}

// Close closes the listener and all connections at once.
func (s *Server) Close() error { return s.HTTP.Close() }
