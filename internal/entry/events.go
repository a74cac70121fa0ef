package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/turmericshunt/turmericshunt/internal/chat"
	"github.com/turmericshunt/turmericshunt/internal/dispatch"
	"github.com/turmericshunt/turmericshunt/pkg/outcome"
)

// eventWriter is a dispatch.Sink that sends a streamed response as server-sent events. It sends the status line with
// the first event, so that an earlier error can still set the status.
type eventWriter struct {
	response *echo.Response
	job      *dispatch.Job
	options  chat.StreamOptions
	started  bool // the status line and headers have been sent
}

// Deliver sends one piece of the response, or returns an error if the caller has disconnected.
func (w *eventWriter) Deliver(text string) error {
	piece := chat.ResponseMessage{Content: text}
	if !w.started {
		w.start()
		piece.Role = "assistant"
	}
	return w.write(w.chunk(chat.ChunkChoice{Delta: piece}))
}

// start sends the status line and the headers.
func (w *eventWriter) start() {
	w.started = true
	header := w.response.Header()
	header.Set(echo.HeaderContentType, "text/event-stream")
	header.Set(echo.HeaderCacheControl, "no-store")
	w.response.WriteHeader(http.StatusOK)
}

// chunk returns an event with the given choices; Choices is never nil, so that it is encoded as [] if there are none.
func (w *eventWriter) chunk(choices ...chat.ChunkChoice) chat.Chunk {
	return chat.Chunk{
		ID: w.job.RequestID, Object: "chat.completion.chunk", Created: time.Now().Unix(), Model: w.job.Model,
		Choices: append([]chat.ChunkChoice{}, choices...),
	}
}

// finish sends the events that end a complete response: the finish reason with usage and outcome, a usage event without
// choices if the caller asked for one, and the end marker.
func (w *eventWriter) finish(result dispatch.Result) error {
	if !w.started {
		w.start()
	}
	last := w.chunk(chat.ChunkChoice{FinishReason: &result.FinishReason})
	u := usage(w.job, result)
	last.Usage = &u
	last.Outcome = outcome.Completed
	if err := w.write(last); err != nil {
		return err
	}
	if w.options.IncludeUsage {
		usageChunk := w.chunk()
		usageChunk.Usage = &u
		if err := w.write(usageChunk); err != nil {
			return err
		}
	}
	_, err := w.response.Write([]byte("data: [DONE]\n\n"))
	return errors.WithStack(err)
}

// write sends one event and flushes it, with a new write deadline.
func (w *eventWriter) write(event any) error {
	body, err := json.Marshal(event)
	if err != nil {
		return errors.WithStack(err)
	}
	setWriteDeadline(w.response)
	line := append(append([]byte("data: "), body...), '\n', '\n')
	if _, err := w.response.Write(line); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(http.NewResponseController(w.response).Flush())
}
