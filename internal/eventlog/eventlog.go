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
	// maxLinesPerSecond is the rate limit for the lines of one event.
	maxLinesPerSecond = 100
	// queueLength is the maximum number of lines that wait for the output.
	queueLength = 512
	// dropReportInterval is the minimum time between two reports of dropped lines.
	dropReportInterval = 5 * time.Second
	// closeTimeout is how long Close waits for the output.
	closeTimeout = 200 * time.Millisecond
)

// Log writes events; it is safe for concurrent use.
type Log struct {
	logger  *slog.Logger
	queue   chan []byte
	dropped atomic.Int64  // lines since the last report
	closing chan struct{} // closed by Close
	done    chan struct{} // closed when the last line has been written

	mu     sync.Mutex
	second int64          // Unix time for which lines counts
	lines  map[string]int // by event, those in this second; dropped ones included
}

// New returns a log that writes to out until Close; each line has the name of the host.
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

// renameMessage changes the key of the slog message, which is the name of the event, to "event".
func renameMessage(groups []string, a slog.Attr) slog.Attr {
	if len(groups) == 0 && a.Key == slog.MessageKey {
		a.Key = "event"
	}
	return a
}

// Event writes one line with the name and fields of the event.
func (l *Log) Event(name string, fields ...slog.Attr) { l.write(slog.LevelInfo, name, fields) }

// Warn is like Event for an event that an operator may have to look into.
func (l *Log) Warn(name string, fields ...slog.Attr) { l.write(slog.LevelWarn, name, fields) }

// Milliseconds returns a field with a duration in milliseconds.
func Milliseconds(name string, d time.Duration) slog.Attr { return slog.Int64(name, d.Milliseconds()) }

func (l *Log) write(level slog.Level, name string, fields []slog.Attr) {
	if !l.allow(name) {
		l.dropped.Add(1)
		return
	}
	l.logger.LogAttrs(context.Background(), level, name, fields...)
}

// allow counts a line of the event and reports whether the rate limit of the event permits it.
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

// Dropped returns the number of lines that were dropped since the last report of dropped lines in the log.
func (l *Log) Dropped() int64 { return l.dropped.Load() }

// Close ends the log when the lines queued so far have been written, or after closeTimeout if the output is too slow.
func (l *Log) Close() {
	close(l.closing)
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-l.done:
	case <-timer.C:
	}
}

// copyTo writes queued lines to out, and reports of dropped lines, until the log is closed and the queue is empty.
func (l *Log) copyTo(out io.Writer) {
	defer close(l.done)
	lastReport := time.Now()
	for {
		line, ok := l.next()
		if !ok {
			return
		}
		// The error is ignored, since the log has no other output to report it to.
		_, _ = out.Write(line)
		if l.dropped.Load() > 0 && time.Since(lastReport) > dropReportInterval {
			lastReport = time.Now()
			l.logger.LogAttrs(context.Background(), slog.LevelWarn, "log_lines_dropped",
				slog.Int64("lines", l.dropped.Swap(0)))
		}
	}
}

// next waits for the next queued line and returns it; ok is false if the log is closed and the queue is empty.
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
	}
	select {
	case line := <-l.queue:
		return line, true
	default:
		return nil, false
	}
}

// queueWriter is the output of the slog handler. It queues a copy of each line, since slog reuses the buffer, and drops
// the line if the queue is full.
type queueWriter struct{ log *Log }

func (w queueWriter) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case w.log.queue <- copied:
	default:
		w.log.dropped.Add(1)
	}
	return len(line), nil
}
