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
	maxChangeBytes      = 4 << 20 // limit in bytes for the body of a configuration change
	defaultHistoryLimit = 20      // changes in the history if the operator sets no limit
	maxHistoryLimit     = 500     // the most changes that an operator may request

	// applyTimeout limits how long a configuration change may take. It is shorter than the clients' timeout, so that a
	// client still receives what is known about the change.
	applyTimeout = 20 * time.Second
)

// operatorKey is the key of the echo.Context value that holds the authenticated Operator.
const operatorKey = "operator"

// ConfigurationStore reads and changes the configuration.
type ConfigurationStore interface {
	// Current returns the active configuration, or nil if the host has none yet.
	Current() *spread.Snapshot
	// Apply submits a change of one section and returns its revision once it is accepted.
	Apply(ctx context.Context, change spread.Change) (spread.AcceptedChange, error)
	// History returns at most limit accepted changes, the newest first, or an error with those that it could read.
	History(ctx context.Context, limit int) ([]spread.HistoryRecord, error)
}

// Host reports the state of this host and the configuration versions of all hosts.
type Host interface {
	// Ready reports whether the host is ready to serve requests.
	Ready() bool
	Status() adminapi.Status
	Versions(ctx context.Context) []adminapi.HostVersion
}

// Operator is a person or program that may change the configuration: the listed sections, or all if none is listed.
type Operator struct {
	Name     string // matched against the common name of a client certificate
	SHA256   string // hexadecimal digest of the bearer token; empty if the operator must use a certificate
	Sections []string

	readOnly bool // may change no section; set for a valid certificate whose name is not listed
}

// Server serves the HTTP API for operators.
type Server struct {
	Configuration ConfigurationStore
	Host          Host
	Metrics       http.Handler
	Operators     []Operator // if empty, callers are not asked for a token
	ClientCerts   bool       // the listener verifies client certificates
}

// Handler returns the handler that serves all routes of the API for operators.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = handleError
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", s.readiness)
	e.GET("/metrics", echo.WrapHandler(s.Metrics))
	g := e.Group("/v1", s.authenticate)
	g.GET("/profiles/cpu", echo.WrapHandler(http.HandlerFunc(pprof.Profile)))
	g.GET("/profiles/:name", profile)
	g.GET("/status", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Host.Status()) })
	g.GET("/config", s.getManifest)
	g.GET("/config/history", s.listHistory)
	g.GET("/config/status", s.listVersions)
	g.GET("/config/sections/:section", s.getSection)
	g.PUT("/config/sections/:section", s.applyChange)
	return e
}

// profile serves a profile of the Go runtime, such as heap or goroutine.
func profile(c echo.Context) error {
	pprof.Handler(c.Param("name")).ServeHTTP(c.Response(), c.Request())
	return nil
}

func (s *Server) readiness(c echo.Context) error {
	if !s.Host.Ready() {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

// authenticate is the middleware that identifies the operator, or refuses the request with KindUnauthorized. It stores
// the operator in the echo.Context.
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

// identify returns the operator that sent r; ok is false if r is not authenticated. The operator is identified by the
// client certificate or else by the bearer token. A valid certificate whose name is not listed gives a read-only
// operator if operators are listed, and one that may change everything if none is. If neither operators nor client
// certificates are configured, every request is from the operator "local".
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

// mayChange reports whether o may change the section.
func (o Operator) mayChange(section document.Section) bool {
	return !o.readOnly && len(o.Sections) == 0 || slices.Contains(o.Sections, string(section))
}

func (s *Server) listVersions(c echo.Context) error {
	return c.JSON(http.StatusOK, s.Host.Versions(c.Request().Context()))
}

// listHistory lists the latest configuration changes. If only some could be read, it lists those; it returns the error
// only if there are none.
func (s *Server) listHistory(c echo.Context) error {
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
