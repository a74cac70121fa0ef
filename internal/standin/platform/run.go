package platform

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// shutdownTimeout limits how long open calls may take to end after a stop, and how long a client may take to send its
// request header.
const shutdownTimeout = 2 * time.Second

// Run serves the platform's API on l until ctx ends. Calls that are still open shutdownTimeout later are cut off. It
// returns an error if l fails.
func (s *Server) Run(ctx context.Context, l net.Listener) error {
	srv := &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: shutdownTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	done := make(chan error, 1)
	go func() { done <- srv.Serve(l) }()
	select {
	case err := <-done:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if err := srv.Shutdown(stop); err != nil {
		return errors.Wrap(srv.Close(), "close")
	}
	return nil
}
