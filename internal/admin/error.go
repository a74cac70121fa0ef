package admin

import (
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/internal/document"
	"github.com/turmericshunt/turmericshunt/internal/manifest"
	"github.com/turmericshunt/turmericshunt/internal/spread"
	"github.com/turmericshunt/turmericshunt/pkg/adminapi"
)

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindUnauthorized Kind = "unauthorized"
	KindForbidden    Kind = "forbidden"
	KindInvalid      Kind = "invalid"
	KindNotFound     Kind = "not_found"
	KindTooLarge     Kind = "too_large"
)

// Error is the refusal of an operator's request.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, kind and cause in one line.
func (e *Error) Error() string { return e.Op + ": " + string(e.Kind) + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// handleError writes err as an error response, unless the response headers have been sent already.
func handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	status, failure := classify(err)
	_ = c.JSON(status, failure)
}

// classify maps any error to the HTTP status and the error response that the operator is sent.
func classify(err error) (int, adminapi.ErrorResponse) {
	failure := adminapi.ErrorResponse{Kind: "unavailable", Message: err.Error()}
	var adminErr *Error
	var manifestErr *manifest.Error
	var documentErr *document.Error
	var spreadErr *spread.Error
	var routeErr *echo.HTTPError
	switch {
	case errors.As(err, &adminErr):
		failure.Kind, failure.Message = string(adminErr.Kind), adminErr.Err.Error()
		return adminStatus(adminErr.Kind), failure
	case errors.As(err, &documentErr):
		failure.Kind, failure.Message = "invalid", documentErr.Error()
		return http.StatusBadRequest, failure
	case errors.As(err, &manifestErr):
		failure.Kind, failure.Diff = string(manifestErr.Kind), manifestErr.Diff
		if manifestErr.Err != nil {
			failure.Message = manifestErr.Err.Error()
		}
		return manifestStatus(manifestErr.Kind), failure
	case errors.As(err, &spreadErr):
		failure.Kind = string(spreadErr.Kind)
		return http.StatusServiceUnavailable, failure
	case errors.As(err, &routeErr):
		failure.Kind, failure.Message = "invalid", http.StatusText(routeErr.Code)
		return routeErr.Code, failure
	}
	return http.StatusInternalServerError, failure
}

// adminStatus returns the HTTP status for an Error of the given kind.
func adminStatus(kind Kind) int {
	switch kind {
	case KindUnauthorized:
		return http.StatusUnauthorized
	case KindForbidden:
		return http.StatusForbidden
	case KindNotFound:
		return http.StatusNotFound
	case KindTooLarge:
		return http.StatusRequestEntityTooLarge
	default:
		return http.StatusBadRequest
	}
}

// manifestStatus returns the HTTP status for a manifest.Error of the given kind.
func manifestStatus(kind manifest.Kind) int {
	switch kind {
	case manifest.KindConflict:
		return http.StatusConflict
	case manifest.KindInvalid:
		return http.StatusBadRequest
	default:
		return http.StatusServiceUnavailable
	}
}
