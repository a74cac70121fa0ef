package relay

import (
	"bytes"
	"strconv"

	"github.com/pkg/errors"
)

// maxEventBytes is the limit of one event of a stream, in bytes.
const maxEventBytes = 1 << 20

// eventFilter splits a stream of server-sent events into complete events and drops those that the caller has already.
// An event without an id is dropped only while a resumed stream hasn't gone on.
type eventFilter struct {
	lastID    int64 // id of the last event that the caller has, valid if hasLastID
	hasLastID bool
	resuming  bool   // the stream is a resumed one that hasn't gone on after lastID yet
	restarted bool   // the resumed stream has begun before lastID, so that it is another run
	pending   []byte // start of an event that isn't complete
	forwarded int    // accepted events with an id
	steps     int    // accepted events by which the stream has got further
}

var (
	eventEnd  = []byte("\n\n")
	idField   = []byte("id:")
	dataField = []byte("data:")
	lineData  = []byte("\ndata:")
)

// add appends bytes of the stream and returns the events that are now complete and that the caller doesn't have yet. It
// returns an error, beside these events, if the pending event is longer than maxEventBytes or a resumed stream begins again.
func (e *eventFilter) add(b []byte) ([]byte, error) {
	e.pending = append(e.pending, b...)
	var out []byte
	for {
		end := bytes.Index(e.pending, eventEnd)
		if end < 0 {
			break
		}
		event := e.pending[:end+len(eventEnd)]
		if e.accept(event) {
			out = append(out, event...)
		}
		e.pending = e.pending[end+len(eventEnd):]
	}
	if e.restarted {
		return out, errors.Errorf("the stream doesn't go on after event %d", e.lastID)
	}
	if len(e.pending) > maxEventBytes {
		return out, errors.Errorf("event longer than %d bytes", maxEventBytes)
	}
	return out, nil
}

// accept reports whether the caller doesn't have event yet, and records its id.
func (e *eventFilter) accept(event []byte) bool {
	id, ok := eventID(event)
	if e.resuming {
		e.restarted = e.restarted || ok && id < e.lastID
		if !ok || e.restarted {
			return false
		}
	}
	if !ok {
		// In a stream with ids, an event without one is no progress, nor is a comment in any.
		if e.forwarded == 0 && (bytes.HasPrefix(event, dataField) || bytes.Contains(event, lineData)) {
			e.steps++
		}
		return true
	}
	if e.hasLastID && id <= e.lastID {
		return false
	}
	e.lastID = id
	e.hasLastID = true
	e.resuming = false
	e.forwarded++
	e.steps++
	return true
}

// eventID returns the id of an event. The boolean is false if the event has none or the id isn't a number.
func eventID(event []byte) (int64, bool) {
	for len(event) > 0 {
		line := event
		if end := bytes.IndexByte(event, '\n'); end >= 0 {
			line, event = event[:end], event[end+1:]
		} else {
			event = nil
		}
		if value, ok := bytes.CutPrefix(line, idField); ok {
			id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			return id, err == nil
		}
	}
	return 0, false
}

// begin begins with the stream of another attempt; resumed says that it is to go on after the last event. It drops an incomplete
// event.
func (e *eventFilter) begin(resumed bool) {
	e.pending = nil
	e.resuming, e.restarted = resumed, false
}

// pendingBytes returns how much memory the start of an event takes that isn't complete.
func (e *eventFilter) pendingBytes() int { return cap(e.pending) }

// complete reports whether the stream so far may be a complete one: it ends with a complete event and, if it is a resumed one, has
// gone on.
func (e *eventFilter) complete() bool { return len(e.pending) == 0 && !e.resuming }

// resumable reports whether a stream that breaks off now could go on at another server: no event without an id has been accepted.
func (e *eventFilter) resumable() bool { return e.forwarded > 0 || e.steps == 0 }
