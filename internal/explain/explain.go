package explain

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"time"
)

const (
	// maxLineBytes is the length of the longest line that is read, in bytes.
	maxLineBytes = 1 << 20
	// stateChangeWindow is how long before the first line of a request state changes are still reported, because they
	// may have affected the request.
	stateChangeWindow = 3 * time.Second
	// timeFormat is the format of printed times, which are in UTC.
	timeFormat = "15:04:05.000"
)

// Line is one line of the log of an entry host.
type Line struct {
	Time   time.Time
	Host   string  // name of the entry host that wrote the line
	Event  string  // name of the event
	Fields []Field // other fields, sorted by name; the level is left out
}

// Field is a field of a line other than its time, host, event and level.
type Field struct {
	Name  string
	Value string // formatted as text
}

// Get returns the value of the named field, or "" if the line does not have it.
func (l *Line) Get(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// String returns the line in human-readable form.
func (l *Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s  %s  %s", l.Time.UTC().Format(timeFormat), l.Host, l.Event)
	for _, f := range l.Fields {
		fmt.Fprintf(&b, "  %s=%s", f.Name, f.Value)
	}
	return b.String()
}

// stateChangePrefixes are the prefixes of the events with which a host logs a change in its view of replicas, the
// planner, other hosts, the store, evacuations or the configuration, or its own start and stop.
var stateChangePrefixes = []string{"replica_", "planner_chosen", "host_lost", "host_regained", "store_", "configuration_in_force", "evacuation_", "host_st"}

// Log collects the log lines of several hosts. The zero value is empty and ready to use.
type Log struct {
	lines []Line
}

// Read adds the lines of one log. It skips lines in other formats and returns their number. It returns an error if
// reading fails or a line is longer than 1 MiB.
func (l *Log) Read(r io.Reader) (skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, ok := parseLine(scanner.Bytes())
		if !ok {
			skipped++
			continue
		}
		l.lines = append(l.lines, line)
	}
	return skipped, scanner.Err()
}

// parseLine decodes a line. It ignores what precedes the first brace, where tools add times and names. It returns
// false if the line is not a JSON object with a time and an event.
func parseLine(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal(text[start:], &fields); err != nil {
		return Line{}, false
	}
	line := Line{}
	for name, value := range fields {
		text := fmt.Sprint(value)
		switch name {
		case "time":
			at, err := time.Parse(time.RFC3339Nano, text)
			if err != nil {
				return Line{}, false
			}
			line.Time = at
		case "host":
			line.Host = text
		case "event":
			line.Event = text
		case "level":
		default:
			line.Fields = append(line.Fields, Field{Name: name, Value: text})
		}
	}
	sort.Slice(line.Fields, func(i, j int) bool { return line.Fields[i].Name < line.Fields[j].Name })
	return line, line.Event != "" && !line.Time.IsZero()
}

// Trace returns the lines about the request with the given id in the order of their times, with the state changes that
// were logged by the hosts that handled it and that concern no other replicas than those that served it. If no line
// says how the request ended, the next start of its last host is added. It returns nil if no line names the request.
func (l *Log) Trace(id string) []Line {
	var trace []Line
	hosts := make(map[string]bool)
	replicas := make(map[string]bool)
	for _, line := range l.lines {
		if line.Get("request_id") != id {
			continue
		}
		trace = append(trace, line)
		hosts[line.Host] = true
		for _, r := range append(strings.Fields(line.Get("helpers")), line.Get("replica")) {
			replicas[r] = true
		}
	}
	if len(trace) == 0 {
		return nil
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(trace, byTime)
	from, to := trace[0].Time.Add(-stateChangeWindow), trace[len(trace)-1].Time
	for _, line := range l.lines {
		if line.Time.Before(from) || line.Time.After(to) || !hosts[line.Host] || !isStateChange(line.Event) {
			continue
		}
		if r := line.Get("replica"); r != "" && !replicas[r] {
			continue
		}
		trace = append(trace, line)
	}
	slices.SortStableFunc(trace, byTime)
	if !slices.ContainsFunc(trace, func(line Line) bool { return isEnd(&line) }) {
		trace = l.appendRestart(trace)
	}
	return trace
}

// appendRestart appends the next start of the host that logged the last line of trace, which shows that the host had
// failed with the request. It returns trace unchanged if there is none.
func (l *Log) appendRestart(trace []Line) []Line {
	last := trace[len(trace)-1]
	var next *Line
	for i := range l.lines {
		line := &l.lines[i]
		later := line.Host == last.Host && line.Event == "host_started" && line.Time.After(last.Time)
		if later && (next == nil || line.Time.Before(next.Time)) {
			next = line
		}
	}
	if next == nil {
		return trace
	}
	return append(trace, *next)
}

// isEnd reports whether a line says how a request ended.
func isEnd(line *Line) bool {
	return line.Event == "request_ended" || line.Event == "request_rejected" || line.Event == "request_refused"
}

// isStateChange reports whether event is a state change of a host.
func isStateChange(event string) bool {
	return slices.ContainsFunc(stateChangePrefixes, func(prefix string) bool { return strings.HasPrefix(event, prefix) })
}

// Cause summarizes why a request ended as it did. trace is the result of Log.Trace; its state changes other than the
// last start of a host are ignored.
func Cause(trace []Line) string {
	cause := "no line tells how it ended"
	for i := range trace {
		line := &trace[i]
		switch line.Event {
		case "request_rejected", "request_refused":
			cause = line.Event + ": " + line.Get("cause")
		case "attempt_ended":
			cause = "attempt at " + line.Get("replica") + " " + line.Get("outcome") + ": " + line.Get("error")
		case "request_ended":
			cause = endCause(line, cause)
		case "host_started":
			if i == len(trace)-1 {
				cause = line.Host + " was lost with the request; it started again at " + line.Time.UTC().Format(timeFormat)
			}
		}
	}
	return cause
}

// endCause returns the cause for the last line of a request. lastAttempt is the text about its last attempt, if any.
func endCause(line *Line, lastAttempt string) string {
	outcome := line.Get("outcome")
	switch {
	case outcome == "completed":
		return "completed after " + line.Get("took_ms") + " ms, first event after " + line.Get("first_ms") +
			" ms, longest pause " + line.Get("gap_ms") + " ms"
	case strings.Contains(lastAttempt, " canceled: "):
		// The attempt was canceled because the request had ended, so that its error is not the cause.
		replica := strings.Fields(lastAttempt)[2]
		return outcome + " after " + line.Get("took_ms") + " ms with " + cmp.Or(line.Get("events"), "no") + " events from " + replica
	case strings.HasPrefix(lastAttempt, "attempt at"):
		return outcome + " after " + line.Get("took_ms") + " ms; last " + lastAttempt
	case line.Get("cause") != "":
		return outcome + ": " + line.Get("cause")
	default:
		return outcome + " after " + line.Get("took_ms") + " ms without an attempt: it waited for a place"
	}
}
