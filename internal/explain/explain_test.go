package explain

import (
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

const log1 = `
   5.05 front-1 {"time":"2026-08-18T18:42:33.05Z","level":"INFO","event":"replica_new","host":"front-1","replica":"i-1","service":"s"}
{"time":"2026-08-18T18:42:33.06Z","level":"INFO","event":"replica_new","host":"front-1","replica":"i-9","service":"s"}
{"time":"2026-08-18T18:42:34.2Z","level":"INFO","event":"request_planned","host":"front-1","request_id":"r1","replica":"i-1","helpers":"i-2 i-3","first_ms":640}
{"time":"2026-08-18T18:42:36.1Z","level":"INFO","event":"attempt_ended","host":"front-1","request_id":"r1","replica":"i-1","outcome":"silent","error":"read answer: i/o timeout"}
{"time":"2026-08-18T18:42:36.2Z","level":"INFO","event":"request_ended","host":"front-1","request_id":"r1","outcome":"failed","cause":"silent","took_ms":2010}
not a line
{"time":"2026-08-18T18:42:36.3Z","level":"INFO","event":"request_rejected","host":"front-1","request_id":"r2","cause":"unknown key"}
{"time":"2026-08-18T18:42:37.3Z","level":"INFO","event":"request_ended","host":"front-1","request_id":"r3","outcome":"timeout","took_ms":6000}
{"time":"2026-08-18T18:42:38.3Z","level":"INFO","event":"request_ended","host":"front-1","request_id":"r4","outcome":"completed","took_ms":6000,"first_ms":120,"gap_ms":900}
`

// log3 is the log of a host that is killed while it processes request r5.
const log3 = `
{"time":"2026-08-18T18:42:39.3Z","level":"INFO","event":"request_planned","host":"front-3","request_id":"r5","replica":"i-1","first_ms":640}
{"time":"2026-08-18T18:42:39.4Z","level":"INFO","event":"request_planned","host":"front-3","request_id":"r6","replica":"i-1","first_ms":640}
{"time":"2026-08-18T18:42:40.4Z","level":"INFO","event":"attempt_ended","host":"front-3","request_id":"r6","replica":"i-1","outcome":"canceled","error":"read answer: use of closed network connection"}
{"time":"2026-08-18T18:42:40.4Z","level":"INFO","event":"request_ended","host":"front-3","request_id":"r6","outcome":"timeout","took_ms":1000,"events":7}
{"time":"2026-08-18T18:42:41.5Z","level":"INFO","event":"host_started","host":"front-3","version":"1"}
{"time":"2026-08-18T18:42:51.5Z","level":"INFO","event":"host_started","host":"front-3","version":"1"}
`

const log2 = `{"time":"2026-08-18T18:42:34.1Z","level":"WARN","event":"host_lost","host":"front-2","peer":"10.0.0.1:8229"}
`

func readLogs(t *testing.T) *Log {
	t.Helper()
	l := &Log{}
	for _, text := range []string{log1, log2, log3} {
		if _, err := l.Read(strings.NewReader(text)); err != nil {
			t.Fatal(err)
		}
	}
	return l
}

func TestWay(t *testing.T) {
	var out strings.Builder
	for _, line := range readLogs(t).Trace("r1") {
		out.WriteString(line.String() + "\n")
	}
	goldie.New(t).Assert(t, "way", []byte(out.String()))
}

func TestCause(t *testing.T) {
	l := readLogs(t)
	for id, want := range map[string]string{
		"r1": "failed after 2010 ms; last attempt at i-1 silent: read answer: i/o timeout",
		"r2": "request_rejected: unknown key",
		"r3": "timeout after 6000 ms without an attempt: it waited for a place",
		"r4": "completed after 6000 ms, first event after 120 ms, longest pause 900 ms",
		"r6": "timeout after 1000 ms with 7 events from i-1",
		"r5": "front-3 was lost with the request; it started again at 18:42:41.500",
	} {
		if got := Cause(l.Trace(id)); got != want {
			t.Errorf("%s: %q, want %q", id, got, want)
		}
	}
	if trace := l.Trace("none"); trace != nil {
		t.Errorf("a request without lines has %d", len(trace))
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(log1))
	f.Fuzz(func(_ *testing.T, data []byte) {
		l := &Log{}
		_, _ = l.Read(strings.NewReader(string(data)))
		Cause(l.Trace("r1"))
	})
}
