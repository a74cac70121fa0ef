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

// defaultBytesPerToken estimates the tokens of a prompt whose model has no configured bytes per token.
const defaultBytesPerToken = 4

// completeChat serves a chat completion, streamed if the caller asks for it.
func (s *Server) completeChat(c echo.Context) error {
	job, request, err := s.readJob(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(c.Request().Context(), job.Deadline)
	defer cancel()
	if job.Streaming {
		return s.respondStreaming(ctx, c, job, request.StreamOptions)
	}
	return s.respondComplete(ctx, c, job)
}

// readJob reads and checks a chat request and builds the job to run. The deadline counts from the arrival of the
// request.
func (s *Server) readJob(c echo.Context) (*dispatch.Job, *chat.Request, error) {
	start := time.Now()
	d := s.Configuration.Document()
	if d == nil {
		return nil, nil, notConfigured("complete")
	}
	workspace, request, err := s.readPrompt(c, d)
	if err != nil {
		return nil, nil, err
	}
	job := &dispatch.Job{
		RequestID: requestID(c), Workspace: workspace, Model: request.Model, Adapter: request.Adapter,
		Prompt: request.Prompt(), MaxOutputTokens: request.OutputTokens(), Streaming: request.Stream,
	}
	if err := applyModelLimits(job, request, d); err != nil {
		return nil, nil, err
	}
	header := c.Request().Header
	if job.Class, err = classOf(header, job.PromptTokens); err != nil {
		return nil, nil, err
	}
	timeout, err := requestTimeout(header, defaultDeadline(d.Scheduling, job.Class))
	if err != nil {
		return nil, nil, err
	}
	job.Deadline = start.Add(timeout)
	return job, request, nil
}

// readPrompt reads the chat request and identifies the workspace that it belongs to.
func (s *Server) readPrompt(c echo.Context, d *document.Document) (workspace string, request *chat.Request, err error) {
	header := c.Request().Header
	if mediaType, _, err := mime.ParseMediaType(header.Get(echo.HeaderContentType)); err != nil || mediaType != echo.MIMEApplicationJSON {
		return "", nil, refuse("read request", outcome.KindBadRequest, "Content-Type must be application/json")
	}
	if workspace, err = workspaceOf(d, header); err != nil {
		return "", nil, err
	}
	body, err := s.readBody(c)
	if err != nil {
		return "", nil, err
	}
	request, err = chat.Parse(body)
	return workspace, request, err
}

// applyModelLimits estimates the number of prompt tokens and checks the job against its model's limits. If the caller
// set no limit on the output, it reduces the default output limit to the model's.
func applyModelLimits(job *dispatch.Job, request *chat.Request, d *document.Document) error {
	m := findModel(d, job.Model)
	if m == nil {
		return refuseField("model", outcome.KindNotFound, "unknown model "+quoteTruncated(job.Model))
	}
	if job.Adapter != "" && !slices.Contains(m.Adapters, job.Adapter) {
		return refuseField("adapter", outcome.KindNotFound, "the model has no adapter "+quoteTruncated(job.Adapter))
	}
	bytesPerToken := m.BytesPerToken
	if bytesPerToken <= 0 {
		bytesPerToken = defaultBytesPerToken
	}
	job.PromptTokens = int64(float64(len(job.Prompt))/bytesPerToken) + 1
	if m.MaxPromptTokens > 0 && job.PromptTokens > m.MaxPromptTokens {
		return refuseField("messages", outcome.KindPromptTooLong, "about "+strconv.FormatInt(job.PromptTokens, 10)+
			" tokens are over the model's "+strconv.FormatInt(m.MaxPromptTokens, 10))
	}
	if m.MaxOutputTokens > 0 && !request.LimitsOutput() {
		job.MaxOutputTokens = min(job.MaxOutputTokens, m.MaxOutputTokens)
	}
	if m.MaxOutputTokens > 0 && job.MaxOutputTokens > m.MaxOutputTokens {
		return refuseField("max_tokens", outcome.KindBadRequest, "over the model's "+strconv.FormatInt(m.MaxOutputTokens, 10))
	}
	return nil
}

// refuseField returns the error for a request whose given field is wrong.
func refuseField(field string, kind outcome.Kind, message string) *chat.Error {
	return &chat.Error{Op: "check request", Kind: kind, Field: field, Err: errors.New(message)}
}

// findModel returns the model with the given name, or nil if the configuration has none.
func findModel(d *document.Document, name string) *document.Model {
	for i := range d.Models {
		if d.Models[i].Name == name {
			return &d.Models[i]
		}
	}
	return nil
}

// respondComplete runs job and sends the response as one JSON body.
func (s *Server) respondComplete(ctx context.Context, c echo.Context, job *dispatch.Job) error {
	var text collector
	result, err := s.Prompts.Run(ctx, job, &text)
	if err != nil {
		return err
	}
	header := c.Response().Header()
	header.Set(outcome.Header, string(outcome.Completed))
	header.Set(HeaderBackendServer, result.Server)
	s.recordFirstToken(job, result)
	return c.JSON(http.StatusOK, chat.Completion{
		ID: job.RequestID, Object: "chat.completion", Created: time.Now().Unix(), Model: job.Model,
		Choices: []chat.Choice{{
			Message:      chat.ResponseMessage{Role: "assistant", Content: text.String()},
			FinishReason: result.FinishReason,
		}},
		Usage:   usage(job, result),
		Outcome: outcome.Completed,
	})
}

func usage(job *dispatch.Job, result dispatch.Result) chat.Usage {
	return chat.Usage{
		PromptTokens:     job.PromptTokens,
		CompletionTokens: result.OutputTokens,
		TotalTokens:      job.PromptTokens + result.OutputTokens,
		Details:          chat.PromptDetails{CachedTokens: result.CachedTokens},
	}
}

// collector is a dispatch.Sink that collects the pieces of a response that is not streamed.
type collector struct{ strings.Builder }

// Deliver appends text to the collected response; it never fails.
func (c *collector) Deliver(text string) error {
	c.WriteString(text)
	return nil
}

// respondStreaming runs job and sends the response as server-sent events. An error before the first event gets an
// ordinary error response; a later one is sent as the last event, with its outcome in the trailer.
func (s *Server) respondStreaming(ctx context.Context, c echo.Context, job *dispatch.Job,
	options chat.StreamOptions,
) error {
	events := &eventWriter{response: c.Response(), job: job, options: options}
	c.Response().Header().Set("Trailer", outcome.Header+", "+HeaderBackendServer)
	result, err := s.Prompts.Run(ctx, job, events)
	header := c.Response().Header()
	if err != nil {
		if !events.started {
			header.Del("Trailer")
			return err
		}
		failure, field := classify(err)
		header.Set(outcome.Header, string(failure.Outcome))
		_ = events.write(chat.NewErrorResponse(failure, job.RequestID, field))
		return err
	}
	header.Set(outcome.Header, string(outcome.Completed))
	header.Set(HeaderBackendServer, result.Server)
	s.recordFirstToken(job, result)
	return events.finish(result)
}

// recordFirstToken records the time to the first token, tagged with the range of the prompt length.
func (s *Server) recordFirstToken(job *dispatch.Job, result dispatch.Result) {
	scope := s.Metrics.Tagged(map[string]string{"prompt_length": lengthClass(job.PromptTokens)})
	scope.Timer("first_token").Record(result.TimeToFirstToken)
}

// lengthClass returns the metric tag for a prompt length in tokens.
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
