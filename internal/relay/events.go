package relay

import (
	"bytes"
	"strconv"

	"github.com/pkg/errors"
)

// maxEvent bounds one event of a stream, in bytes.
const maxEvent = 1 << 20

// events cuts a stream into whole events and leaves out those that the caller has.
type events struct {
	last    int64 // id of the last event passed on
	hasLast bool
	pending []byte
	count   int // events passed on
}

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// add takes bytes of the stream and returns the whole events among them that the caller doesn't have yet.
func (e *events) add(b []byte) ([]byte, error) {
	e.pending = append(e.pending, b...)
	var out []byte
	for {
		end := bytes.Index(e.pending, eventEnd)
		if end < 0 {
			break
		}
		event := e.pending[:end+len(eventEnd)]
		if e.take(event) {
			out = append(out, event...)
		}
		e.pending = e.pending[end+len(eventEnd):]
	}
	if len(e.pending) > maxEvent {
		return out, errors.Errorf("event over %d bytes", maxEvent)
	}
	return out, nil
}

// take tells whether the caller needs event, and notes its id.
func (e *events) take(event []byte) bool {
	id, ok := eventID(event)
	if !ok {
		return true
	}
	if e.hasLast && id <= e.last {
		return false
	}
	e.last = id
	e.hasLast = true
	e.count++
	return true
}

// eventID returns the id that an event states.
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

// restart drops the bytes of an event that was cut off.
func (e *events) restart() { e.pending = nil }

// whole tells whether the stream ended after a whole event.
func (e *events) whole() bool { return len(e.pending) == 0 }
