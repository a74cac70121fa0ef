package protocol

import (
	"encoding/binary"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// MaxMessageBytes is the maximum size of the encoded body of a message in bytes.
const MaxMessageBytes = 8 << 20

// lengthBytes is the size of the length prefix of a message in bytes.
const lengthBytes = 4

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindTooLarge Kind = "too_large"
	KindInvalid  Kind = "invalid"
	KindIO       Kind = "io"
)

// Error reports that a message could not be encoded, decoded or transferred.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and, if there is one, the cause in one line.
func (e *Error) Error() string {
	if e.Err == nil {
		return e.Op + ": " + string(e.Kind)
	}
	return e.Op + ": " + string(e.Kind) + ": " + e.Err.Error()
}

// Unwrap returns the cause, or nil if there is none.
func (e *Error) Unwrap() error { return e.Err }

// Write encodes m and writes it to w after its length as a 4-byte big-endian number. It returns an *Error if m cannot
// be encoded, is larger than MaxMessageBytes or cannot be written.
func Write(w io.Writer, m *Message) error {
	body, err := cbor.Marshal(m)
	if err != nil {
		return &Error{Op: "write", Kind: KindInvalid, Err: errors.WithStack(err)}
	}
	if len(body) > MaxMessageBytes {
		return &Error{Op: "write", Kind: KindTooLarge}
	}
	frame := make([]byte, lengthBytes, lengthBytes+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	frame = append(frame, body...)
	if _, err := w.Write(frame); err != nil {
		return &Error{Op: "write", Kind: KindIO, Err: errors.WithStack(err)}
	}
	return nil
}

// Read reads one message that Write has written. It returns an *Error if the message is larger than MaxMessageBytes,
// cannot be read completely or cannot be decoded.
func Read(r io.Reader) (*Message, error) {
	var prefix [lengthBytes]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return nil, &Error{Op: "read", Kind: KindIO, Err: errors.WithStack(err)}
	}
	size := binary.BigEndian.Uint32(prefix[:])
	if size > MaxMessageBytes {
		return nil, &Error{Op: "read", Kind: KindTooLarge}
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, &Error{Op: "read", Kind: KindIO, Err: errors.WithStack(err)}
	}
	return Decode(body)
}

// Decode decodes the body of one message, without its length. It returns an *Error if the body is invalid.
func Decode(body []byte) (*Message, error) {
	m := new(Message)
	if err := cbor.Unmarshal(body, m); err != nil {
		return nil, &Error{Op: "decode", Kind: KindInvalid, Err: errors.WithStack(err)}
	}
	return m, nil
}
