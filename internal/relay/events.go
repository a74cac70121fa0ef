package relay

import (
	"bytes"
	"strconv"

	"github.com/pkg/errors"
)

// maxEventBytes is the limit of one event of a stream, in bytes.
const maxEventBytes = 1 << 20

// eventFilter splits a stream of server-sent events into complete events and drops those that the caller has already.
// An event without an id is never dropped.
type eventFilter struct {
	lastID    int64 // id of the last event that the caller has, valid if hasLastID
	hasLastID bool
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
// returns an error, beside these events, if the pending event is longer than maxEventBytes.
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
	if len(e.pending) > maxEventBytes {
		return out, errors.Errorf("event longer than %d bytes", maxEventBytes)
	}
	return out, nil
}

// accept reports whether the caller doesn't have event yet, and records its id.
func (e *eventFilter) accept(event []byte) bool {
	id, ok := eventID(event)
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

// discardPending drops the incomplete event at the end of a stream that broke off.
func (e *eventFilter) discardPending() { e.pending = nil }

// complete reports whether the stream so far ends with a complete event.
func (e *eventFilter) complete() bool { return len(e.pending) == 0 }
