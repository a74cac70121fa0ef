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

// crossedFrameInterval is the interval, in frames, at which a stream sends a frame of another attempt while the
// CrossAnswers fault is on.
const crossedFrameInterval = 3

// run is the execution of one attempt; the engine's mutex guards its fields.
type run struct {
	engineapi.Submit
	digest  string        // digest of the prompt
	state   string        // one of the states of a sequence
	message string        // why the run was canceled or failed
	offset  int64         // output tokens produced so far
	length  int64         // output tokens in total, set once the run is done
	cached  int64         // leading prompt tokens found in the prefix cache
	changed chan struct{} // closed at the next change of the run
}

// notifyStreams wakes the streams that wait for a change of the run.
func (r *run) notifyStreams() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// ended reports whether the run is done, canceled or failed.
func (r *run) ended() bool {
	return r.state == stateDone || r.state == stateCanceled || r.state == stateFailed
}

// promptContains reports whether the prompt contains a text.
func (r *run) promptContains(text string) bool { return strings.Contains(r.Prompt, text) }

// allocationID returns the id of the allocation of a kind that an attempt of a request holds.
func allocationID(request, attempt, kind string) string { return request + "." + attempt + "." + kind }

// sequenceID returns the id of the sequence of an attempt.
func sequenceID(o engineapi.Owner) string {
	return allocationID(o.Request, strconv.FormatUint(uint64(o.Attempt), 10), engineapi.KindSequence)
}

// pathID returns the id of the allocation of a kind that the attempt in the path of a request holds.
func pathID(r *http.Request, kind string) string {
	return allocationID(r.PathValue("request"), r.PathValue("attempt"), kind)
}

// submit starts an attempt and streams its output. Without prompt_tokens, it counts one token per 4 bytes of prompt.
func (e *Engine) submit(w http.ResponseWriter, req *http.Request) {
	var s engineapi.Submit
	if !readJSON(w, req, &s) {
		return
	}
	if s.PromptTokens == 0 {
		s.PromptTokens = max(1, int64(len(s.Prompt))/4)
	}
	if s.MaxTokens == 0 && !s.PrefillOnly {
		s.MaxTokens = DefaultMaxTokens
	}
	r, kind, err := e.startRun(s)
	switch {
	case err != nil:
		writeErrorRefusal(w, err)
	case kind != "":
		writeRefusal(w, kind, "submit "+s.Request)
	default:
		e.stream(req.Context(), w, r, 0)
	}
}

// startRun queues an attempt. If the attempt has been submitted before, startRun returns its run. If the stand-in
// refuses the attempt, startRun returns the kind of the refusal; if the simulated engine does, it returns an error.
func (e *Engine) startRun(s engineapi.Submit) (*run, string, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	id := sequenceID(s.Owner)
	if r := e.runs[id]; r != nil {
		return r, "", nil
	}
	if kind := e.refusalKind(s, id); kind != "" {
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
		Expiry: e.expiry(now, s.ExpiryMS), Reservation: s.Reservation, ImportedTokens: imported, PrefillOnly: s.PrefillOnly,
	}
	r := &run{Submit: s, digest: digest(s.Prompt), state: stateQueued, changed: make(chan struct{})}
	e.runs[id] = r
	e.owners[id] = s.Owner
	if err := e.Simulation.Submit(now, job); err != nil {
		delete(e.runs, id)
		delete(e.owners, id)
		e.countRefusal("by the model")
		return nil, "", err
	}
	e.counts.Accepted++
	e.advance()
	return r, "", nil
}

// refusalKind returns the kind of refusal of a submission, or "" if the stand-in does not refuse it; the caller holds
// mu.
func (e *Engine) refusalKind(s engineapi.Submit, id string) string {
	if s.Request == "" {
		return engineapi.RefusalInvalid
	}
	if _, wasReleased := e.released[id]; wasReleased {
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

// expiry returns the simulated time at which a time to live ends, given in milliseconds of real time. If ms is not
// positive, it returns the zero time: no expiry.
func (e *Engine) expiry(now time.Time, ms int64) time.Time {
	if ms <= 0 {
		return time.Time{}
	}
	return now.Add(e.scale(time.Duration(ms) * time.Millisecond))
}

// status responds with the status of an attempt.
func (e *Engine) status(w http.ResponseWriter, req *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	r := e.runs[pathID(req, engineapi.KindSequence)]
	if r == nil {
		writeRefusal(w, engineapi.RefusalNotFound, "no such sequence")
		return
	}
	writeJSON(w, http.StatusOK, engineapi.Status{Owner: r.Owner, State: r.state, Offset: r.offset, Length: r.length})
}

// resumeStream streams the output of an attempt from the token ?offset on.
func (e *Engine) resumeStream(w http.ResponseWriter, req *http.Request) {
	offset, err := strconv.ParseInt(req.URL.Query().Get("offset"), 10, 64)
	if err != nil || offset < 0 {
		writeRefusal(w, engineapi.RefusalInvalid, "offset must be a number of tokens")
		return
	}
	e.mu.Lock()
	r := e.runs[pathID(req, engineapi.KindSequence)]
	e.mu.Unlock()
	if r == nil {
		writeRefusal(w, engineapi.RefusalNotFound, "no such sequence")
		return
	}
	e.stream(req.Context(), w, r, offset)
}

// cancel ends an attempt and frees its memory.
func (e *Engine) cancel(w http.ResponseWriter, req *http.Request) {
	e.freeAndReply(w, pathID(req, engineapi.KindSequence))
}

// stream sends the frames of a run from the output token offset on, and heartbeats, until the run has ended or ctx is
// done. While the engine is frozen it sends nothing.
func (e *Engine) stream(ctx context.Context, w http.ResponseWriter, r *run, offset int64) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	out := &frameWriter{w: w, control: http.NewResponseController(w), frame: r.frame(offset)}
	out.send(engineapi.FrameHeartbeat)
	heartbeat := time.NewTicker(e.Heartbeat)
	defer heartbeat.Stop()
	for {
		done, changed := e.sendProgress(out, r)
		if done {
			return
		}
		select {
		case <-changed:
		case <-heartbeat.C:
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

// sendProgress sends the output that the stream has not sent yet and, if the run has ended, its last frame. It reports
// whether the stream has ended. If it has not, it also returns a channel that is closed at the run's next change.
func (e *Engine) sendProgress(out *frameWriter, r *run) (bool, <-chan struct{}) {
	e.mu.Lock()
	current := *r
	faults := e.faults
	e.mu.Unlock()
	if current.offset > out.frame.Offset {
		if faults.CrossAnswers {
			out.sendCrossed()
		}
		out.frame.Text = responseText(current.digest, out.frame.Offset, current.offset)
		out.frame.Tokens = current.offset - out.frame.Offset
		out.frame.CachedTokens = current.cached
		out.send(engineapi.FrameToken)
		out.frame.Offset = current.offset
		out.frame.Text, out.frame.Tokens = "", 0
	}
	if !current.ended() {
		return false, current.changed
	}
	if faults.DropEndMarker {
		return true, nil
	}
	if current.state != stateDone {
		out.frame.Message = current.message
		out.send(engineapi.FrameError)
		return true, nil
	}
	out.frame.Length = current.length
	out.frame.FinishReason = "length"
	if current.PrefillOnly {
		out.frame.FinishReason = "prefilled"
	}
	out.send(engineapi.FrameEnd)
	return true, nil
}

// frame returns a frame of the run at an offset, without text.
func (r *run) frame(offset int64) engineapi.Frame {
	return engineapi.Frame{Request: r.Request, Attempt: r.Attempt, Offset: offset}
}

// frameWriter sends frames as server-sent events.
type frameWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	frame   engineapi.Frame // next frame to send; its Offset counts the output tokens sent so far
	sent    int             // frames sent so far, of any kind
}

// send sends the frame f.frame as an event.
func (f *frameWriter) send(event string) { f.write(event, f.frame) }

// write sends a frame as an event and flushes it.
func (f *frameWriter) write(event string, frame engineapi.Frame) {
	body, _ := json.Marshal(frame)
	fmt.Fprintf(f.w, "event: %s\ndata: %s\n\n", event, body)
	_ = f.control.Flush()
	f.sent++
}

// sendCrossed sends a frame of another attempt if the next frame is due to be one; see crossedFrameInterval.
func (f *frameWriter) sendCrossed() {
	if f.sent%crossedFrameInterval != 1 {
		return
	}
	other := f.frame
	other.Attempt++
	other.Text, other.Tokens = " crossed", 1
	f.write(engineapi.FrameToken, other)
}
