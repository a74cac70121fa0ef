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
	// HeaderReplayed marks an answer that was recorded for an earlier sending of the same request.
	HeaderReplayed = "Turmericshunt-Replayed"
	// HeaderResend marks a request that its caller has sent before.
	HeaderResend = "Turmericshunt-Resend"
)

const (
	maxKeyBytes = 255
	ownPrefix   = "Turmericshunt-"
	orderMark   = "order" // set in the context of a request that may have run as an order
)

// Services calls plain services.
type Services interface {
	// Do sends a call that may be repeated.
	Do(ctx context.Context, call *service.Call) (service.Answer, error)
	// Order runs a request that must not be repeated.
	Order(ctx context.Context, q *order.Request) (order.Answer, error)
}

func (s *Server) service(c echo.Context) error {
	began := time.Now()
	d := s.Configuration.Document()
	if d == nil {
		return notConfigured("service")
	}
	header := c.Request().Header
	workspace, err := workspaceOf(d, header)
	if err != nil {
		return err
	}
	name, inner := servicePath(c.Request())
	i := slices.IndexFunc(d.Services, func(x document.Service) bool { return x.Name == name })
	if i < 0 {
		return refuse("find service", outcome.KindNotFound, "unknown service "+quote(name))
	}
	left, err := timeLeft(header, orPreset(d.Services[i].Deadline, serviceDeadline))
	if err != nil {
		return err
	}
	body, err := s.readBody(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(c.Request().Context(), began.Add(left))
	defer cancel()
	call := &service.Call{
		Service: name, Method: c.Request().Method, Path: inner, Query: c.Request().URL.RawQuery,
		Header: forService(header), Body: body, Idempotent: true,
	}
	if mustNotRepeat(d, call) {
		return s.order(ctx, c, workspace, call, began.Add(left))
	}
	answer, err := s.Services.Do(ctx, call)
	if err != nil {
		return serviceError(ctx, err)
	}
	c.Response().Header().Set(HeaderServer, answer.Server)
	return reply(c, answer.Status, answer.Header, answer.Body, outcome.Completed)
}

func (s *Server) order(ctx context.Context, c echo.Context, workspace string, call *service.Call, deadline time.Time) error {
	resend, err := isResend(c.Request().Header)
	if err != nil {
		return err
	}
	key := call.Header.Get(HeaderKey)
	if len(key) > maxKeyBytes {
		return refuse("read key", outcome.KindBadRequest, HeaderKey+" is over "+strconv.Itoa(maxKeyBytes)+" bytes")
	}
	made := key == ""
	if made {
		key = requestID(c)
	}
	c.Response().Header().Set(HeaderKey, key)
	c.Set(orderMark, true)
	answer, err := s.Services.Order(ctx, &order.Request{
		Workspace: workspace, Key: key, Service: call.Service, Method: call.Method, Path: call.Path, Query: call.Query,
		Header: call.Header, Body: call.Body, Deadline: deadline, NewKey: made, Resend: resend,
	})
	if err != nil {
		return err
	}
	if answer.Replayed {
		c.Response().Header().Set(HeaderReplayed, "true")
	}
	return reply(c, answer.Status, answer.Header, answer.Body, answer.Outcome)
}

func isResend(header http.Header) (bool, error) {
	switch text := header.Get(HeaderResend); text {
	case "", "false":
		return false, nil
	case "true":
		return true, nil
	default:
		return false, refuse("read resend", outcome.KindBadRequest, HeaderResend+" must be true or false, not "+quote(text))
	}
}

func reply(c echo.Context, status int, from http.Header, body []byte, told outcome.Outcome) error {
	header := c.Response().Header()
	for name, values := range from {
		if strings.HasPrefix(name, ownPrefix) || name == echo.HeaderContentLength && c.Request().Method != http.MethodHead {
			continue
		}
		header[name] = values
	}
	header.Set(outcome.Header, string(told))
	c.Response().WriteHeader(status)
	_, err := c.Response().Write(body)
	return errors.WithStack(err)
}

// Splits the path after the prefix of services into the service's name and its own path.
//
// The decoded path is used, since the router's parameters stay escaped where the path has an escaped slash.
func servicePath(r *http.Request) (name, inner string) {
	name, inner, _ = strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/services/"), "/")
	return name, "/" + inner
}

// A service may read "//orders" or "/x/../orders" as "/orders", so that both forms of the path are compared.
func mustNotRepeat(d *document.Document, call *service.Call) bool {
	clean := path.Clean(call.Path)
	return slices.ContainsFunc(d.NonIdempotent, func(r document.Rule) bool {
		return r.Service == call.Service && (r.Method == "" || r.Method == call.Method) &&
			(strings.HasPrefix(call.Path, r.PathPrefix) || strings.HasPrefix(clean, r.PathPrefix))
	})
}

// Leaves out the headers that are meant for this host, above all the workspace's key.
func forService(from http.Header) http.Header {
	header := from.Clone()
	header.Del(echo.HeaderAuthorization)
	for name := range header {
		if strings.HasPrefix(name, ownPrefix) {
			delete(header, name)
		}
	}
	return header
}

// A call that may be repeated fails as a whole, since running it again does no harm.
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
