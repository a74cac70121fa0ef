package stream

import (
	"strings"

	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
)

// Kinds of results.
const (
	KindDeliver  ResultKind = iota // Text goes to the caller
	KindIgnore                     // shows only that the attempt is alive
	KindDrop                       // belongs to another attempt or comes after the end
	KindComplete                   // the answer is whole once Text has gone to the caller
	KindBroken                     // the attempt must be resumed at Offset or fail
)

// Reasons why an answer is broken.
const (
	ReasonGap    Reason = "gap"          // frames between Offset and this one are missing
	ReasonLength Reason = "length"       // the end marker names another length
	ReasonCut    Reason = "cut"          // an overlap can't be trimmed at a frame's border
	ReasonText   Reason = "text"         // an overlap repeats other text than was delivered
	ReasonFrame  Reason = "frame"        // a frame contradicts itself
	ReasonEngine Reason = "engine_error" // the engine gave the attempt up
)

// tailFrames is how many delivered frames are remembered to trim overlaps.
const tailFrames = 256

type (
	// ResultKind says what to do with a frame.
	ResultKind uint8

	// Reason says why an answer is broken.
	Reason string

	// Result is the verdict on one frame.
	Result struct {
		Kind   ResultKind
		Text   string // new output in the order of the answer
		Tokens int64  // number of new output tokens in Text
		Reason Reason // set when Kind is KindBroken
	}

	// border is where a delivered frame began.
	border struct {
		offset int64 // in output tokens
		text   string
	}
)

// Assembler joins the frames of one attempt and keeps out those of others.
type Assembler struct {
	Request string
	Attempt uint32

	offset   int64
	dropped  int64
	complete bool
	tail     []border
}

// Offset returns the number of output tokens delivered so far, at which a resume starts.
func (a *Assembler) Offset() int64 { return a.offset }

// Dropped returns the number of frames that were kept out of the answer.
func (a *Assembler) Dropped() int64 { return a.dropped }

// Accept judges one frame that arrived as the SSE event named event.
func (a *Assembler) Accept(event string, f engineapi.Frame) Result {
	if f.Request != a.Request || f.Attempt != a.Attempt || a.complete {
		a.dropped++
		return Result{Kind: KindDrop}
	}
	switch event {
	case engineapi.FrameToken:
		return a.token(f)
	case engineapi.FrameEnd:
		return a.end(f)
	case engineapi.FrameError:
		return broken(ReasonEngine)
	default:
		return Result{Kind: KindIgnore}
	}
}

// token appends the part of f that was not delivered before.
func (a *Assembler) token(f engineapi.Frame) Result {
	switch {
	case f.Tokens <= 0 || f.Offset < 0:
		return broken(ReasonFrame)
	case f.Offset > a.offset:
		return broken(ReasonGap)
	case f.Offset+f.Tokens <= a.offset:
		return Result{Kind: KindIgnore}
	case f.Offset < a.offset:
		return a.trim(f)
	}
	return a.deliver(f.Text, f.Tokens)
}

// trim removes from f the text that was delivered before, which must begin at a delivered frame's border.
func (a *Assembler) trim(f engineapi.Frame) Result {
	var repeated strings.Builder
	found := false
	for _, b := range a.tail {
		found = found || b.offset == f.Offset
		if found {
			repeated.WriteString(b.text)
		}
	}
	if !found {
		return broken(ReasonCut)
	}
	rest, ok := strings.CutPrefix(f.Text, repeated.String())
	if !ok {
		return broken(ReasonText)
	}
	return a.deliver(rest, f.Offset+f.Tokens-a.offset)
}

func (a *Assembler) deliver(text string, tokens int64) Result {
	if len(a.tail) == tailFrames {
		a.tail = append(a.tail[:0], a.tail[tailFrames/2:]...)
	}
	a.tail = append(a.tail, border{offset: a.offset, text: text})
	a.offset += tokens
	return Result{Kind: KindDeliver, Text: text, Tokens: tokens}
}

// end completes the answer if everything before the end marker was delivered.
func (a *Assembler) end(f engineapi.Frame) Result {
	var last Result
	if f.Tokens > 0 {
		last = a.token(f)
		if last.Kind == KindBroken {
			return last
		}
	}
	if f.Length != a.offset {
		return Result{Kind: KindBroken, Text: last.Text, Tokens: last.Tokens, Reason: ReasonLength}
	}
	a.complete = true
	return Result{Kind: KindComplete, Text: last.Text, Tokens: last.Tokens}
}

func broken(reason Reason) Result { return Result{Kind: KindBroken, Reason: reason} }
