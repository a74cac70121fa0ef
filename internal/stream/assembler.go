package stream

import (
	"strings"

	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
)

// Kinds of results.
const (
	KindDeliver  ResultKind = iota // send Text to the caller
	KindIgnore                     // the frame has no new output and shows only that the attempt is alive
	KindDrop                       // the frame belongs to another attempt or follows the end frame
	KindComplete                   // the response is complete once Text has been sent to the caller
	KindBroken                     // output is missing or wrong; the attempt must be resumed at Offset or fail
)

// Reasons why a response is broken.
const (
	ReasonGap                 Reason = "gap"          // the frames between Offset and this frame are missing
	ReasonLengthMismatch      Reason = "length"       // the length in the end frame is not the number of tokens delivered
	ReasonPartialFrameOverlap Reason = "cut"          // the frame overlaps delivered output, but not from a frame boundary
	ReasonTextMismatch        Reason = "text"         // the frame overlaps delivered output, but with different text
	ReasonInvalidFrame        Reason = "frame"        // the frame has a negative offset or no tokens
	ReasonEngineError         Reason = "engine_error" // the engine ended the attempt with an error frame
)

// maxRecentFrames is the largest number of delivered frames that are kept to trim frames that overlap them. When it is
// reached, the older half is discarded.
const maxRecentFrames = 256

type (
	// ResultKind says what the caller of Accept must do with a frame.
	ResultKind uint8

	// Reason says why a response is broken.
	Reason string

	// Result says what to do with one frame.
	Result struct {
		Kind   ResultKind
		Text   string // output that was not delivered before; it follows all output delivered so far
		Tokens int64  // number of output tokens in Text
		Reason Reason // set if Kind is KindBroken
	}

	// deliveredFrame is the new output of one frame.
	deliveredFrame struct {
		offset int64 // number of output tokens before it
		text   string
	}
)

// Assembler joins the frames of one attempt in the order of their offsets and drops the frames of other attempts.
type Assembler struct {
	Request string
	Attempt uint32

	offset   int64            // number of output tokens delivered
	dropped  int64            // number of frames dropped
	complete bool             // the end frame was accepted
	recent   []deliveredFrame // the last delivered frames, at most maxRecentFrames
}

// Offset returns the number of output tokens delivered so far. A resume of the attempt starts at this offset.
func (a *Assembler) Offset() int64 { return a.offset }

// Dropped returns the number of frames dropped because they belonged to another attempt or followed the end frame.
func (a *Assembler) Dropped() int64 { return a.dropped }

// Accept handles the frame f, received as a server-sent event of the given name, and returns what to do with it. Frames
// other than token, end and error frames are ignored.
func (a *Assembler) Accept(event string, f engineapi.Frame) Result {
	if f.Request != a.Request || f.Attempt != a.Attempt || a.complete {
		a.dropped++
		return Result{Kind: KindDrop}
	}
	switch event {
	case engineapi.FrameToken:
		return a.acceptToken(f)
	case engineapi.FrameEnd:
		return a.acceptEnd(f)
	case engineapi.FrameError:
		return brokenResult(ReasonEngineError)
	default:
		return Result{Kind: KindIgnore}
	}
}

// acceptToken delivers the output of f that was not delivered before.
func (a *Assembler) acceptToken(f engineapi.Frame) Result {
	switch {
	case f.Tokens <= 0 || f.Offset < 0:
		return brokenResult(ReasonInvalidFrame)
	case f.Offset > a.offset:
		return brokenResult(ReasonGap)
	case f.Offset+f.Tokens <= a.offset:
		return Result{Kind: KindIgnore}
	case f.Offset < a.offset:
		return a.trimOverlap(f)
	}
	return a.deliver(f.Text, f.Tokens)
}

// trimOverlap delivers the output of f without its beginning, which was delivered before. The result is broken if f does
// not start at the offset of one of the kept frames, or if its beginning differs from the text delivered.
func (a *Assembler) trimOverlap(f engineapi.Frame) Result {
	var repeated strings.Builder
	found := false
	for _, d := range a.recent {
		found = found || d.offset == f.Offset
		if found {
			repeated.WriteString(d.text)
		}
	}
	if !found {
		return brokenResult(ReasonPartialFrameOverlap)
	}
	rest, ok := strings.CutPrefix(f.Text, repeated.String())
	if !ok {
		return brokenResult(ReasonTextMismatch)
	}
	return a.deliver(rest, f.Offset+f.Tokens-a.offset)
}

// deliver records output as delivered and returns it as a result.
func (a *Assembler) deliver(text string, tokens int64) Result {
	if len(a.recent) == maxRecentFrames {
		a.recent = append(a.recent[:0], a.recent[maxRecentFrames/2:]...)
	}
	a.recent = append(a.recent, deliveredFrame{offset: a.offset, text: text})
	a.offset += tokens
	return Result{Kind: KindDeliver, Text: text, Tokens: tokens}
}

// acceptEnd delivers the output in the end frame f, if any, and completes the response. The result is broken if the
// number of tokens delivered is not the length that f states.
func (a *Assembler) acceptEnd(f engineapi.Frame) Result {
	var last Result
	if f.Tokens > 0 {
		last = a.acceptToken(f)
		if last.Kind == KindBroken {
			return last
		}
	}
	if f.Length != a.offset {
		return Result{Kind: KindBroken, Text: last.Text, Tokens: last.Tokens, Reason: ReasonLengthMismatch}
	}
	a.complete = true
	return Result{Kind: KindComplete, Text: last.Text, Tokens: last.Tokens}
}

func brokenResult(reason Reason) Result { return Result{Kind: KindBroken, Reason: reason} }
