package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
)

func TestFrameReader(t *testing.T) {
	tests := []struct {
		input string
		want  error
	}{
		{"event: token\ndata: {\"offset\":3}\n\n", nil},
		{"event: token\r\ndata: {\"offset\":3}\r\n\r\n", nil},
		{": comment\n\nevent:token\ndata:{\"offset\":3}\n\n", nil},
		{"", io.EOF},
		{"event: token\ndata: {\"offset\":3}\n", io.ErrUnexpectedEOF},
		{"event: token\ndata: {\"offs", io.ErrUnexpectedEOF},
		{"data: {\"offset\":3}\n\n", errInvalidFrame},
		{"event: other\ndata: {}\n\n", errInvalidFrame},
		{"event: token\nevent: end\ndata: {}\n\n", errInvalidFrame},
		{"event: token\ndata: {}\ndata: {}\n\n", errInvalidFrame},
		{"event: token\ndata: {\"offset\":-1}\n\n", errInvalidFrame},
		{"HTTP/1.1 200 OK\n\n", errInvalidFrame},
	}
	for _, tt := range tests {
		t.Run(tt.input, func(t *testing.T) {
			_, f, err := newFrameReader(strings.NewReader(tt.input)).next()
			if !errors.Is(err, tt.want) {
				t.Errorf("got %v, want %v", err, tt.want)
			}
			if tt.want == nil && f.Offset != 3 {
				t.Errorf("got %+v", f)
			}
		})
	}
}

func FuzzFrameReader(f *testing.F) {
	f.Add("event: token\ndata: {\"request\":\"r\",\"offset\":3,\"text\":\"x\",\"tokens\":1}\n\n")
	f.Add(": x\n\nevent: end\r\ndata: {\"length\":2}\r\n\r\n")
	f.Fuzz(func(t *testing.T, input string) {
		r := newFrameReader(strings.NewReader(input))
		for {
			event, frame, err := r.next()
			if err != nil {
				return
			}
			data, err := json.Marshal(frame)
			if err != nil {
				t.Fatal(err)
			}
			reread := newFrameReader(strings.NewReader(fmt.Sprintf("event: %s\ndata: %s\n\n", event, data)))
			if _, got, err := reread.next(); err != nil || got != frame {
				t.Errorf("%+v becomes %+v, %v", frame, got, err)
			}
		}
	})
}

func BenchmarkFrameReader(b *testing.B) {
	data, _ := json.Marshal(engineapi.Frame{Request: "request", Attempt: 1, Offset: 100, Text: " word", Tokens: 1})
	input := strings.Repeat(fmt.Sprintf("event: token\ndata: %s\n\n", data), 1000)
	for range b.N {
		r := newFrameReader(strings.NewReader(input))
		for {
			if _, _, err := r.next(); err != nil {
				break
			}
		}
	}
}
