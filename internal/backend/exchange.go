package backend

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/internal/call"
)

// Exchange is one call at one server, from its sending to the end of the answer.
type Exchange struct {
	Reply *Reply
	// Patience returns how much longer nothing may come after a silence that was too long; 0 ends the exchange.
	Patience func() time.Duration

	pool    *Pool
	conn    *conn
	call    *call.Call
	stop    func() bool
	resp    *http.Response
	writing <-chan error
	silence time.Duration
	ended   bool
}

// maxStrayReplies is how many answers to other calls are skipped on a connection.
const maxStrayReplies = 3

func (x *Exchange) start(ctx context.Context, head []byte, silence time.Duration) error {
	x.silence = silence
	writing, err := x.conn.write(head, x.call.Body)
	x.writing = writing
	if err != nil {
		return x.failure(ctx, "send", err)
	}
	for range maxStrayReplies {
		if err := x.readHead(); err != nil {
			return x.failure(ctx, "read answer", err)
		}
		if x.Reply.CallID == x.call.ID || x.Reply.CallID == "" && x.Reply.Status >= http.StatusBadRequest {
			return nil
		}
		if err := discard(x.resp); err != nil {
			return x.failure(ctx, "skip answer to another call", err)
		}
	}
	return x.failure(ctx, "read answer", errors.New("only answers to other calls"))
}

func (x *Exchange) readHead() error {
	for {
		if err := x.awaitBytes(); err != nil {
			return err
		}
		resp, err := http.ReadResponse(x.conn.reader, &http.Request{Method: x.call.Method})
		if err != nil {
			return err
		}
		if resp.StatusCode >= http.StatusContinue && resp.StatusCode < http.StatusOK {
			continue
		}
		x.resp = resp
		x.Reply = x.pool.Codec.Reply(resp)
		x.conn.noteIdleTime(resp.Header)
		return nil
	}
}

// awaitBytes waits until something has come, as long as the silence is not too long or to be expected.
func (x *Exchange) awaitBytes() error {
	if x.conn.reader.Buffered() > 0 {
		return nil
	}
	for {
		x.waitUpTo(x.silence)
		_, err := x.conn.reader.Peek(1)
		var timeout interface{ Timeout() bool }
		if err == nil || !errors.As(err, &timeout) || !timeout.Timeout() || x.Patience == nil {
			x.waitUpTo(x.silence)
			return err
		}
		patience := x.Patience()
		if patience <= 0 {
			return err
		}
		x.silence = patience
	}
}

// Silence sets how long Read may wait for the next bytes.
func (x *Exchange) Silence(d time.Duration) { x.silence = d }

// Read reads the body; it returns io.EOF at the end of a whole one only.
func (x *Exchange) Read(b []byte) (int, error) {
	if x.resp.ContentLength == 0 {
		return 0, io.EOF
	}
	if err := x.awaitBytes(); err != nil && !errors.Is(err, io.EOF) {
		return 0, err
	}
	return x.resp.Body.Read(b)
}

// ReadAll reads the whole body of at most limit bytes.
func (x *Exchange) ReadAll(ctx context.Context, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(x, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = errors.Errorf("answer over %d bytes", limit)
	}
	if err != nil {
		return nil, x.failure(ctx, "read answer", err)
	}
	return body, nil
}

// Failure makes the error for a Read that failed with err.
func (x *Exchange) Failure(ctx context.Context, err error) error {
	return x.failure(ctx, "read answer", err)
}

// Done ends the exchange after its whole answer was read, so that the connection can be used again.
func (x *Exchange) Done() {
	if x.ended {
		return
	}
	x.ended = true
	open := x.stop()
	framed := x.resp.ContentLength >= 0 || x.chunked()
	if !open || !framed || x.resp.Close || x.conn.reader.Buffered() > 0 || !x.written() {
		x.conn.close()
		return
	}
	x.waitUpTo(0)
	x.pool.put(x.conn)
}

func (x *Exchange) chunked() bool {
	return len(x.resp.TransferEncoding) > 0 && x.resp.TransferEncoding[0] == "chunked"
}

// written tells whether the whole body has been sent.
func (x *Exchange) written() bool {
	if x.writing == nil {
		return true
	}
	select {
	case err := <-x.writing:
		return err == nil
	default:
		return false
	}
}

// Abort ends the exchange at once; the server sees its connection close.
func (x *Exchange) Abort() {
	if x.ended {
		return
	}
	x.ended = true
	x.stop()
	x.conn.close()
}

func (x *Exchange) waitUpTo(d time.Duration) {
	var deadline time.Time
	if d > 0 {
		deadline = time.Now().Add(d)
	}
	// A failure shows at the read that follows.
	_ = x.conn.net.SetReadDeadline(deadline)
}

func (x *Exchange) failure(ctx context.Context, op string, err error) error {
	kind := KindBroken
	var timeout interface{ Timeout() bool }
	switch {
	case ctx.Err() != nil:
		kind = KindCanceled
	case errors.As(err, &timeout) && timeout.Timeout():
		kind = KindSilent
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return &Error{Op: op, Kind: kind, Sent: true, Err: err}
}
