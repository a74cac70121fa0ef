package platform

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const shutdownTimeout = 2 * time.Second

// Run serves the platform's interface on l until ctx ends.
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
