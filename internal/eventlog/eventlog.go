package eventlog

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// Lines of one event in one second.
	maxLinesPerSecond = 100
	// Lines that wait for the output.
	queueLength = 512
	// How often dropped lines are reported.
	dropReport = 5 * time.Second
	// How long Close waits for the output.
	closeTimeout = 200 * time.Millisecond
)

// Log takes events from any goroutine.
type Log struct {
	logger  *slog.Logger
	queue   chan []byte
	dropped atomic.Int64
	closing chan struct{}
	done    chan struct{}

	mu     sync.Mutex
	second int64
	lines  map[string]int
}

// New makes a log of the named host that writes to out until Close.
func New(out io.Writer, host string) *Log {
	l := &Log{
		queue:   make(chan []byte, queueLength),
		closing: make(chan struct{}),
		done:    make(chan struct{}),
		lines:   make(map[string]int),
	}
	handler := slog.NewJSONHandler(queueWriter{l}, &slog.HandlerOptions{ReplaceAttr: renameMessage})
	l.logger = slog.New(handler).With(slog.String("host", host))
	go l.copyTo(out)
	return l
}

// renameMessage puts the event's name under "event".
func renameMessage(groups []string, a slog.Attr) slog.Attr {
	if len(groups) == 0 && a.Key == slog.MessageKey {
		a.Key = "event"
	}
	return a
}

// Event writes one line with the event's name and fields.
func (l *Log) Event(name string, fields ...slog.Attr) { l.write(slog.LevelInfo, name, fields) }

// Warn writes one line about something that an operator may have to look at.
func (l *Log) Warn(name string, fields ...slog.Attr) { l.write(slog.LevelWarn, name, fields) }

// Milliseconds makes a field of a duration in milliseconds.
func Milliseconds(name string, d time.Duration) slog.Attr { return slog.Int64(name, d.Milliseconds()) }

func (l *Log) write(level slog.Level, name string, fields []slog.Attr) {
	if !l.allow(name) {
		l.dropped.Add(1)
		return
	}
	l.logger.LogAttrs(context.Background(), level, name, fields...)
}

func (l *Log) allow(name string) bool {
	second := time.Now().Unix()
	l.mu.Lock()
	defer l.mu.Unlock()
	if second != l.second {
		l.second = second
		clear(l.lines)
	}
	l.lines[name]++
	return l.lines[name] <= maxLinesPerSecond
}

// Dropped returns how many lines were dropped and not reported yet.
func (l *Log) Dropped() int64 { return l.dropped.Load() }

// Close ends the log after the lines so far, or after a short time if the output doesn't take them.
func (l *Log) Close() {
	close(l.closing)
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-l.done:
	case <-timer.C:
	}
}

func (l *Log) copyTo(out io.Writer) {
	defer close(l.done)
	reported := time.Now()
	for {
		line, ok := l.next()
		if !ok {
			return
		}
		// Without its output the log has nowhere to tell of the failure.
		_, _ = out.Write(line)
		if l.dropped.Load() > 0 && time.Since(reported) > dropReport {
			reported = time.Now()
			l.logger.LogAttrs(context.Background(), slog.LevelWarn, "log_lines_dropped",
				slog.Int64("lines", l.dropped.Swap(0)))
		}
	}
}

// next returns the next line, or false once the log is closed and all lines are out.
func (l *Log) next() ([]byte, bool) {
	select {
	case line := <-l.queue:
		return line, true
	default:
	}
	select {
	case line := <-l.queue:
		return line, true
	case <-l.closing:
		return nil, false
	}
}

// queueWriter takes each line from slog.
type queueWriter struct{ log *Log }

func (w queueWriter) Write(line []byte) (int, error) {
	kept := append([]byte(nil), line...)
	select {
	case w.log.queue <- kept:
	default:
		w.log.dropped.Add(1)
	}
	return len(line), nil
}
