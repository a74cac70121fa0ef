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

// Writes a streamed answer as server-sent events; the status line goes out with the first piece.
type eventWriter struct {
	response *echo.Response
	job      *dispatch.Job
	options  chat.Options
	began    bool
}

// Deliver sends one piece, or returns an error when the caller is gone.
func (w *eventWriter) Deliver(text string) error {
	piece := chat.Text{Content: text}
	if !w.began {
		w.start()
		piece.Role = "assistant"
	}
	return w.write(w.chunk(chat.Delta{Delta: piece}))
}

func (w *eventWriter) start() {
	w.began = true
	header := w.response.Header()
	header.Set(echo.HeaderContentType, "text/event-stream")
	header.Set(echo.HeaderCacheControl, "no-store")
	w.response.WriteHeader(http.StatusOK)
}

func (w *eventWriter) chunk(choices ...chat.Delta) chat.Chunk {
	return chat.Chunk{
		ID: w.job.RequestID, Object: "chat.completion.chunk", Created: time.Now().Unix(), Model: w.job.Model,
		Choices: append([]chat.Delta{}, choices...),
	}
}

func (w *eventWriter) finish(answer dispatch.Answer) error {
	if !w.began {
		w.start()
	}
	last := w.chunk(chat.Delta{FinishReason: &answer.FinishReason})
	u := usage(w.job, answer)
	last.Usage = &u
	last.Outcome = outcome.Completed
	if err := w.write(last); err != nil {
		return err
	}
	if w.options.IncludeUsage {
		counted := w.chunk()
		counted.Usage = &u
		if err := w.write(counted); err != nil {
			return err
		}
	}
	_, err := w.response.Write([]byte("data: [DONE]\n\n"))
	return errors.WithStack(err)
}

func (w *eventWriter) write(event any) error {
	body, err := json.Marshal(event)
	if err != nil {
		return errors.WithStack(err)
	}
	limitWrite(w.response)
	line := append(append([]byte("data: "), body...), '\n', '\n')
	if _, err := w.response.Write(line); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(http.NewResponseController(w.response).Flush())
}
