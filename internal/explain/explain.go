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
	maxLine = 1 << 20 // bytes
	// How long before the request's first line changes of state may have mattered.
	before = 3 * time.Second
	// Times are in UTC.
	timeFormat = "15:04:05.000"
)

// Line is one line of a log.
type Line struct {
	Time   time.Time
	Host   string
	Event  string
	Fields []Field
}

// Field is a further field of a line, with its value as text.
type Field struct {
	Name  string
	Value string
}

// Get returns the value of the named field, or "".
func (l *Line) Get(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// String returns the line for people.
func (l *Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s  %s  %s", l.Time.UTC().Format(timeFormat), l.Host, l.Event)
	for _, f := range l.Fields {
		fmt.Fprintf(&b, "  %s=%s", f.Name, f.Value)
	}
	return b.String()
}

// stateChanges are the events that tell that hosts learnt something about their surroundings.
var stateChanges = []string{"replica_", "planner_chosen", "host_lost", "host_regained", "store_", "configuration_in_force", "host_st"}

// Log collects lines of several hosts.
type Log struct {
	lines []Line
}

// Read adds the lines of one log; lines in other formats are left out and counted.
func (l *Log) Read(r io.Reader) (skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		line, ok := parse(scanner.Bytes())
		if !ok {
			skipped++
			continue
		}
		l.lines = append(l.lines, line)
	}
	return skipped, scanner.Err()
}

// parse decodes a line; what stands before its first brace is left out, as tools put times and names there.
func parse(text []byte) (Line, bool) {
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

// Way returns the lines about the request with the given id in order, with the changes of state that touch the hosts
// and replicas on its way. It is empty if no line names the request.
func (l *Log) Way(id string) []Line {
	var way []Line
	hosts := make(map[string]bool)
	replicas := make(map[string]bool)
	for _, line := range l.lines {
		if line.Get("request_id") != id {
			continue
		}
		way = append(way, line)
		hosts[line.Host] = true
		for _, r := range append(strings.Fields(line.Get("helpers")), line.Get("replica")) {
			replicas[r] = true
		}
	}
	if len(way) == 0 {
		return nil
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(way, byTime)
	from, to := way[0].Time.Add(-before), way[len(way)-1].Time
	for _, line := range l.lines {
		if line.Time.Before(from) || line.Time.After(to) || !hosts[line.Host] || !isStateChange(line.Event) {
			continue
		}
		if r := line.Get("replica"); r != "" && !replicas[r] {
			continue
		}
		way = append(way, line)
	}
	slices.SortStableFunc(way, byTime)
	if !slices.ContainsFunc(way, func(line Line) bool { return ends(&line) }) {
		way = l.appendRestart(way)
	}
	return way
}

// appendRestart adds the next start of the host that had the request last, which tells that it ended before.
func (l *Log) appendRestart(way []Line) []Line {
	last := way[len(way)-1]
	var next *Line
	for i := range l.lines {
		line := &l.lines[i]
		later := line.Host == last.Host && line.Event == "host_started" && line.Time.After(last.Time)
		if later && (next == nil || line.Time.Before(next.Time)) {
			next = line
		}
	}
	if next == nil {
		return way
	}
	return append(way, *next)
}

// ends tells whether a line says how a request ended.
func ends(line *Line) bool {
	return line.Event == "request_ended" || line.Event == "request_rejected" || line.Event == "request_refused"
}

func isStateChange(event string) bool {
	return slices.ContainsFunc(stateChanges, func(prefix string) bool { return strings.HasPrefix(event, prefix) })
}

// Cause sums up why the request ended as it did, from its own lines.
func Cause(way []Line) string {
	cause := "no line tells how it ended"
	for i := range way {
		line := &way[i]
		switch line.Event {
		case "request_rejected", "request_refused":
			cause = line.Event + ": " + line.Get("cause")
		case "attempt_ended":
			cause = "attempt at " + line.Get("replica") + " " + line.Get("outcome") + ": " + line.Get("error")
		case "request_ended":
			cause = endCause(line, cause)
		case "host_started":
			if i == len(way)-1 {
				cause = line.Host + " was lost with the request; it started again at " + line.Time.UTC().Format(timeFormat)
			}
		}
	}
	return cause
}

func endCause(line *Line, attempt string) string {
	outcome := line.Get("outcome")
	switch {
	case outcome == "completed":
		return "completed after " + line.Get("took_ms") + " ms, first event after " + line.Get("first_ms") +
			" ms, longest pause " + line.Get("gap_ms") + " ms"
	case strings.Contains(attempt, " canceled: "):
		// The connection to the replica was closed because of this end.
		replica := strings.Fields(attempt)[2]
		return outcome + " after " + line.Get("took_ms") + " ms with " + cmp.Or(line.Get("events"), "no") + " events from " + replica
	case strings.HasPrefix(attempt, "attempt at"):
		return outcome + " after " + line.Get("took_ms") + " ms; last " + attempt
	case line.Get("cause") != "":
		return outcome + ": " + line.Get("cause")
	default:
		return outcome + " after " + line.Get("took_ms") + " ms without an attempt: it waited for a place"
	}
}
