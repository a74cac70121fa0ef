package payload

import (
	"io"
	"sync/atomic"

	"github.com/pkg/errors"
)

const (
	// Payloads of at most this many bytes are read whatever others take of Limit, so that large ones don't take the place of
	// small ones. Only the holder of their memory limits them.
	smallBytes = 64 << 10
	// Size of the memory into which a payload of unknown length is read first, in bytes.
	firstBytes = 4 << 10
)

// Holder counts the memory of payloads, which is *account.Entry for one connection and *account.Account for responses.
type Holder interface {
	Take(bytes int64) bool
	Give(bytes int64)
}

// Budget counts the memory of payloads. It is safe for concurrent use; its zero value has no limit.
type Budget struct {
	Limit int64 // bytes of all payloads over 64 KiB together; 0 means no limit
	// Responses, if not nil, counts the payloads that are read by Read. It must be set before use.
	Responses Holder

	used atomic.Int64
}

// Used returns how many bytes payloads take now.
func (b *Budget) Used() int64 { return b.used.Load() }

// Read reads a payload of the given length, or up to its end if length is negative, and of at most limit bytes. Release must
// be called for it once it isn't needed any more. The error is of type *Error.
func (b *Budget) Read(r io.Reader, length, limit int64) ([]byte, error) {
	return b.ReadFor(b.responses(), r, length, limit)
}

func (b *Budget) responses() Holder {
	if b.Responses == nil {
		return nobody{}
	}
	return b.Responses
}

// nobody is the holder of payloads that no connection of a caller brings.
type nobody struct{}

func (nobody) Take(int64) bool { return true }
func (nobody) Give(int64)      {}

// ReadFor does what Read does for a payload that counts for h. ReleaseFor must be called for it.
func (b *Budget) ReadFor(h Holder, r io.Reader, length, limit int64) ([]byte, error) {
	if length > limit {
		return nil, &Error{Op: "read payload", Kind: KindTooLong}
	}
	size := length
	if length < 0 {
		size = min(firstBytes, limit+1)
	}
	if !b.reserve(h, size, size) {
		return nil, &Error{Op: "read payload", Kind: KindNoMemory}
	}
	payload := make([]byte, 0, size)
	for int64(len(payload)) != length {
		if len(payload) == cap(payload) {
			larger, err := b.grow(h, payload, limit)
			if err != nil {
				b.ReleaseFor(h, payload)
				return nil, err
			}
			payload = larger
		}
		n, err := r.Read(payload[len(payload):cap(payload)])
		payload = payload[:len(payload)+n]
		if err == nil || int64(len(payload)) == length {
			continue
		}
		if errors.Is(err, io.EOF) && length < 0 && int64(len(payload)) <= limit {
			break
		}
		b.ReleaseFor(h, payload)
		return nil, readError(err, int64(len(payload)) > limit)
	}
	return payload, nil
}

// readError returns the error for a payload of which err was the end.
func readError(err error, tooLong bool) error {
	if tooLong {
		return &Error{Op: "read payload", Kind: KindTooLong}
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return &Error{Op: "read payload", Kind: KindRead, Err: err}
}

// grow returns a payload with the same bytes and more memory.
func (b *Budget) grow(h Holder, payload []byte, limit int64) ([]byte, error) {
	if int64(len(payload)) > limit {
		return nil, &Error{Op: "read payload", Kind: KindTooLong}
	}
	size := min(2*int64(cap(payload)), limit+1)
	if !b.reserve(h, size, size) {
		return nil, &Error{Op: "read payload", Kind: KindNoMemory}
	}
	larger := append(make([]byte, 0, size), payload...)
	b.ReleaseFor(h, payload)
	return larger, nil
}

// Resize changes the memory of a payload that isn't read by Read from held to size bytes and reports whether there is enough. If
// not, nothing changes.
func (b *Budget) Resize(held, size int64) bool {
	if size > held {
		return b.reserve(b.responses(), size-held, size)
	}
	b.used.Add(size - held)
	b.responses().Give(held - size)
	return true
}

// reserve takes more memory for a payload of the given size and reports whether there is enough.
func (b *Budget) reserve(h Holder, more, size int64) bool {
	used := b.used.Add(more)
	if b.Limit > 0 && size > smallBytes && used > b.Limit {
		b.used.Add(-more)
		return false
	}
	if !h.Take(more) {
		b.used.Add(-more)
		return false
	}
	return true
}

// Release gives back the memory of a payload that Read has returned. It does nothing for nil.
func (b *Budget) Release(payload []byte) { b.ReleaseFor(b.responses(), payload) }

// ReleaseFor gives back the memory of a payload that ReadFor has returned for h.
func (b *Budget) ReleaseFor(h Holder, payload []byte) {
	b.used.Add(-int64(cap(payload)))
	h.Give(int64(cap(payload)))
}
