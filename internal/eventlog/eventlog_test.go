package eventlog

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"strings"
	"testing"
	"time"
)

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

func TestBlockedOutputCostsLinesOnly(t *testing.T) {
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
