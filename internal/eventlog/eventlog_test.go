package eventlog

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// blockedWriter blocks each Write until release is closed.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(b []byte) (int, error) {
	<-w.release
	return len(b), nil
}

func TestLineHasEventHostAndFields(t *testing.T) {
	var out bytes.Buffer
	l := New(&out, "e1")
	l.Event("request_ended", slog.String("request_id", "r1"))
	l.Close()
	var line map[string]any
	if err := json.Unmarshal(out.Bytes(), &line); err != nil {
		t.Fatal(err)
	}
	for field, want := range map[string]string{"event": "request_ended", "host": "e1", "request_id": "r1", "level": "INFO"} {
		if line[field] != want {
			t.Errorf("%s is %v, want %s", field, line[field], want)
		}
	}
}

func TestBlockedOutputDoesNotBlockCallers(t *testing.T) {
	w := blockedWriter{make(chan struct{})}
	l := New(w, "e1")
	start := time.Now()
	for i := range 20 * queueLength {
		l.Event("event_" + string(rune('a'+i%26)) + string(rune('a'+i/26%26)))
	}
	if took := time.Since(start); took > 5*time.Second {
		t.Errorf("writing to a blocked output took %v", took)
	}
	if l.Dropped() < 10*queueLength {
		t.Errorf("%d lines dropped", l.Dropped())
	}
	close(w.release)
	l.Close()
	l.Event("after_close")
}

func TestLinesOfOneEventAreBounded(t *testing.T) {
	var out bytes.Buffer
	l := New(&out, "e1")
	for range 10 * maxLinesPerSecond {
		l.Event("busy")
	}
	l.Close()
	if n := strings.Count(out.String(), "\n"); n < maxLinesPerSecond || n > 3*maxLinesPerSecond {
		t.Errorf("%d lines, want about %d", n, maxLinesPerSecond)
	}
}

// BenchmarkEvent writes lines of the event request_planned, which are among the longest. It bypasses the rate limit.
func BenchmarkEvent(b *testing.B) {
	l := New(io.Discard, "front-1")
	defer l.Close()
	for b.Loop() {
		l.logger.LogAttrs(context.Background(), slog.LevelInfo, "request_planned",
			slog.String("request_id", "9c41d07be2a35f68"), slog.String("route", "r-xkdqrq2"),
			slog.String("replica", "i-200863cfe1"), slog.String("helpers", "i-2a0a69b531 i-9419ec1c54"),
			Milliseconds("first_ms", 84*time.Millisecond), Milliseconds("pass_ms", 64*time.Millisecond),
			Milliseconds("asked_for_ms", 2*time.Millisecond), slog.Int("prompt_tokens", 17756),
			slog.Int64("config_version", 3))
	}
}

// Guards against a line that is lost because the log is closed right after it was queued.
func TestCloseWritesLastLine(t *testing.T) {
	const tries = 3000
	for i := range tries {
		var out bytes.Buffer
		log := New(&out, "h")
		log.Event("last")
		log.Close()
		if out.Len() == 0 {
			t.Fatalf("the line of log %d of %d is lost", i, tries)
		}
	}
}
