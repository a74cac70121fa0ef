package platform

import (
	"net/http"
	"slices"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/turmericshunt/turmericshunt/pkg/platformapi"
)

// callEffect is how the active faults and rate limits change the handling of one call.
type callEffect struct {
	status int           // status to respond with instead of handling the call; 0 to handle it
	hang   bool          // never responds; the call is not handled
	delay  time.Duration // time between handling the call and sending the response
	write  bool          // the call is a write, so that LoseWriteAnswers applies to it
}

// applyFaults is middleware that counts each call and applies the active faults and rate limits to it. The response is
// buffered, so that it can be delayed or dropped after the call has taken effect. A call that hangs ends without a
// response once the client disconnects.
func (s *Server) applyFaults(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		effect := s.callEffectFor(c.Request())
		switch {
		case effect.hang:
			<-c.Request().Context().Done()
			panic(http.ErrAbortHandler)
		case effect.status != 0:
			return c.NoContent(effect.status)
		}
		buffered := &bufferedResponse{ResponseWriter: c.Response().Writer}
		c.Response().Writer = buffered
		if err := next(c); err != nil {
			return err
		}
		if effect.delay > 0 {
			pause(c.Request().Context().Done(), effect.delay)
		}
		if effect.write && buffered.status == http.StatusOK && s.losesResponse() {
			panic(http.ErrAbortHandler)
		}
		return buffered.flush()
	}
}

// callEffectFor counts a call and determines how the active faults and rate limits change its handling. Faults come
// before rate limits; a call that Throttle rejects reduces Throttle by one.
func (s *Server) callEffectFor(r *http.Request) callEffect {
	s.mu.Lock()
	defer s.mu.Unlock()
	write := r.Method != http.MethodGet
	s.count(r, write)
	f := &s.faults
	if f.Hang || cutOff(f, r) {
		return callEffect{hang: true}
	}
	if f.Down {
		return callEffect{status: http.StatusServiceUnavailable}
	}
	if f.Throttle > 0 {
		f.Throttle--
		return callEffect{status: http.StatusTooManyRequests}
	}
	limit := s.readLimiter
	if write {
		limit = s.writeLimiter
	}
	if !limit.AllowN(s.Now(), 1) {
		return callEffect{status: http.StatusTooManyRequests}
	}
	return callEffect{delay: time.Duration(f.LateMS) * time.Millisecond, write: write}
}

// losesResponse reports whether the response to a write that took effect is to be lost, and reduces LoseWriteAnswers by
// one if so.
func (s *Server) losesResponse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseWriteAnswers == 0 {
		return false
	}
	s.faults.LoseWriteAnswers--
	return true
}

// count adds a call to the counters. A GET whose wait_ms is not 0 counts as a watch, any other GET as a read.
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

// cutOff reports whether the faults cut off the calling host or its failure domain.
func cutOff(f *platformapi.Faults, r *http.Request) bool {
	return slices.Contains(f.CutOffHosts, r.Header.Get(platformapi.HeaderHost)) ||
		slices.Contains(f.CutOffFailureDomains, r.Header.Get(platformapi.HeaderFailureDomain))
}

// pause returns after d, or earlier if done is closed.
func pause(done <-chan struct{}, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-done:
	}
}

// bufferedResponse holds a response back until flush, so that faults can still delay or drop it.
type bufferedResponse struct {
	http.ResponseWriter
	status int
	body   []byte
}

func (b *bufferedResponse) WriteHeader(status int) { b.status = status }

func (b *bufferedResponse) Write(p []byte) (int, error) {
	if b.status == 0 {
		b.status = http.StatusOK
	}
	b.body = append(b.body, p...)
	return len(p), nil
}

func (b *bufferedResponse) flush() error {
	b.ResponseWriter.WriteHeader(b.status)
	_, err := b.ResponseWriter.Write(b.body)
	return err
}
