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

// Headers of the callers' interface.
const (
	HeaderWorkspace = "Turmericshunt-Workspace"
	HeaderDeadline  = "Turmericshunt-Deadline"
	HeaderClass     = "Turmericshunt-Class"
	HeaderRequestID = "Turmericshunt-Request-Id"
	HeaderServer    = "Turmericshunt-Backend-Server"
	HeaderHost      = "Turmericshunt-Host"
	HeaderKey       = "Idempotency-Key"
	headerRetry     = "Retry-After"
)

// A caller that takes or sends nothing for this long is taken to be gone.
const (
	writeTimeout = 30 * time.Second
	readTimeout  = time.Minute // for the whole body
)

// A refusal that names no time is not worth repeating at once.
const minRetryAfter = time.Millisecond

// Prompts runs admitted prompts and returns an *outcome.Error for one that has no whole answer.
type Prompts interface {
	Run(ctx context.Context, job *dispatch.Job, sink dispatch.Sink) (dispatch.Answer, error)
}

// Configuration returns the document in force, or nil before there is one.
type Configuration interface {
	Document() *document.Document
}

// Server serves the callers' interface.
type Server struct {
	Host          protocol.Host
	Configuration Configuration
	Prompts       Prompts
	Services      Services
	MaxBodyBytes  int64
	// MaxBodiesBytes bounds the bodies of all requests under way; 0 does not.
	MaxBodiesBytes int64
	Metrics        tally.Scope
	Log            *slog.Logger

	requests atomic.Uint64
	active   atomic.Int64
	bodies   atomic.Int64 // bytes reserved for the bodies of requests under way
}

// Handler returns the routes of the callers' interface.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = s.handleError
	e.Use(s.track)
	e.POST("/v1/chat/completions", s.complete)
	e.GET("/v1/models", s.models)
	e.GET("/v1/models/:model", s.model)
	e.Any("/v1/services/:service", s.service)
	e.Any("/v1/services/:service/*", s.service)
	return e
}

// Active returns the number of requests that have no final answer yet.
func (s *Server) Active() int64 { return s.active.Load() }

// Gives each request an id and counts it while it runs.
func (s *Server) track(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		s.active.Add(1)
		defer s.active.Add(-1)
		defer s.releaseBody(c)
		header := c.Response().Header()
		header.Set(HeaderRequestID, s.newRequestID())
		header.Set(HeaderHost, s.Host.Name)
		c.Response().Before(func() { limitWrite(c.Response()) })
		began := time.Now()
		err := s.guard(c, next)
		if err != nil {
			c.Error(err)
		}
		told := outcome.Outcome(header.Get(outcome.Header))
		scope := s.Metrics.Tagged(map[string]string{"outcome": string(told)})
		scope.Counter("requests").Inc(1)
		scope.Timer("request_time").Record(time.Since(began))
		return nil
	}
}

// Calls next and turns a panic into an error, so that the caller gets an answer of the usual shape.
func (s *Server) guard(c echo.Context, next echo.HandlerFunc) (err error) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		s.Metrics.Counter("panics").Inc(1)
		s.Log.Error("panic in a request", "request_id", requestID(c), "cause", cause, "stack", string(debug.Stack()))
		err = errors.Errorf("panic: %v", cause)
		if c.Response().Committed {
			panic(http.ErrAbortHandler) // cuts the connection, so that the answer can't pass for a whole one
		}
	}()
	return next(c)
}

// Bounds the next write; a connection that is kept open keeps an earlier bound otherwise.
func limitWrite(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
}

func (s *Server) newRequestID() string {
	n := s.requests.Add(1)
	return s.Host.Name + "-" + strconv.FormatUint(s.Host.Incarnation, 36) + "-" + strconv.FormatUint(n, 36)
}

func requestID(c echo.Context) string { return c.Response().Header().Get(HeaderRequestID) }

func (s *Server) models(c echo.Context) error {
	d := s.Configuration.Document()
	if d == nil {
		return notConfigured("models")
	}
	list := modelList{Object: "list", Data: make([]modelRow, 0, len(d.Models))}
	for i := range d.Models {
		list.Data = append(list.Data, newModelRow(&d.Models[i]))
	}
	c.Response().Header().Set(outcome.Header, string(outcome.Completed))
	return c.JSON(http.StatusOK, list)
}

func (s *Server) model(c echo.Context) error {
	d := s.Configuration.Document()
	if d == nil {
		return notConfigured("model")
	}
	name := c.Param("model")
	m := findModel(d, name)
	if m == nil {
		return refuse("find model", outcome.KindNotFound, "unknown model "+quote(name))
	}
	c.Response().Header().Set(outcome.Header, string(outcome.Completed))
	return c.JSON(http.StatusOK, newModelRow(m))
}

func newModelRow(m *document.Model) modelRow {
	return modelRow{ID: m.Name, Object: "model", OwnedBy: "turmericshunt", MaxPromptTokens: m.MaxPromptTokens}
}

type modelList struct {
	Object string     `json:"object"`
	Data   []modelRow `json:"data"`
}

type modelRow struct {
	ID              string `json:"id"`
	Object          string `json:"object"`
	OwnedBy         string `json:"owned_by"`
	MaxPromptTokens int64  `json:"max_prompt_tokens"`
}

// Writes any error in the shape of the OpenAI interface, with its outcome and when to come back.
func (s *Server) handleError(err error, c echo.Context) {
	failure, field := classify(err)
	if failure.Kind == outcome.KindInternal && c.Get(orderMark) != nil {
		failure.Outcome = outcome.Unknown
	}
	s.Metrics.Tagged(map[string]string{"kind": string(failure.Kind)}).Counter("refusals").Inc(1)
	if c.Response().Committed {
		return
	}
	told := *failure
	header := c.Response().Header()
	header.Set(outcome.Header, string(told.Outcome))
	if told.Retryable() {
		told.RetryAfter = max(told.RetryAfter, minRetryAfter)
		header.Set(headerRetry, retrySeconds(told.RetryAfter))
	} else {
		told.RetryAfter = 0
	}
	if err := c.JSON(told.Status(), chat.NewFailure(&told, requestID(c), field)); err != nil {
		s.Metrics.Counter("answers_not_written").Inc(1)
	}
}

func classify(err error) (failure *outcome.Error, field string) {
	var bad *chat.Error
	if errors.As(err, &bad) {
		return &outcome.Error{Op: bad.Op, Kind: bad.Kind, Outcome: outcome.NotRun, Message: bad.Error()}, bad.Field
	}
	if errors.As(err, &failure) {
		return failure, ""
	}
	var routing *echo.HTTPError
	if errors.As(err, &routing) && routing.Code < http.StatusInternalServerError {
		kind := outcome.KindBadRequest
		switch routing.Code {
		case http.StatusNotFound:
			kind = outcome.KindNotFound
		case http.StatusMethodNotAllowed:
			kind = outcome.KindMethod
		}
		return &outcome.Error{Op: "route", Kind: kind, Outcome: outcome.NotRun, Message: http.StatusText(routing.Code)}, ""
	}
	return &outcome.Error{Op: "serve", Kind: outcome.KindInternal, Outcome: outcome.Failed, Message: "internal error of the host"}, ""
}

// Retry-After counts whole seconds, so that a shorter time is rounded up; the body has milliseconds.
func retrySeconds(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}

func refuse(op string, kind outcome.Kind, message string) *outcome.Error {
	return &outcome.Error{Op: op, Kind: kind, Outcome: outcome.NotRun, Message: message}
}

func notConfigured(op string) *outcome.Error {
	e := refuse(op, outcome.KindUnavailable, "this host has no configuration yet")
	e.RetryAfter = time.Second
	return e
}
