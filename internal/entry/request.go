package entry

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/internal/document"
	"github.com/turmericshunt/turmericshunt/internal/protocol"
	"github.com/turmericshunt/turmericshunt/pkg/outcome"
)

// Default deadlines, counted from the arrival of the request. They apply if neither the caller nor the configuration
// sets one.
const (
	interactiveDeadline = 30 * time.Second
	standardDeadline    = 2 * time.Minute
	batchDeadline       = 15 * time.Minute
	serviceDeadline     = 10 * time.Second
	maxDeadline         = time.Hour // the longest deadline that a caller may set
)

// Prompts of up to this many tokens get the interactive or the standard class if the caller names no class; longer ones
// get the batch class.
const (
	interactiveTokens = 32_000
	standardTokens    = 100_000
)

// reservedBytesContextKey is the key of the echo.Context value that holds the bytes reserved for the request body.
const reservedBytesContextKey = "reserved_bytes"

const (
	maxHeaderValueBytes = 256 // limit for the deadline header
	maxQuotedBytes      = 64  // limit for caller input that is quoted in an error message
)

// readBody reserves memory for the request body and reads it, or returns the refusal that the caller is sent.
func (s *Server) readBody(c echo.Context) ([]byte, error) {
	if !s.reserveBody(c) {
		e := refuse("read body", outcome.KindOverloaded, "the host has too many large requests under way")
		e.RetryAfter = time.Second
		return nil, e
	}
	var tooLarge *http.MaxBytesError
	body, err := s.receive(c)
	if errors.As(err, &tooLarge) {
		return nil, refuse("read body", outcome.KindBodyTooLarge,
			"the body is over "+strconv.FormatInt(tooLarge.Limit, 10)+" bytes")
	}
	if err != nil {
		return nil, refuse("read body", outcome.KindBadRequest, "the body ended early or took longer than "+readTimeout.String())
	}
	return body, nil
}

// reserveBody reserves memory for the request body. It reserves MaxBodyBytes if the body's length is unknown or larger,
// and reports false if the reservation would exceed MaxTotalBodyBytes. The reservation lasts until releaseBody, when
// the response is finished.
func (s *Server) reserveBody(c echo.Context) bool {
	size := c.Request().ContentLength
	if size < 0 || size > s.MaxBodyBytes {
		size = s.MaxBodyBytes
	}
	if used := s.reservedBodyBytes.Add(size); s.MaxTotalBodyBytes > 0 && used > s.MaxTotalBodyBytes {
		s.reservedBodyBytes.Add(-size)
		return false
	}
	c.Set(reservedBytesContextKey, size)
	return true
}

func (s *Server) releaseBody(c echo.Context) {
	if size, ok := c.Get(reservedBytesContextKey).(int64); ok {
		s.reservedBodyBytes.Add(-size)
	}
}

// receive reads the complete body within readTimeout, or returns an *http.MaxBytesError if it exceeds MaxBodyBytes.
func (s *Server) receive(c echo.Context) ([]byte, error) {
	if c.Request().ContentLength > s.MaxBodyBytes {
		return nil, &http.MaxBytesError{Limit: s.MaxBodyBytes}
	}
	controller := http.NewResponseController(c.Response())
	_ = controller.SetReadDeadline(time.Now().Add(readTimeout))
	defer func() { _ = controller.SetReadDeadline(time.Time{}) }()
	return io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, s.MaxBodyBytes))
}

// workspaceOf returns the name of the caller's workspace. It identifies the workspace by the bearer key, or by the name
// in HeaderWorkspace if that workspace needs no key. If both are given, the key must belong to the named workspace; it
// is ignored if that workspace needs none.
func workspaceOf(d *document.Document, header http.Header) (string, error) {
	name := header.Get(HeaderWorkspace)
	key, hasKey := bearerKey(header)
	if owner := workspaceByKey(d, key); hasKey && owner != "" && (name == "" || name == owner) {
		return owner, nil
	}
	if name == "" && hasKey {
		return "", refuse("find workspace", outcome.KindUnauthorized, "unknown bearer key")
	}
	if name == "" {
		return "", refuse("find workspace", outcome.KindUnauthorized, "set "+HeaderWorkspace+" or a bearer key")
	}
	i := slices.IndexFunc(d.Workspaces, func(w document.Workspace) bool { return w.Name == name })
	if i < 0 {
		return "", refuse("find workspace", outcome.KindUnauthorized, HeaderWorkspace+": unknown workspace "+quoteTruncated(name))
	}
	if d.Workspaces[i].KeyDigests != nil {
		return "", refuse("find workspace", outcome.KindUnauthorized, "workspace "+quoteTruncated(name)+" needs its bearer key")
	}
	return name, nil
}

// bearerKey returns the key in the Authorization header and whether the header has the Bearer scheme.
func bearerKey(header http.Header) (string, bool) {
	scheme, key, ok := strings.Cut(header.Get(echo.HeaderAuthorization), " ")
	return strings.TrimSpace(key), ok && strings.EqualFold(scheme, "Bearer")
}

// quoteTruncated quotes text sent by a caller, cut to maxQuotedBytes so that its length does not determine the size of
// the error response.
func quoteTruncated(text string) string {
	return strconv.Quote(text[:min(len(text), maxQuotedBytes)])
}

// workspaceByKey returns the name of the workspace that key belongs to, or "" if the key is unknown. It compares
// digests in constant time.
func workspaceByKey(d *document.Document, key string) string {
	sum := sha256.Sum256([]byte(key))
	digest := []byte(hex.EncodeToString(sum[:]))
	for i := range d.Workspaces {
		for _, known := range d.Workspaces[i].KeyDigests {
			if subtle.ConstantTimeCompare(digest, []byte(known)) == 1 {
				return d.Workspaces[i].Name
			}
		}
	}
	return ""
}

// classOf returns the class named by the HeaderClass header, or the class for the prompt's length if there is none.
func classOf(header http.Header, promptTokens int64) (protocol.Class, error) {
	switch name := header.Get(HeaderClass); name {
	case "interactive":
		return protocol.ClassInteractive, nil
	case "standard":
		return protocol.ClassStandard, nil
	case "batch":
		return protocol.ClassBatch, nil
	case "":
	default:
		return 0, refuse("read class", outcome.KindBadRequest, HeaderClass+" must be interactive, standard or batch, not "+quoteTruncated(name))
	}
	switch {
	case promptTokens <= interactiveTokens:
		return protocol.ClassInteractive, nil
	case promptTokens <= standardTokens:
		return protocol.ClassStandard, nil
	default:
		return protocol.ClassBatch, nil
	}
}

// requestTimeout returns the time limit in the HeaderDeadline header, or fallback if there is none. A value without a
// unit is refused, since it could mean seconds or milliseconds.
func requestTimeout(header http.Header, fallback time.Duration) (time.Duration, error) {
	text := header.Get(HeaderDeadline)
	if text == "" {
		return fallback, nil
	}
	if len(text) > maxHeaderValueBytes {
		return 0, refuse("read deadline", outcome.KindBadRequest, HeaderDeadline+" is too long")
	}
	if _, err := strconv.ParseFloat(text, 64); err == nil {
		return 0, refuse("read deadline", outcome.KindBadRequest, HeaderDeadline+" needs a unit, such as "+text+"s or "+text+"ms")
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 || d > maxDeadline {
		return 0, refuse("read deadline", outcome.KindBadRequest, HeaderDeadline+" must be a duration above 0 and up to 1h, such as 30s")
	}
	return d, nil
}

// defaultDeadline returns the deadline of a request of the given class whose caller sets none.
func defaultDeadline(s document.Scheduling, class protocol.Class) time.Duration {
	switch class {
	case protocol.ClassInteractive:
		return configuredOr(s.InteractiveDeadline, interactiveDeadline)
	case protocol.ClassStandard:
		return configuredOr(s.StandardDeadline, standardDeadline)
	default:
		return configuredOr(s.BatchDeadline, batchDeadline)
	}
}

// configuredOr returns the configured duration, or fallback if none is configured.
func configuredOr(configured document.Duration, fallback time.Duration) time.Duration {
	if configured > 0 {
		return time.Duration(configured)
	}
	return fallback
}
