package replica

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"time"
)

// DefaultEndlessPiece is the size of the pieces in which a response without end is sent if Replica.EndlessPiece is 0. The
// pieces are limited so that the response doesn't fill the memory of the test's machine at once.
const DefaultEndlessPiece = 32 << 10

// endlessInterval is the pause between two of these pieces.
const endlessInterval = time.Millisecond

// EndlessBytes returns the largest number of bytes that a client has taken from one response without end before it
// closed the connection. It includes bytes that the client's system has buffered.
func (p *Replica) EndlessBytes() int64 { return p.endlessBytes.Load() }

// serveEndless sends bytes until the client closes the connection.
func (p *Replica) serveEndless(w http.ResponseWriter, r *http.Request, id string, fault Fault) {
	if fault == FaultEndlessBody {
		w.Header().Set("Response-Signature", Signature(id))
		if p.Clock != nil {
			w.Header().Set("Content-Type", "text/event-stream")
		}
		p.repeat(w, "", "x", func() bool { return http.NewResponseController(w).Flush() != nil || r.Context().Err() != nil })
		return
	}
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	prefix, unit := "", "x"
	switch fault {
	case FaultEndlessHead:
		prefix = fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: %s\r\n", id, Signature(id))
		unit = "Filler: some bytes that belong to no header\r\n"
	case FaultEndlessIntermediate:
		unit = "HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n"
	default:
	}
	p.repeat(conn, prefix, unit, func() bool { return false })
}

// repeat writes prefix and then unit over and over until a write fails or stopped returns true.
func (p *Replica) repeat(w io.Writer, prefix, unit string, stopped func() bool) {
	size := p.EndlessPiece
	if size == 0 {
		size = DefaultEndlessPiece
	}
	piece := bytes.Repeat([]byte(unit), max(size/len(unit), 1))
	n, err := io.WriteString(w, prefix)
	sum := int64(n)
	for err == nil && !stopped() {
		n, err = w.Write(piece)
		sum += int64(n)
		time.Sleep(endlessInterval)
	}
	for {
		most := p.endlessBytes.Load()
		if sum <= most || p.endlessBytes.CompareAndSwap(most, sum) {
			return
		}
	}
}
