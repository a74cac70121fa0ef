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

// Error is a refused call of an operator.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, kind and cause in one line.
func (e *Error) Error() string { return e.Op + ": " + string(e.Kind) + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	status, failure := classify(err)
	_ = c.JSON(status, failure)
}

func classify(err error) (int, adminapi.Failure) {
	failure := adminapi.Failure{Kind: "unavailable", Message: err.Error()}
	var own *Error
	var refused *manifest.Error
	var faulty *document.Error
	var kept *spread.Error
	var routing *echo.HTTPError
	switch {
	case errors.As(err, &own):
		failure.Kind, failure.Message = string(own.Kind), own.Err.Error()
		return ownStatus(own.Kind), failure
	case errors.As(err, &faulty):
		failure.Kind, failure.Message = "invalid", faulty.Error()
		return http.StatusBadRequest, failure
	case errors.As(err, &refused):
		failure.Kind, failure.Diff = string(refused.Kind), refused.Diff
		if refused.Err != nil {
			failure.Message = refused.Err.Error()
		}
		return refusedStatus(refused.Kind), failure
	case errors.As(err, &kept):
		failure.Kind = string(kept.Kind)
		return http.StatusServiceUnavailable, failure
	case errors.As(err, &routing):
		failure.Kind, failure.Message = "invalid", http.StatusText(routing.Code)
		return routing.Code, failure
	}
	return http.StatusInternalServerError, failure
}

func ownStatus(kind Kind) int {
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

func refusedStatus(kind manifest.Kind) int {
	switch kind {
	case manifest.KindConflict:
		return http.StatusConflict
	case manifest.KindInvalid:
		return http.StatusBadRequest
	default:
		return http.StatusServiceUnavailable
	}
}
