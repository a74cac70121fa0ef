package platform

import (
	"net/http"
	"slices"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/turmericshunt/turmericshunt/pkg/platformapi"
)

// verdict is what the faults in effect do to one call.
type verdict struct {
	status int // answered at once unless 0
	hang   bool
	late   time.Duration
	write  bool
}

// faulty counts a call and applies the faults in effect to it.
func (s *Server) faulty(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		v := s.judge(c.Request())
		switch {
		case v.hang:
			<-c.Request().Context().Done()
			panic(http.ErrAbortHandler)
		case v.status != 0:
			return c.NoContent(v.status)
		}
		buffered := &answer{ResponseWriter: c.Response().Writer}
		c.Response().Writer = buffered
		if err := next(c); err != nil {
			return err
		}
		if v.late > 0 {
			pause(c.Request().Context().Done(), v.late)
		}
		if v.write && buffered.status == http.StatusOK && s.losesAnswer() {
			panic(http.ErrAbortHandler)
		}
		return buffered.flush()
	}
}

func (s *Server) judge(r *http.Request) verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	write := r.Method != http.MethodGet
	s.count(r, write)
	f := &s.faults
	if f.Hang || cutOff(f, r) {
		return verdict{hang: true}
	}
	if f.Down {
		return verdict{status: http.StatusServiceUnavailable}
	}
	if f.Throttle > 0 {
		f.Throttle--
		return verdict{status: http.StatusTooManyRequests}
	}
	limit := s.reads
	if write {
		limit = s.writes
	}
	if !limit.AllowN(s.Now(), 1) {
		return verdict{status: http.StatusTooManyRequests}
	}
	return verdict{late: time.Duration(f.LateMS) * time.Millisecond, write: write}
}

// losesAnswer reports whether the answer of a write that took effect is lost.
func (s *Server) losesAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseWriteAnswers == 0 {
		return false
	}
	s.faults.LoseWriteAnswers--
	return true
}

func (s *Server) count(r *http.Request, write bool) {
	s.calls.ByHost[r.Header.Get(platformapi.HeaderHost)]++
	switch {
	case write:
		s.calls.Writes++
	case r.URL.Query().Get("wait_ms") != "" && r.URL.Query().Get("wait_ms") != "0":
		s.calls.Watches++
	default:
		s.calls.Reads++
	}
}

func cutOff(f *platformapi.Faults, r *http.Request) bool {
	return slices.Contains(f.CutOffHosts, r.Header.Get(platformapi.HeaderHost)) ||
		slices.Contains(f.CutOffFailureDomains, r.Header.Get(platformapi.HeaderFailureDomain))
}

// pause waits for d or until done is closed.
func pause(done <-chan struct{}, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-done:
	}
}

// answer holds an answer back until the faults have been applied to it.
type answer struct {
	http.ResponseWriter
	status int
	body   []byte
}

func (a *answer) WriteHeader(status int) { a.status = status }

func (a *answer) Write(p []byte) (int, error) {
	if a.status == 0 {
		a.status = http.StatusOK
	}
	a.body = append(a.body, p...)
	return len(p), nil
}

func (a *answer) flush() error {
	a.ResponseWriter.WriteHeader(a.status)
	_, err := a.ResponseWriter.Write(a.body)
	return err
}
