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

// drainTimeout limits how long Close waits for the end of the response body after the last frame.
const drainTimeout = 100 * time.Millisecond

// Stream reads the frames of one streamed response of an engine. Only one goroutine may read it at a time.
type Stream struct {
	server       protocol.Server
	op           string
	body         io.ReadCloser
	frames       *frameReader
	ctx          context.Context // of the HTTP exchange; a child of callerCtx
	callerCtx    context.Context // with which the stream was opened
	cancel       context.CancelCauseFunc
	frameTimeout time.Duration // longest wait for the next frame
	timer        *time.Timer   // cancels ctx when frameTimeout has passed; stopped between reads
	ended        bool          // an end or error frame was read
	onError      func(*Error)  // is called with each error that a read returns
	closeOnce    sync.Once
}

// open sends a request whose response is a stream of frames. The time from sending the request to the header of the
// response is limited by the same timeout as the wait for a frame. It returns an *Error if the call fails or the
// engine answers with another status than 200.
func (c *Client) open(
	callerCtx context.Context, op string, server protocol.Server, method, path string, body any,
) (*Stream, error) {
	ctx, cancel := context.WithCancelCause(callerCtx)
	frameTimeout := orDefault(c.FrameTimeout, defaultFrameTimeout)
	timer := time.AfterFunc(frameTimeout, func() { cancel(errReceiveTimeout) })
	x := &exchange{op: op, server: server, method: method, path: path, body: body}
	resp, transport, err := c.send(ctx, callerCtx, x)
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
		ctx: ctx, callerCtx: callerCtx, cancel: cancel, frameTimeout: frameTimeout, timer: timer,
		onError: func(e *Error) { c.discardFaultyPool(server, transport, e) },
	}, nil
}

// Next waits for the next frame and returns its event name and content. It returns io.EOF if the previous frame was an
// end or error frame, and an *Error if the read fails or ctx ends.
func (s *Stream) Next(ctx context.Context) (string, engineapi.Frame, error) {
	if s.ended {
		return "", engineapi.Frame{}, io.EOF
	}
	if ctx != s.callerCtx {
		stop := context.AfterFunc(ctx, func() { s.cancel(ctx.Err()) })
		defer stop()
	}
	s.timer.Reset(s.frameTimeout)
	event, frame, err := s.frames.next()
	s.timer.Stop()
	if err != nil {
		return "", engineapi.Frame{}, s.fail(ctx, err)
	}
	s.ended = event == engineapi.FrameEnd || event == engineapi.FrameError
	return event, frame, nil
}

// fail classifies err, with which reading a frame failed, and reports it to onError.
func (s *Stream) fail(ctx context.Context, err error) *Error {
	e := callError(s.ctx, ctx, s.op, s.server.Name, true, err)
	if e.Kind == KindBroken && errors.Is(err, errInvalidFrame) {
		e.Kind = KindInvalid
	}
	s.onError(e)
	return e
}

// Close ends the stream. After an end or error frame it reads up to the end of the response body, so that the
// connection can be reused; a stream that has not ended loses its connection.
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
