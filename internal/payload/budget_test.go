package payload

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

func TestRead(t *testing.T) {
	const limit = 100 << 10
	tests := map[string]struct {
		bytes  int   // that the reader has
		length int64 // that is known
		want   Kind  // "" if the payload is read
	}{
		"empty":                          {bytes: 0, length: 0},
		"empty, unknown length":          {bytes: 0, length: -1},
		"known length":                   {bytes: limit, length: limit},
		"known length, more follows":     {bytes: 20, length: 10},
		"unknown length":                 {bytes: limit, length: -1},
		"too long":                       {bytes: limit + 1, length: limit + 1, want: KindTooLong},
		"too long, unknown length":       {bytes: limit + 1, length: -1, want: KindTooLong},
		"far too long, unknown length":   {bytes: 3 * limit, length: -1, want: KindTooLong},
		"shorter than said":              {bytes: 10, length: 11, want: KindRead},
		"nothing where something is due": {bytes: 0, length: 1, want: KindRead},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := &Budget{Limit: 1 << 20}
			text := strings.Repeat("x", test.bytes)
			got, err := b.Read(iotest.HalfReader(strings.NewReader(text)), test.length, limit)
			if kind := kindOf(err); kind != test.want {
				t.Fatalf("got %v, want kind %q", err, test.want)
			}
			want := text
			if test.length >= 0 {
				want = text[:min(int(test.length), len(text))]
			}
			if err == nil && string(got) != want {
				t.Errorf("read %d bytes, want %d", len(got), len(want))
			}
			b.Release(got)
			if used := b.Used(); used != 0 {
				t.Errorf("%d bytes are in use at the end", used)
			}
		})
	}
}

// Guards against payloads that together take more memory than the host has (review cases 2 and 4), and against small ones that aren't
// read because of large ones.
func TestPayloadsTogetherStayWithinLimit(t *testing.T) {
	const large = 4 << 20
	b := &Budget{Limit: 10 << 20}
	endless := io.LimitReader(zeros{}, 1<<40)
	var held [][]byte
	refused := 0
	for range 8 {
		payload, err := b.Read(bytes.NewReader(make([]byte, large)), large, large)
		if kindOf(err) == KindNoMemory {
			refused++
		}
		held = append(held, payload)
		if _, err := b.Read(endless, -1, large); err == nil {
			t.Error("a payload without end is read")
		}
		small, err := b.Read(strings.NewReader("small"), -1, large)
		if err != nil || string(small) != "small" {
			t.Errorf("a small payload isn't read: %v", err)
		}
		b.Release(small)
		if b.Used() > b.Limit {
			t.Errorf("%d bytes are in use, of %d", b.Used(), b.Limit)
		}
	}
	if refused != 6 {
		t.Errorf("%d of 8 large payloads are refused, want 6", refused)
	}
	for _, payload := range held {
		b.Release(payload)
	}
	if used := b.Used(); used != 0 {
		t.Errorf("%d bytes are in use at the end", used)
	}
}

type zeros struct{}

func (zeros) Read(b []byte) (int, error) { return len(b), nil }

func kindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}
