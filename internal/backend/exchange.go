package backend

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/internal/call"
	"github.com/turmericshunt/turmericshunt/internal/payload"
)

// Exchange is one call at one server, from sending the request to the end of the response.
type Exchange struct {
	Head          *ResponseHead // head of the response to the call
	pool          *Pool
	conn          *conn
	call          *call.Call
	stopAfterFunc func() bool // result of context.AfterFunc, which resets conn when the context ends
	resp          *http.Response
	bodySent      <-chan error // result of writing the body in the background; nil if it isn't
	ended         bool         // Finish or Abort was called
	reused        bool         // the connection has carried earlier calls
	writtenBefore int64        // bytes of these
	written       int64        // bytes of this call, once the exchange has ended
	read          atomic.Int64 // bytes of the body of the response that were read
}

// Transmission says what was sent of a call, and how.
type Transmission struct {
	Local   string // address of the connection at this host; "" if there was none
	Reused  bool   // the connection has carried earlier calls
	Written int64  // bytes of the request that the system has taken
	Read    int64  // bytes of the body of the response that were read
}

// Transmission returns what was sent so far.
func (x *Exchange) Transmission() Transmission {
	return Transmission{Local: x.conn.net.LocalAddr().String(), Reused: x.reused, Written: x.bytesWritten(), Read: x.read.Load()}
}

// bytesWritten returns the number of bytes of the call that the system has taken.
func (x *Exchange) bytesWritten() int64 {
	if x.ended {
		return x.written
	}
	return x.conn.net.Written() - x.writtenBefore
}

// maxResponsesRead is the number of responses that are read in search of the one to the call, this one included. The
// others are responses to other calls on the same connection, and are skipped.
const maxResponsesRead = 3

// errNoCallNamed is the error of a response that may be a late copy of the response to an earlier call.
var errNoCallNamed = errors.New("the response names no call, and the connection was used before")

// sendAndReadHead sends the request and reads the head of the response to it. A response with an error status that
// names no call is taken as the response to this call if it is the first on its connection.
func (x *Exchange) sendAndReadHead(ctx context.Context, head []byte, maxSilence time.Duration) error {
	x.conn.setMaxSilence(maxSilence)
	x.reused, x.writtenBefore = x.conn.used, x.conn.net.Written()
	bodySent, err := x.conn.writeRequest(head, x.call.Body)
	x.bodySent = bodySent
	if err != nil {
		return x.wrapError(ctx, "send", err)
	}
	for range maxResponsesRead {
		x.conn.limitHead()
		if err := x.readHead(); err != nil {
			return x.wrapError(ctx, "read answer", err)
		}
		x.conn.endHead()
		namesNone := x.Head.RequestID == ""
		switch {
		case namesNone && x.conn.used:
			return x.wrapError(ctx, "read answer", errNoCallNamed)
		case x.Head.RequestID == x.call.ID, namesNone && x.Head.Status >= http.StatusBadRequest:
			return nil
		}
		if err := discardBody(x.resp); err != nil {
			return x.wrapError(ctx, "skip response to another call", err)
		}
	}
	return x.wrapError(ctx, "read answer", errors.New("received only responses to other calls"))
}

// readHead reads the head of the next final response; it skips informational (1xx) ones.
func (x *Exchange) readHead() error {
	for {
		resp, err := http.ReadResponse(x.conn.reader, &http.Request{Method: x.call.Method})
		if err != nil {
			return err
		}
		if resp.StatusCode >= http.StatusContinue && resp.StatusCode < http.StatusOK {
			continue
		}
		x.resp = resp
		x.Head = x.pool.Codec.DecodeResponseHead(resp)
		x.conn.updateMaxIdle(resp.Header)
		x.pool.Dialer.Answered(x.conn.net, x.conn.address)
		return nil
	}
}

// SetExtraWait sets the function that is called when the server has been silent for longer than allowed. It returns the
// silence that is allowed from its return on; 0 ends the exchange with KindSilent. If it is nil, the exchange ends at
// once. It does nothing after Finish.
func (x *Exchange) SetExtraWait(extraWait ExtraWait) {
	if !x.ended {
		x.conn.extraWait = extraWait
	}
}

// SetMaxSilence allows the server to be silent for d from now; 0 means no limit. Bytes alone don't end the silence: the
// caller sets it again when the response has got further. It does nothing after Finish.
func (x *Exchange) SetMaxSilence(d time.Duration) {
	if !x.ended {
		x.conn.setMaxSilence(d)
	}
}

// Read reads the body. It returns io.EOF only at the end of a complete body.
func (x *Exchange) Read(b []byte) (int, error) {
	if x.resp.ContentLength == 0 {
		return 0, io.EOF
	}
	n, err := x.resp.Body.Read(b)
	x.read.Add(int64(n))
	return n, err
}

// Direct reports whether the exchange goes to the server without another host between.
func (x *Exchange) Direct() bool { return x.conn.net.Direct() }

// Peer returns the address to which the connection goes: that of the server or of the host between.
func (x *Exchange) Peer() string { return x.conn.net.RemoteAddr().String() }

// framed reports whether the response says where it ends; otherwise it ends with its connection.
func (x *Exchange) framed() bool { return x.resp.ContentLength >= 0 || x.chunked() }

// ReadAll reads the complete body, of at most limit bytes, whose memory counts as one of the payloads until it is released
// there. The error wraps a *payload.Error.
func (x *Exchange) ReadAll(ctx context.Context, payloads *payload.Budget, limit int64) ([]byte, error) {
	body, err := payloads.Read(x, -1, limit)
	if err != nil {
		return nil, x.wrapError(ctx, "read answer", err)
	}
	return body, nil
}

// ReadError returns the *Error for a Read that failed with err.
func (x *Exchange) ReadError(ctx context.Context, err error) error {
	return x.wrapError(ctx, "read answer", err)
}

// Finish ends the exchange after the complete response was read. It returns the connection to the pool if the
// connection can be reused, and closes it otherwise.
func (x *Exchange) Finish() {
	if x.ended {
		return
	}
	x.written, x.ended = x.bytesWritten(), true
	ctxActive := x.stopAfterFunc()
	if !ctxActive || !x.framed() || x.resp.Close || x.conn.reader.Buffered() > 0 || !x.bodyWritten() {
		x.conn.close()
		return
	}
	x.conn.setMaxSilence(0)
	x.conn.extraWait = nil
	_ = x.conn.net.SetReadDeadline(time.Time{}) // an error also shows at the next read
	x.pool.putIdle(x.conn)
}

func (x *Exchange) chunked() bool {
	return len(x.resp.TransferEncoding) > 0 && x.resp.TransferEncoding[0] == "chunked"
}

// bodyWritten reports whether the complete request body has been sent.
func (x *Exchange) bodyWritten() bool {
	if x.bodySent == nil {
		return true
	}
	select {
	case err := <-x.bodySent:
		return err == nil
	default:
		return false
	}
}

// Abort ends the exchange by resetting its connection. It does nothing after Finish.
func (x *Exchange) Abort() {
	if x.ended {
		return
	}
	x.written, x.ended = x.bytesWritten(), true
	x.stopAfterFunc()
	x.conn.abort()
}

// wrapError returns an *Error for the operation op that failed with err after the request was sent, at least in part.
func (x *Exchange) wrapError(ctx context.Context, op string, err error) error {
	kind := KindBroken
	switch {
	case ctx.Err() != nil:
		kind = KindCanceled
	case isTimeout(err):
		kind = KindSilent
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return &Error{Op: op, Kind: kind, Sent: true, Err: err, Transmission: x.Transmission()}
}
