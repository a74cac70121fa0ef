package entry

import (
	"context"
	"net/http"
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

// HeaderReplayed marks an answer that was recorded for an earlier sending of the same request.
const HeaderReplayed = "Turmericshunt-Replayed"

const maxKeyBytes = 255

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
	name := c.Param("service")
	i := slices.IndexFunc(d.Services, func(x document.Service) bool { return x.Name == name })
	if i < 0 {
		return refuse("find service", outcome.KindNotFound, "unknown service "+strconv.Quote(name))
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
	path := "/" + c.Param("*")
	call := &service.Call{
		Service: name, Method: c.Request().Method, Path: path, Query: c.Request().URL.RawQuery,
		Header: header, Body: body, Idempotent: true,
	}
	if mustNotRepeat(d, name, call.Method, path) {
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
	key := call.Header.Get(HeaderKey)
	if len(key) > maxKeyBytes {
		return refuse("read key", outcome.KindBadRequest, HeaderKey+" is over "+strconv.Itoa(maxKeyBytes)+" bytes")
	}
	made := key == ""
	if made {
		key = requestID(c)
	}
	c.Response().Header().Set(HeaderKey, key)
	answer, err := s.Services.Order(ctx, &order.Request{
		Workspace: workspace, Key: key, Service: call.Service, Method: call.Method, Path: call.Path, Query: call.Query,
		Header: call.Header, Body: call.Body, Deadline: deadline, NewKey: made,
	})
	if err != nil {
		return err
	}
	if answer.Replayed {
		c.Response().Header().Set(HeaderReplayed, "true")
	}
	return reply(c, answer.Status, answer.Header, answer.Body, answer.Outcome)
}

func reply(c echo.Context, status int, from http.Header, body []byte, told outcome.Outcome) error {
	header := c.Response().Header()
	for name, values := range from {
		if !strings.HasPrefix(name, "Turmericshunt-") && name != echo.HeaderContentLength {
			header[name] = values
		}
	}
	header.Set(outcome.Header, string(told))
	c.Response().WriteHeader(status)
	_, err := c.Response().Write(body)
	return errors.WithStack(err)
}

func mustNotRepeat(d *document.Document, name, method, path string) bool {
	return slices.ContainsFunc(d.NonIdempotent, func(r document.Rule) bool {
		return r.Service == name && (r.Method == "" || r.Method == method) && strings.HasPrefix(path, r.PathPrefix)
	})
}

// A call that may be repeated fails as a whole, since running it again does no harm.
func serviceError(ctx context.Context, err error) *outcome.Error {
	e := &outcome.Error{Op: "call service", Kind: outcome.KindUnavailable, Outcome: outcome.NotRun, Message: err.Error(), RetryAfter: time.Second}
	if service.MayHaveRun(err) {
		e.Outcome = outcome.Failed
	}
	if ctx.Err() != nil {
		e.Kind = outcome.KindDeadline
	}
	return e
}
