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

// Deadlines of requests that name none, where the configuration names none either.
const (
	interactiveDeadline = 30 * time.Second
	standardDeadline    = 2 * time.Minute
	batchDeadline       = 15 * time.Minute
	serviceDeadline     = 10 * time.Second
	maxDeadline         = time.Hour
)

// Prompts up to these sizes in tokens have the class when the caller names none.
const (
	interactiveTokens = 32_000
	standardTokens    = 100_000
)

const reservedBytes = "reserved_bytes" // name in the context of a request

const (
	maxHeaderValueBytes = 256
	maxQuotedBytes      = 64
)

func (s *Server) readBody(c echo.Context) ([]byte, error) {
	if !s.reserveBody(c) {
		e := refuse("read body", outcome.KindOverloaded, "the host has too many large requests under way")
		e.RetryAfter = time.Second
		return nil, e
	}
	var tooLarge *http.MaxBytesError
	body, err := s.receive(c)
	if errors.As(err, &tooLarge) {
		return nil, refuse("read body", outcome.KindTooLarge, "the body is over "+strconv.FormatInt(tooLarge.Limit, 10)+" bytes")
	}
	if err != nil {
		return nil, refuse("read body", outcome.KindBadRequest, "the body ended early or took longer than "+readTimeout.String())
	}
	return body, nil
}

// Reserves memory for the body until the request has its final answer.
func (s *Server) reserveBody(c echo.Context) bool {
	size := c.Request().ContentLength
	if size < 0 || size > s.MaxBodyBytes {
		size = s.MaxBodyBytes
	}
	if used := s.bodies.Add(size); s.MaxBodiesBytes > 0 && used > s.MaxBodiesBytes {
		s.bodies.Add(-size)
		return false
	}
	c.Set(reservedBytes, size)
	return true
}

func (s *Server) releaseBody(c echo.Context) {
	if size, ok := c.Get(reservedBytes).(int64); ok {
		s.bodies.Add(-size)
	}
}

func (s *Server) receive(c echo.Context) ([]byte, error) {
	if c.Request().ContentLength > s.MaxBodyBytes {
		return nil, &http.MaxBytesError{Limit: s.MaxBodyBytes}
	}
	control := http.NewResponseController(c.Response())
	_ = control.SetReadDeadline(time.Now().Add(readTimeout))
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	return io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, s.MaxBodyBytes))
}

// Finds the caller's workspace by its key, or by name where the workspace has no keys.
func workspaceOf(d *document.Document, header http.Header) (string, error) {
	name := header.Get(HeaderWorkspace)
	key, hasKey := bearerKey(header)
	if owner := ownerOf(d, key); hasKey && owner != "" && (name == "" || name == owner) {
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
		return "", refuse("find workspace", outcome.KindUnauthorized, HeaderWorkspace+": unknown workspace "+quote(name))
	}
	if len(d.Workspaces[i].KeyDigests) > 0 {
		return "", refuse("find workspace", outcome.KindUnauthorized, "workspace "+quote(name)+" needs its bearer key")
	}
	return name, nil
}

func bearerKey(header http.Header) (string, bool) {
	scheme, key, ok := strings.Cut(header.Get(echo.HeaderAuthorization), " ")
	return strings.TrimSpace(key), ok && strings.EqualFold(scheme, "Bearer")
}

// Quotes what a caller sent, shortened so that no answer grows with it.
func quote(text string) string {
	return strconv.Quote(text[:min(len(text), maxQuotedBytes)])
}

func ownerOf(d *document.Document, key string) string {
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
		return 0, refuse("read class", outcome.KindBadRequest, HeaderClass+" must be interactive, standard or batch, not "+quote(name))
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

// Reads how long the caller waits; a value without a unit is refused rather than guessed.
func timeLeft(header http.Header, preset time.Duration) (time.Duration, error) {
	text := header.Get(HeaderDeadline)
	if text == "" {
		return preset, nil
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

func presetDeadline(s document.Scheduling, class protocol.Class) time.Duration {
	switch class {
	case protocol.ClassInteractive:
		return orPreset(s.InteractiveDeadline, interactiveDeadline)
	case protocol.ClassStandard:
		return orPreset(s.StandardDeadline, standardDeadline)
	default:
		return orPreset(s.BatchDeadline, batchDeadline)
	}
}

func orPreset(configured document.Duration, preset time.Duration) time.Duration {
	if configured > 0 {
		return time.Duration(configured)
	}
	return preset
}
