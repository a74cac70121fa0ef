package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"net/http/pprof"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/internal/document"
	"github.com/turmericshunt/turmericshunt/internal/spread"
	"github.com/turmericshunt/turmericshunt/pkg/adminapi"
)

const (
	maxChangeBytes      = 4 << 20
	defaultHistoryLimit = 20
	maxHistoryLimit     = 500
	applyTimeout        = 20 * time.Second // under the time that clients wait, so that they are told what is known
)

const operatorKey = "operator"

// Configuration reads and changes the configuration.
type Configuration interface {
	Current() *spread.Snapshot
	Apply(ctx context.Context, change spread.Change) (spread.Accepted, error)
	History(ctx context.Context, limit int) ([]spread.Record, error)
}

// Host tells about this host and the others.
type Host interface {
	Ready() bool
	Status() adminapi.Status
	Versions(ctx context.Context) []adminapi.HostVersion
}

// Operator is who may change the sections, or all when there are none.
type Operator struct {
	Name     string // also the common name in the operator's certificate
	SHA256   string // hexadecimal digest of the token; empty when only the certificate lets the operator in
	Sections []string

	readOnly bool
}

// Server serves the operators' interface.
type Server struct {
	Configuration Configuration
	Host          Host
	Metrics       http.Handler
	Operators     []Operator
	ClientCerts   bool // the listener checks client certificates
}

// Handler returns the routes of the operators' interface.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = handleError
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", s.ready)
	e.GET("/metrics", echo.WrapHandler(s.Metrics))
	g := e.Group("/v1", s.authenticate)
	g.GET("/profiles/cpu", echo.WrapHandler(http.HandlerFunc(pprof.Profile)))
	g.GET("/profiles/:name", profile)
	g.GET("/status", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Host.Status()) })
	g.GET("/config", s.manifest)
	g.GET("/config/history", s.history)
	g.GET("/config/status", s.versions)
	g.GET("/config/sections/:section", s.section)
	g.PUT("/config/sections/:section", s.apply)
	return e
}

// Serves a profile of the Go runtime, such as heap or goroutine.
func profile(c echo.Context) error {
	pprof.Handler(c.Param("name")).ServeHTTP(c.Response(), c.Request())
	return nil
}

func (s *Server) ready(c echo.Context) error {
	if !s.Host.Ready() {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

// Finds out who calls: by client certificate, by token, or nobody in particular where neither is set up.
func (s *Server) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		operator, ok := s.identify(c.Request())
		if !ok {
			return &Error{Op: "authenticate", Kind: KindUnauthorized, Err: errors.New("a valid bearer token or client certificate is needed")}
		}
		c.Set(operatorKey, operator)
		return next(c)
	}
}

func (s *Server) identify(r *http.Request) (Operator, bool) {
	if s.ClientCerts && r.TLS != nil && len(r.TLS.PeerCertificates) > 0 {
		name := r.TLS.PeerCertificates[0].Subject.CommonName
		if i := slices.IndexFunc(s.Operators, func(o Operator) bool { return o.Name == name }); i >= 0 {
			return s.Operators[i], true
		}
		return Operator{Name: name, readOnly: len(s.Operators) > 0}, true
	}
	if len(s.Operators) == 0 {
		return Operator{Name: "local"}, !s.ClientCerts
	}
	token, ok := strings.CutPrefix(r.Header.Get(echo.HeaderAuthorization), "Bearer ")
	if !ok {
		return Operator{}, false
	}
	sum := sha256.Sum256([]byte(token))
	digest := []byte(hex.EncodeToString(sum[:]))
	for _, o := range s.Operators {
		if subtle.ConstantTimeCompare(digest, []byte(strings.ToLower(o.SHA256))) == 1 {
			return o, true
		}
	}
	return Operator{}, false
}

func (o Operator) mayChange(section document.Section) bool {
	return !o.readOnly && len(o.Sections) == 0 || slices.Contains(o.Sections, string(section))
}

func (s *Server) versions(c echo.Context) error {
	return c.JSON(http.StatusOK, s.Host.Versions(c.Request().Context()))
}

func (s *Server) history(c echo.Context) error {
	limit := defaultHistoryLimit
	if text := c.QueryParam("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxHistoryLimit {
			return &Error{Op: "read limit", Kind: KindInvalid, Err: errors.Errorf("limit must be 1 to %d", maxHistoryLimit)}
		}
		limit = n
	}
	records, err := s.Configuration.History(c.Request().Context(), limit)
	if err != nil && len(records) == 0 {
		return err
	}
	rows := make([]adminapi.Record, len(records))
	for i, r := range records {
		rows[i] = newRecord(r)
	}
	return c.JSON(http.StatusOK, rows)
}
