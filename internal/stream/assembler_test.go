package stream

import (
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
)

func tokenFrame(offset int64, text string, tokens int64) engineapi.Frame {
	return engineapi.Frame{Request: "r", Attempt: 1, Offset: offset, Text: text, Tokens: tokens}
}

func endFrame(length int64) engineapi.Frame {
	return engineapi.Frame{Request: "r", Attempt: 1, Offset: length, Length: length}
}

func TestAccept(t *testing.T) {
	tests := []struct {
		name   string
		event  string
		frame  engineapi.Frame
		kind   ResultKind
		reason Reason
		text   string
	}{
		{"next", engineapi.FrameToken, tokenFrame(4, "ef", 2), KindDeliver, "", "ef"},
		{"repeated", engineapi.FrameToken, tokenFrame(2, "cd", 2), KindIgnore, "", ""},
		{"overlap", engineapi.FrameToken, tokenFrame(2, "cdef", 4), KindDeliver, "", "ef"},
		{"overlap inside a frame", engineapi.FrameToken, tokenFrame(3, "def", 3), KindBroken, ReasonPartialFrameOverlap, ""},
		{"overlap of other text", engineapi.FrameToken, tokenFrame(2, "xyef", 4), KindBroken, ReasonTextMismatch, ""},
		{"gap", engineapi.FrameToken, tokenFrame(5, "f", 1), KindBroken, ReasonGap, ""},
		{"no tokens", engineapi.FrameToken, tokenFrame(4, "e", 0), KindBroken, ReasonInvalidFrame, ""},
		{"other attempt", engineapi.FrameToken, engineapi.Frame{Request: "r", Attempt: 2, Offset: 4, Tokens: 1}, KindDrop, "", ""},
		{"other request", engineapi.FrameEnd, engineapi.Frame{Request: "q", Attempt: 1, Length: 4}, KindDrop, "", ""},
		{"heartbeat", engineapi.FrameHeartbeat, engineapi.Frame{Request: "r", Attempt: 1}, KindIgnore, "", ""},
		{"end", engineapi.FrameEnd, endFrame(4), KindComplete, "", ""},
		{"end too early", engineapi.FrameEnd, endFrame(6), KindBroken, ReasonLengthMismatch, ""},
		{"engine error", engineapi.FrameError, engineapi.Frame{Request: "r", Attempt: 1}, KindBroken, ReasonEngineError, ""},
	}
	for _, tt := range tests {
		a := &Assembler{Request: "r", Attempt: 1}
		a.Accept(engineapi.FrameToken, tokenFrame(0, "ab", 2))
		a.Accept(engineapi.FrameToken, tokenFrame(2, "cd", 2))
		got := a.Accept(tt.event, tt.frame)
		if got.Kind != tt.kind || got.Reason != tt.reason || got.Text != tt.text {
			t.Errorf("%s: got %+v", tt.name, got)
		}
		if dropped := a.Dropped(); (dropped == 1) != (tt.kind == KindDrop) {
			t.Errorf("%s: %d frames dropped", tt.name, dropped)
		}
	}
}

// TestWholeAnswer checks that a response is complete and has neither missing nor repeated text although frames are lost
// or repeated and frames of another attempt arrive in between. After each break, it resumes at or before the offset.
func TestWholeAnswer(t *testing.T) {
	const response = "abcdefghijklmnopqrstuvwxyz"
	rapid.Check(t, func(rt *rapid.T) {
		a := &Assembler{Request: "r", Attempt: 1}
		var got strings.Builder
		for resumes := 0; resumes < 100; resumes++ {
			at := a.Offset() - int64(rapid.IntRange(0, int(a.Offset())).Draw(rt, "back"))
			for at < int64(len(response)) {
				otherAttempt := engineapi.Frame{Request: "r", Attempt: 2, Offset: a.Offset(), Text: "X", Tokens: 1}
				a.Accept(engineapi.FrameToken, otherAttempt)
				n := min(int64(rapid.IntRange(1, 3).Draw(rt, "tokens")), int64(len(response))-at)
				if lost := resumes < 90 && rapid.IntRange(0, 9).Draw(rt, "lost") == 0; !lost {
					res := a.Accept(engineapi.FrameToken, tokenFrame(at, response[at:at+n], n))
					got.WriteString(res.Text)
					if res.Kind == KindBroken {
						break
					}
				}
				at += n
			}
			if a.Accept(engineapi.FrameEnd, endFrame(int64(len(response)))).Kind == KindComplete {
				break
			}
		}
		if got.String() != response {
			rt.Fatalf("got %q", got.String())
		}
	})
}
