package entry

import (
	"context"
	"mime"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/internal/chat"
	"github.com/turmericshunt/turmericshunt/internal/dispatch"
	"github.com/turmericshunt/turmericshunt/internal/document"
	"github.com/turmericshunt/turmericshunt/pkg/outcome"
)

const defaultBytesPerToken = 4

func (s *Server) complete(c echo.Context) error {
	job, asked, err := s.readJob(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(c.Request().Context(), job.Deadline)
	defer cancel()
	if job.Streaming {
		return s.stream(ctx, c, job, asked.Options)
	}
	return s.whole(ctx, c, job)
}

func (s *Server) readJob(c echo.Context) (*dispatch.Job, *chat.Request, error) {
	began := time.Now()
	d := s.Configuration.Document()
	if d == nil {
		return nil, nil, notConfigured("complete")
	}
	workspace, asked, err := s.readPrompt(c, d)
	if err != nil {
		return nil, nil, err
	}
	job := &dispatch.Job{
		RequestID: requestID(c), Workspace: workspace, Model: asked.Model, Adapter: asked.Adapter,
		Prompt: asked.Prompt(), OutputTokens: asked.OutputTokens(), Streaming: asked.Stream,
	}
	if err := size(job, asked, d); err != nil {
		return nil, nil, err
	}
	header := c.Request().Header
	if job.Class, err = classOf(header, job.PromptTokens); err != nil {
		return nil, nil, err
	}
	left, err := timeLeft(header, presetDeadline(d.Scheduling, job.Class))
	if err != nil {
		return nil, nil, err
	}
	job.Deadline = began.Add(left)
	return job, asked, nil
}

// Reads the body and finds out whose it is.
func (s *Server) readPrompt(c echo.Context, d *document.Document) (workspace string, asked *chat.Request, err error) {
	header := c.Request().Header
	if kind, _, err := mime.ParseMediaType(header.Get(echo.HeaderContentType)); err != nil || kind != echo.MIMEApplicationJSON {
		return "", nil, refuse("read request", outcome.KindBadRequest, "Content-Type must be application/json")
	}
	if workspace, err = workspaceOf(d, header); err != nil {
		return "", nil, err
	}
	body, err := s.readBody(c)
	if err != nil {
		return "", nil, err
	}
	asked, err = chat.Parse(body)
	return workspace, asked, err
}

// Estimates the prompt's tokens and compares the job with its model's limits.
func size(job *dispatch.Job, asked *chat.Request, d *document.Document) error {
	m := findModel(d, job.Model)
	if m == nil {
		return refuseField("model", outcome.KindNotFound, "unknown model "+quote(job.Model))
	}
	if job.Adapter != "" && !slices.Contains(m.Adapters, job.Adapter) {
		return refuseField("adapter", outcome.KindNotFound, "the model has no adapter "+quote(job.Adapter))
	}
	perToken := m.BytesPerToken
	if perToken <= 0 {
		perToken = defaultBytesPerToken
	}
	job.PromptTokens = int64(float64(len(job.Prompt))/perToken) + 1
	if m.MaxPromptTokens > 0 && job.PromptTokens > m.MaxPromptTokens {
		return refuseField("messages", outcome.KindTooLong, "about "+strconv.FormatInt(job.PromptTokens, 10)+
			" tokens are over the model's "+strconv.FormatInt(m.MaxPromptTokens, 10))
	}
	if m.MaxOutputTokens > 0 && !asked.BoundsOutput() {
		job.OutputTokens = min(job.OutputTokens, m.MaxOutputTokens)
	}
	if m.MaxOutputTokens > 0 && job.OutputTokens > m.MaxOutputTokens {
		return refuseField("max_tokens", outcome.KindBadRequest, "over the model's "+strconv.FormatInt(m.MaxOutputTokens, 10))
	}
	return nil
}

func refuseField(field string, kind outcome.Kind, message string) *chat.Error {
	return &chat.Error{Op: "check request", Kind: kind, Field: field, Err: errors.New(message)}
}

func findModel(d *document.Document, name string) *document.Model {
	for i := range d.Models {
		if d.Models[i].Name == name {
			return &d.Models[i]
		}
	}
	return nil
}

func (s *Server) whole(ctx context.Context, c echo.Context, job *dispatch.Job) error {
	var text collector
	answer, err := s.Prompts.Run(ctx, job, &text)
	if err != nil {
		return err
	}
	header := c.Response().Header()
	header.Set(outcome.Header, string(outcome.Completed))
	header.Set(HeaderServer, answer.Server)
	s.recordFirstToken(job, answer)
	return c.JSON(http.StatusOK, chat.Completion{
		ID: job.RequestID, Object: "chat.completion", Created: time.Now().Unix(), Model: job.Model,
		Choices: []chat.Choice{{Message: chat.Text{Role: "assistant", Content: text.String()}, FinishReason: answer.FinishReason}},
		Usage:   usage(job, answer),
		Outcome: outcome.Completed,
	})
}

func usage(job *dispatch.Job, answer dispatch.Answer) chat.Usage {
	return chat.Usage{
		PromptTokens:     job.PromptTokens,
		CompletionTokens: answer.OutputTokens,
		TotalTokens:      job.PromptTokens + answer.OutputTokens,
		Details:          chat.PromptDetails{CachedTokens: answer.CachedTokens},
	}
}

// Collects the pieces of an answer that is not streamed.
type collector struct{ strings.Builder }

// Deliver appends text.
func (c *collector) Deliver(text string) error {
	c.WriteString(text)
	return nil
}

func (s *Server) stream(ctx context.Context, c echo.Context, job *dispatch.Job, options chat.Options) error {
	events := &eventWriter{response: c.Response(), job: job, options: options}
	c.Response().Header().Set("Trailer", outcome.Header+", "+HeaderServer)
	answer, err := s.Prompts.Run(ctx, job, events)
	header := c.Response().Header()
	if err != nil {
		if !events.began {
			header.Del("Trailer")
			return err
		}
		failure, field := classify(err)
		header.Set(outcome.Header, string(failure.Outcome))
		_ = events.write(chat.NewFailure(failure, job.RequestID, field))
		return err
	}
	header.Set(outcome.Header, string(outcome.Completed))
	header.Set(HeaderServer, answer.Server)
	s.recordFirstToken(job, answer)
	return events.finish(answer)
}

// Records the time to the first token by the class of prompt lengths.
func (s *Server) recordFirstToken(job *dispatch.Job, answer dispatch.Answer) {
	scope := s.Metrics.Tagged(map[string]string{"prompt_length": lengthClass(job.PromptTokens)})
	scope.Timer("first_token").Record(answer.FirstToken)
}

func lengthClass(tokens int64) string {
	switch {
	case tokens <= 4_000:
		return "up_to_4k"
	case tokens <= 32_000:
		return "up_to_32k"
	case tokens <= 100_000:
		return "up_to_100k"
	default:
		return "over_100k"
	}
}
