package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/turmericshunt/turmericshunt/internal/standin/batch"
	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
)

// States of a sequence.
const (
	stateQueued   = "queued"
	statePrefill  = "prefill"
	stateDecode   = "decode"
	stateDone     = "done"
	stateCanceled = "canceled"
	stateFailed   = "failed"
)

const crossEvery = 3 // frames between frames of another attempt, when answers are crossed

// run is one attempt; its fields are guarded by the engine's mutex.
type run struct {
	engineapi.Submit
	digest  string
	state   string
	message string
	offset  int64
	length  int64
	cached  int64
	changed chan struct{} // closed at the next change
}

func (r *run) broadcast() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *run) ended() bool {
	return r.state == stateDone || r.state == stateCanceled || r.state == stateFailed
}

func (r *run) contains(text string) bool { return strings.Contains(r.Prompt, text) }

func allocationID(request, attempt, kind string) string { return request + "." + attempt + "." + kind }

func sequenceID(o engineapi.Owner) string {
	return allocationID(o.Request, strconv.FormatUint(uint64(o.Attempt), 10), engineapi.KindSequence)
}

func pathID(r *http.Request, kind string) string {
	return allocationID(r.PathValue("request"), r.PathValue("attempt"), kind)
}

func (e *Engine) submit(w http.ResponseWriter, req *http.Request) {
	var s engineapi.Submit
	if !decode(w, req, &s) {
		return
	}
	if s.PromptTokens == 0 {
		s.PromptTokens = max(1, int64(len(s.Prompt))/4)
	}
	if s.MaxTokens == 0 && !s.PrefillOnly {
		s.MaxTokens = DefaultMaxTokens
	}
	r, kind, err := e.start(s)
	switch {
	case err != nil:
		refuseError(w, err)
	case kind != "":
		refuse(w, kind, "submit "+s.Request)
	default:
		e.stream(req.Context(), w, r, 0)
	}
}

// start queues an attempt, finds it when it has been submitted before, or returns the kind of its refusal.
func (e *Engine) start(s engineapi.Submit) (*run, string, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pump()
	id := sequenceID(s.Owner)
	if r := e.runs[id]; r != nil {
		return r, "", nil
	}
	if kind := e.refusal(s, id); kind != "" {
		e.countRefusal(kind)
		return nil, kind, nil
	}
	var imported int64
	for _, i := range s.Imports {
		imported += i.Tokens
	}
	now := e.now()
	job := batch.Job{
		ID: id, PromptTokens: s.PromptTokens, OutputTokens: s.MaxTokens, Blocks: s.Blocks, Priority: s.Priority,
		Expiry: e.expiry(now, s.ExpiryMS), Reservation: s.Reservation, Imported: imported, PrefillOnly: s.PrefillOnly,
	}
	r := &run{Submit: s, digest: digest(s.Prompt), state: stateQueued, changed: make(chan struct{})}
	e.runs[id] = r
	e.owners[id] = s.Owner
	if err := e.Batch.Submit(now, job); err != nil {
		delete(e.runs, id)
		delete(e.owners, id)
		e.countRefusal("by the model")
		return nil, "", err
	}
	e.counts.Accepted++
	e.pump()
	return r, "", nil
}

func (e *Engine) refusal(s engineapi.Submit, id string) string {
	if s.Request == "" {
		return engineapi.RefusalInvalid
	}
	if _, gone := e.released[id]; gone {
		return engineapi.RefusalInvalid
	}
	if e.faults.Leaving {
		return engineapi.RefusalLeaving
	}
	if !e.hasModel(s.Model, s.Adapter) {
		return engineapi.RefusalModel
	}
	for _, i := range s.Imports {
		if i.Tokens <= 0 || i.Allocation == "" {
			return engineapi.RefusalInvalid
		}
	}
	return ""
}

// expiry converts a time to live in milliseconds; 0 never expires.
func (e *Engine) expiry(now time.Time, ms int64) time.Time {
	if ms <= 0 {
		return time.Time{}
	}
	return now.Add(e.scale(time.Duration(ms) * time.Millisecond))
}

func (e *Engine) status(w http.ResponseWriter, req *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pump()
	r := e.runs[pathID(req, engineapi.KindSequence)]
	if r == nil {
		refuse(w, engineapi.RefusalNotFound, "no such sequence")
		return
	}
	reply(w, http.StatusOK, engineapi.Status{Owner: r.Owner, State: r.state, Offset: r.offset, Length: r.length})
}

func (e *Engine) resume(w http.ResponseWriter, req *http.Request) {
	offset, err := strconv.ParseInt(req.URL.Query().Get("offset"), 10, 64)
	if err != nil || offset < 0 {
		refuse(w, engineapi.RefusalInvalid, "offset must be a number of tokens")
		return
	}
	e.mu.Lock()
	r := e.runs[pathID(req, engineapi.KindSequence)]
	e.mu.Unlock()
	if r == nil {
		refuse(w, engineapi.RefusalNotFound, "no such sequence")
		return
	}
	e.stream(req.Context(), w, r, offset)
}

func (e *Engine) cancel(w http.ResponseWriter, req *http.Request) {
	e.freeAndReply(w, pathID(req, engineapi.KindSequence))
}

// stream sends an attempt's frames from offset on.
func (e *Engine) stream(ctx context.Context, w http.ResponseWriter, r *run, offset int64) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	out := &frameWriter{w: w, control: http.NewResponseController(w), frame: r.frame(offset)}
	out.send(engineapi.FrameHeartbeat)
	beat := time.NewTicker(e.Heartbeat)
	defer beat.Stop()
	for {
		done, changed := e.sendNews(out, r)
		if done {
			return
		}
		select {
		case <-changed:
		case <-beat.C:
			if !e.awaitThaw(ctx) {
				return
			}
			out.send(engineapi.FrameHeartbeat)
		case <-ctx.Done():
			return
		}
		if !e.awaitThaw(ctx) {
			return
		}
	}
}

// sendNews sends what a stream has not sent yet; it reports whether the stream is at its end.
func (e *Engine) sendNews(out *frameWriter, r *run) (bool, <-chan struct{}) {
	e.mu.Lock()
	now := *r
	faults := e.faults
	e.mu.Unlock()
	if now.offset > out.frame.Offset {
		if faults.CrossAnswers {
			out.sendCrossed()
		}
		out.frame.Text = answerText(now.digest, out.frame.Offset, now.offset)
		out.frame.Tokens = now.offset - out.frame.Offset
		out.frame.CachedTokens = now.cached
		out.send(engineapi.FrameToken)
		out.frame.Offset = now.offset
		out.frame.Text, out.frame.Tokens = "", 0
	}
	if !now.ended() {
		return false, now.changed
	}
	if faults.DropEndMarker {
		return true, nil
	}
	if now.state != stateDone {
		out.frame.Message = now.message
		out.send(engineapi.FrameError)
		return true, nil
	}
	out.frame.Length = now.length
	out.frame.FinishReason = "length"
	if now.PrefillOnly {
		out.frame.FinishReason = "prefilled"
	}
	out.send(engineapi.FrameEnd)
	return true, nil
}

func (r *run) frame(offset int64) engineapi.Frame {
	return engineapi.Frame{Request: r.Request, Attempt: r.Attempt, Offset: offset}
}

// frameWriter sends frames as server-sent events.
type frameWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	frame   engineapi.Frame
	sent    int
}

func (f *frameWriter) send(event string) { f.write(event, f.frame) }

func (f *frameWriter) write(event string, frame engineapi.Frame) {
	body, _ := json.Marshal(frame)
	fmt.Fprintf(f.w, "event: %s\ndata: %s\n\n", event, body)
	_ = f.control.Flush()
	f.sent++
}

// sendCrossed sends a frame of another attempt now and then.
func (f *frameWriter) sendCrossed() {
	if f.sent%crossEvery != 1 {
		return
	}
	other := f.frame
	other.Attempt++
	other.Text, other.Tokens = " crossed", 1
	f.write(engineapi.FrameToken, other)
}
