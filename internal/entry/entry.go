package entry

import (
	"context"
	"log/slog"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/turmericshunt/turmericshunt/internal/chat"
	"github.com/turmericshunt/turmericshunt/internal/dispatch"
	"github.com/turmericshunt/turmericshunt/internal/document"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/pkg/outcome"
)

// Request and response headers of the API for callers.
const (
	HeaderWorkspace      = "Turmericshunt-Workspace"
	HeaderDeadline       = "Turmericshunt-Deadline"
	HeaderClass          = "Turmericshunt-Class"
	HeaderRequestID      = "Turmericshunt-Request-Id"
	HeaderBackendServer  = "Turmericshunt-Backend-Server"
	HeaderHost           = "Turmericshunt-Host"
	HeaderIdempotencyKey = "Idempotency-Key"
	headerRetry          = "Retry-After"
)

// A caller that accepts or sends no data within these timeouts is treated as disconnected.
const (
	writeTimeout = 30 * time.Second // for each write to the connection
	readTimeout  = time.Minute      // for reading the complete request body
)

// minRetryAfter is the least retry time in a retryable error response. It applies if the error names no time, since an
// immediate retry is not worthwhile.
const minRetryAfter = time.Millisecond

// PromptRunner runs admitted prompts.
type PromptRunner interface {
	// Run executes job and passes the generated text to sink in order. It returns an *outcome.Error if the prompt has
	// no complete response.
	Run(ctx context.Context, job *dispatch.Job, sink dispatch.Sink) (dispatch.Result, error)
}

// ConfigurationSource gives access to the active configuration.
type ConfigurationSource interface {
	// Document returns the active configuration document, or nil if the host has none yet.
	Document() *document.Document
}

// Server serves the HTTP API for callers. All fields but MaxTotalBodyBytes must be set before Handler is called.
type Server struct {
	Host          protocol.Host
	Configuration ConfigurationSource
	Prompts       PromptRunner
	Services      ServiceCaller
	// MaxBodyBytes is the limit in bytes for one request body.
	MaxBodyBytes int64
	// MaxTotalBodyBytes is the limit in bytes for the bodies of all requests in progress together; 0 means no limit.
	MaxTotalBodyBytes int64
	Metrics           tally.Scope
	Log               *slog.Logger

	requestCount      atomic.Uint64 // requests received so far; numbers the request ids
	active            atomic.Int64  // requests in progress
	reservedBodyBytes atomic.Int64  // memory reserved for the bodies of requests in progress
}

// Handler returns the handler that serves all routes of the API for callers.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = s.handleError
	e.Use(s.track)
	e.POST("/v1/chat/completions", s.completeChat)
	e.GET("/v1/models", s.listModels)
	e.GET("/v1/models/:model", s.getModel)
	e.Any("/v1/services/:service", s.callService)
	e.Any("/v1/services/:service/*", s.callService)
	return e
}

// Active returns the number of requests in progress: those whose response is not finished.
func (s *Server) Active() int64 { return s.active.Load() }

// track is the middleware around all routes: it assigns the request id, sets the common response headers, counts the
// request as active while it runs, writes the error response and records the request's metrics.
func (s *Server) track(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		s.active.Add(1)
		defer s.active.Add(-1)
		defer s.releaseBody(c)
		header := c.Response().Header()
		header.Set(HeaderRequestID, s.newRequestID())
		header.Set(HeaderHost, s.Host.Name)
		c.Response().Before(func() { setWriteDeadline(c.Response()) })
		start := time.Now()
		err := s.recoverPanic(c, next)
		if err != nil {
			c.Error(err)
		}
		result := outcome.Outcome(header.Get(outcome.Header))
		scope := s.Metrics.Tagged(map[string]string{"outcome": string(result)})
		scope.Counter("requests").Inc(1)
		scope.Timer("request_time").Record(time.Since(start))
		return nil
	}
}

// recoverPanic calls next and converts a panic into an error, so that the caller gets an error response of the usual
// shape. If the response headers have been sent already, it panics with http.ErrAbortHandler instead.
func (s *Server) recoverPanic(c echo.Context, next echo.HandlerFunc) (err error) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		s.Metrics.Counter("panics").Inc(1)
		s.Log.Error("panic in a request", "request_id", requestID(c), "cause", cause, "stack", string(debug.Stack()))
		err = errors.Errorf("panic: %v", cause)
		if c.Response().Committed {
			// Closes the connection, so that the caller cannot mistake the truncated response for a complete one.
			panic(http.ErrAbortHandler)
		}
	}()
	return next(c)
}

// setWriteDeadline sets the deadline of the next write to writeTimeout from now. It must be called before each
// response: on a keep-alive connection the deadline of an earlier response would apply otherwise.
func setWriteDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
}

// newRequestID returns an id that is unique among all hosts and restarts: host name, incarnation and request number.
func (s *Server) newRequestID() string {
	n := s.requestCount.Add(1)
	return s.Host.Name + "-" + strconv.FormatUint(s.Host.Incarnation, 36) + "-" + strconv.FormatUint(n, 36)
}

func requestID(c echo.Context) string { return c.Response().Header().Get(HeaderRequestID) }

func (s *Server) listModels(c echo.Context) error {
	d := s.Configuration.Document()
	if d == nil {
		return notConfigured("models")
	}
	response := modelList{Object: "list", Data: make([]modelInfo, 0, len(d.Models))}
	for i := range d.Models {
		response.Data = append(response.Data, newModelInfo(&d.Models[i]))
	}
	c.Response().Header().Set(outcome.Header, string(outcome.Completed))
	return c.JSON(http.StatusOK, response)
}

func (s *Server) getModel(c echo.Context) error {
	d := s.Configuration.Document()
	if d == nil {
		return notConfigured("model")
	}
	name := c.Param("model")
	m := findModel(d, name)
	if m == nil {
		return refuse("find model", outcome.KindNotFound, "unknown model "+quoteTruncated(name))
	}
	c.Response().Header().Set(outcome.Header, string(outcome.Completed))
	return c.JSON(http.StatusOK, newModelInfo(m))
}

func newModelInfo(m *document.Model) modelInfo {
	return modelInfo{ID: m.Name, Object: "model", OwnedBy: "turmericshunt", MaxPromptTokens: m.MaxPromptTokens}
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelInfo `json:"data"`
}

type modelInfo struct {
	ID              string `json:"id"`
	Object          string `json:"object"`
	OwnedBy         string `json:"owned_by"`
	MaxPromptTokens int64  `json:"max_prompt_tokens"`
}

// handleError writes err as an OpenAI-style error response with its outcome and, if the error is retryable, the time
// after which the caller may retry. It only counts the error if the response headers have been sent already.
func (s *Server) handleError(err error, c echo.Context) {
	failure, field := classify(err)
	if failure.Kind == outcome.KindInternal && c.Get(orderContextKey) != nil {
		failure.Outcome = outcome.Unknown
	}
	s.Metrics.Tagged(map[string]string{"kind": string(failure.Kind)}).Counter("refusals").Inc(1)
	if c.Response().Committed {
		return
	}
	reported := *failure
	header := c.Response().Header()
	header.Set(outcome.Header, string(reported.Outcome))
	if reported.Retryable() {
		reported.RetryAfter = max(reported.RetryAfter, minRetryAfter)
		header.Set(headerRetry, retrySeconds(reported.RetryAfter))
	} else {
		reported.RetryAfter = 0
	}
	if err := c.JSON(reported.Status(), chat.NewErrorResponse(&reported, requestID(c), field)); err != nil {
		s.Metrics.Counter("answers_not_written").Inc(1)
	}
}

// classify maps any error to the outcome.Error that the caller is sent. For a *chat.Error, field is the request field
// that is wrong. An error of an unknown type becomes an internal error without details.
func classify(err error) (failure *outcome.Error, field string) {
	var requestErr *chat.Error
	if errors.As(err, &requestErr) {
		return &outcome.Error{Op: requestErr.Op, Kind: requestErr.Kind, Outcome: outcome.NotRun, Message: requestErr.Error()}, requestErr.Field
	}
	if errors.As(err, &failure) {
		return failure, ""
	}
	var routeErr *echo.HTTPError
	if errors.As(err, &routeErr) && routeErr.Code < http.StatusInternalServerError {
		kind := outcome.KindBadRequest
		switch routeErr.Code {
		case http.StatusNotFound:
			kind = outcome.KindNotFound
		case http.StatusMethodNotAllowed:
			kind = outcome.KindMethodNotAllowed
		}
		return &outcome.Error{Op: "route", Kind: kind, Outcome: outcome.NotRun, Message: http.StatusText(routeErr.Code)}, ""
	}
	return &outcome.Error{Op: "serve", Kind: outcome.KindInternal, Outcome: outcome.Failed, Message: "internal error of the host"}, ""
}

// retrySeconds formats d for the Retry-After header. The header holds whole seconds, so d is rounded up; the response
// body holds the time in milliseconds.
func retrySeconds(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}

// refuse returns the error for a request that is refused before it runs.
func refuse(op string, kind outcome.Kind, message string) *outcome.Error {
	return &outcome.Error{Op: op, Kind: kind, Outcome: outcome.NotRun, Message: message}
}

// notConfigured returns the retryable error for a request that arrives before the host has a configuration.
func notConfigured(op string) *outcome.Error {
	e := refuse(op, outcome.KindUnavailable, "this host has no configuration yet")
	e.RetryAfter = time.Second
	return e
}
