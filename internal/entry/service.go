package entry

import (
	"context"
	"net/http"
	"path"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/internal/document"
	"github.com/turmericshunt/turmericshunt/internal/order"
	"github.com/turmericshunt/turmericshunt/internal/service"
	"github.com/turmericshunt/turmericshunt/pkg/outcome"
)

const (
	// HeaderReplayed marks a response that was recorded when the caller sent the same request earlier.
	HeaderReplayed = "Turmericshunt-Replayed"
	// HeaderResend marks a request that its caller says it has sent before.
	HeaderResend = "Turmericshunt-Resend"
)

const (
	maxKeyBytes     = 255 // limit for the idempotency key
	headerPrefix    = "Turmericshunt-"
	orderContextKey = "order" // key of the echo.Context value that marks requests that may have run as an order
)

// ServiceCaller calls plain services.
type ServiceCaller interface {
	// Do sends a call that may be repeated, since it is idempotent.
	Do(ctx context.Context, call *service.Call) (service.Response, error)
	// RunOrder runs a request that must not be repeated, since it is not idempotent.
	RunOrder(ctx context.Context, q *order.Request) (order.Response, error)
}

// callService forwards a request to a server of the service that its path names. A request that matches a rule for
// non-idempotent calls runs as an order instead.
func (s *Server) callService(c echo.Context) error {
	start := time.Now()
	d := s.Configuration.Document()
	if d == nil {
		return notConfigured("service")
	}
	header := c.Request().Header
	workspace, err := workspaceOf(d, header)
	if err != nil {
		return err
	}
	name, subpath := servicePath(c.Request())
	i := slices.IndexFunc(d.Services, func(x document.Service) bool { return x.Name == name })
	if i < 0 {
		return refuse("find service", outcome.KindNotFound, "unknown service "+quoteTruncated(name))
	}
	timeout, err := requestTimeout(header, configuredOr(d.Services[i].Deadline, serviceDeadline))
	if err != nil {
		return err
	}
	body, err := s.readBody(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(c.Request().Context(), start.Add(timeout))
	defer cancel()
	call := &service.Call{
		Service: name, Method: c.Request().Method, Path: subpath, Query: c.Request().URL.RawQuery,
		Header: serviceHeader(header), Body: body, Idempotent: true,
	}
	if isNonIdempotent(d, call) {
		return s.runOrder(ctx, c, workspace, call, start.Add(timeout))
	}
	response, err := s.Services.Do(ctx, call)
	if err != nil {
		return serviceError(ctx, err)
	}
	c.Response().Header().Set(HeaderBackendServer, response.Server)
	return writeResponse(c, response.Status, response.Header, response.Body, outcome.Completed)
}

// runOrder runs a non-idempotent call under the caller's idempotency key, or under the request id if the caller sent
// none. The response carries the key, so that the caller can resend the request.
func (s *Server) runOrder(ctx context.Context, c echo.Context, workspace string, call *service.Call, deadline time.Time) error {
	resend, err := isResend(c.Request().Header)
	if err != nil {
		return err
	}
	key := call.Header.Get(HeaderIdempotencyKey)
	if len(key) > maxKeyBytes {
		return refuse("read key", outcome.KindBadRequest, HeaderIdempotencyKey+" is over "+strconv.Itoa(maxKeyBytes)+" bytes")
	}
	generated := key == ""
	if generated {
		key = requestID(c)
	}
	c.Response().Header().Set(HeaderIdempotencyKey, key)
	c.Set(orderContextKey, true)
	response, err := s.Services.RunOrder(ctx, &order.Request{
		Workspace: workspace, Key: key, Service: call.Service, Method: call.Method, Path: call.Path, Query: call.Query,
		Header: call.Header, Body: call.Body, Deadline: deadline, NewKey: generated, Resend: resend,
	})
	if err != nil {
		return err
	}
	if response.Replayed {
		c.Response().Header().Set(HeaderReplayed, "true")
	}
	return writeResponse(c, response.Status, response.Header, response.Body, response.Outcome)
}

// isResend reports whether the caller says that it has sent the request before; other values than true and false are
// refused.
func isResend(header http.Header) (bool, error) {
	switch text := header.Get(HeaderResend); text {
	case "", "false":
		return false, nil
	case "true":
		return true, nil
	default:
		return false, refuse("read resend", outcome.KindBadRequest, HeaderResend+" must be true or false, not "+quoteTruncated(text))
	}
}

// writeResponse copies a service's response to the caller and adds the outcome. It drops headers in the host's own
// namespace, and Content-Length unless the request is HEAD, where the header describes a body that is not sent.
func writeResponse(c echo.Context, status int, from http.Header, body []byte, result outcome.Outcome) error {
	header := c.Response().Header()
	for name, values := range from {
		if strings.HasPrefix(name, headerPrefix) || name == echo.HeaderContentLength && c.Request().Method != http.MethodHead {
			continue
		}
		header[name] = values
	}
	header.Set(outcome.Header, string(result))
	c.Response().WriteHeader(status)
	_, err := c.Response().Write(body)
	return errors.WithStack(err)
}

// servicePath splits the path after /v1/services/ into the service's name and the path within the service.
//
// It uses the decoded path, because the router's parameters stay escaped if the path contains an escaped slash.
func servicePath(r *http.Request) (name, subpath string) {
	name, subpath, _ = strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/services/"), "/")
	return name, "/" + subpath
}

// isNonIdempotent reports whether a rule of the configuration marks call as not to be repeated. It matches both the
// path as sent and the cleaned path, since a service may treat "//orders" or "/x/../orders" as "/orders".
func isNonIdempotent(d *document.Document, call *service.Call) bool {
	cleaned := path.Clean(call.Path)
	return slices.ContainsFunc(d.NonIdempotent, func(r document.NonIdempotentRule) bool {
		return r.Service == call.Service && (r.Method == "" || r.Method == call.Method) &&
			(strings.HasPrefix(call.Path, r.PathPrefix) || strings.HasPrefix(cleaned, r.PathPrefix))
	})
}

// serviceHeader returns a copy of the caller's headers without those that are meant for this host, most importantly the
// Authorization header with the workspace's key.
func serviceHeader(from http.Header) http.Header {
	header := from.Clone()
	header.Del(echo.HeaderAuthorization)
	for name := range header {
		if strings.HasPrefix(name, headerPrefix) {
			delete(header, name)
		}
	}
	return header
}

// serviceError converts the failure of an idempotent call into the error that the caller is sent. The outcome is
// Failed, not Unknown, if the call may have run, since running it again does no harm.
func serviceError(ctx context.Context, err error) *outcome.Error {
	e := &outcome.Error{
		Op: "call service", Kind: outcome.KindUnavailable, Outcome: outcome.NotRun,
		Message: "no server of the service took the call", RetryAfter: time.Second,
	}
	if service.MayHaveRun(err) {
		e.Outcome = outcome.Failed
		e.Message = "the service gave no whole answer"
	}
	if ctx.Err() != nil {
		e.Kind = outcome.KindDeadline
	}
	return e
}
