package protocol

import (
	"encoding/binary"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// MaxMessageBytes bounds one encoded message.
const MaxMessageBytes = 8 << 20

const lengthBytes = 4

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindTooLarge Kind = "too_large"
	KindInvalid  Kind = "invalid"
	KindIO       Kind = "io"
)

// Error is a failure to encode, decode or transfer a message.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, kind and cause in one line.
func (e *Error) Error() string {
	if e.Err == nil {
		return e.Op + ": " + string(e.Kind)
	}
	return e.Op + ": " + string(e.Kind) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Write sends one message with its length in front, or returns an *Error.
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

// Read receives one message, or returns an *Error.
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

// Decode parses the body of one message, or returns an *Error.
func Decode(body []byte) (*Message, error) {
	m := new(Message)
	if err := cbor.Unmarshal(body, m); err != nil {
		return nil, &Error{Op: "decode", Kind: KindInvalid, Err: errors.WithStack(err)}
	}
	return m, nil
}
