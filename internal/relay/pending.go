package relay

import "github.com/turmericshunt/turmericshunt/internal/payload"

// uncountedPending is the number of bytes of a stream's pending event that aren't counted, since each stream has them.
const uncountedPending = 8 << 10

// pendingMemory counts the memory of bytes of a stream that can't be forwarded yet as a payload.
type pendingMemory struct {
	payloads *payload.Budget
	held     int64 // bytes that are counted
}

// resize counts size bytes in place of those that were counted. It returns a *payload.Error of KindNoMemory if there is no
// memory for them.
func (m *pendingMemory) resize(size int) error {
	if size <= uncountedPending {
		size = 0
	}
	if int64(size) == m.held {
		return nil
	}
	if !m.payloads.Resize(m.held, int64(size)) {
		return &payload.Error{Op: "read event", Kind: payload.KindNoMemory}
	}
	m.held = int64(size)
	return nil
}

// release gives back all memory that is counted.
func (m *pendingMemory) release() {
	// Less memory is always to be had.
	_ = m.resize(0)
}
