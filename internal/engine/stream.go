package engine

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
)

const drainTimeout = 100 * time.Millisecond

// Stream is the sequence of an answer's frames; one goroutine may read it at a time.
type Stream struct {
	server    protocol.Server
	op        string
	body      io.ReadCloser
	frames    *frameReader
	ctx       context.Context
	caller    context.Context
	cancel    context.CancelCauseFunc
	gap       time.Duration
	timer     *time.Timer
	ended     bool
	silent    func(*Error)
	closeOnce sync.Once
}

// open starts a stream; silence is bounded from the moment of sending on.
func (c *Client) open(
	caller context.Context, op string, server protocol.Server, method, path string, body any,
) (*Stream, error) {
	ctx, cancel := context.WithCancelCause(caller)
	gap := orDefault(c.GapTimeout, defaultGapTimeout)
	timer := time.AfterFunc(gap, func() { cancel(errSilent) })
	x := &exchange{op: op, server: server, method: method, path: path, body: body}
	resp, transport, err := c.send(ctx, caller, x)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = refusalError(op, server.Name, resp)
		resp.Body.Close()
	}
	timer.Stop()
	if err != nil {
		cancel(nil)
		return nil, err
	}
	return &Stream{
		server: server, op: op, body: resp.Body, frames: newFrameReader(resp.Body),
		ctx: ctx, caller: caller, cancel: cancel, gap: gap, timer: timer,
		silent: func(e *Error) { c.dropFaulty(server, transport, e) },
	}, nil
}

// Next returns the next frame and its kind, io.EOF after an end or error frame, or an *Error.
func (s *Stream) Next(ctx context.Context) (string, engineapi.Frame, error) {
	if s.ended {
		return "", engineapi.Frame{}, io.EOF
	}
	if ctx != s.caller {
		stop := context.AfterFunc(ctx, func() { s.cancel(ctx.Err()) })
		defer stop()
	}
	s.timer.Reset(s.gap)
	event, frame, err := s.frames.next()
	s.timer.Stop()
	if err != nil {
		return "", engineapi.Frame{}, s.fail(ctx, err)
	}
	s.ended = event == engineapi.FrameEnd || event == engineapi.FrameError
	return event, frame, nil
}

func (s *Stream) fail(ctx context.Context, err error) *Error {
	e := callError(s.ctx, ctx, s.op, s.server.Name, true, err)
	if e.Kind == KindBroken && errors.Is(err, errFrame) {
		e.Kind = KindInvalid
	}
	s.silent(e)
	return e
}

// Close ends the stream; the connection is kept when the answer has been read to its end.
func (s *Stream) Close() {
	s.closeOnce.Do(func() {
		if s.ended {
			s.timer.Reset(drainTimeout)
			_, _ = s.body.Read(make([]byte, 1))
		}
		s.timer.Stop()
		_ = s.body.Close()
		s.cancel(nil)
	})
}
