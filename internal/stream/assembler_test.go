package stream

import (
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/turmericshunt/turmericshunt/pkg/engineapi"
)

func token(offset int64, text string, tokens int64) engineapi.Frame {
	return engineapi.Frame{Request: "r", Attempt: 1, Offset: offset, Text: text, Tokens: tokens}
}

func end(length int64) engineapi.Frame {
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
		{"next", engineapi.FrameToken, token(4, "ef", 2), KindDeliver, "", "ef"},
		{"repeated", engineapi.FrameToken, token(2, "cd", 2), KindIgnore, "", ""},
		{"overlap", engineapi.FrameToken, token(2, "cdef", 4), KindDeliver, "", "ef"},
		{"overlap inside a frame", engineapi.FrameToken, token(3, "def", 3), KindBroken, ReasonCut, ""},
		{"overlap of other text", engineapi.FrameToken, token(2, "xyef", 4), KindBroken, ReasonText, ""},
		{"gap", engineapi.FrameToken, token(5, "f", 1), KindBroken, ReasonGap, ""},
		{"no tokens", engineapi.FrameToken, token(4, "e", 0), KindBroken, ReasonFrame, ""},
		{"other attempt", engineapi.FrameToken, engineapi.Frame{Request: "r", Attempt: 2, Offset: 4, Tokens: 1}, KindDrop, "", ""},
		{"other request", engineapi.FrameEnd, engineapi.Frame{Request: "q", Attempt: 1, Length: 4}, KindDrop, "", ""},
		{"heartbeat", engineapi.FrameHeartbeat, engineapi.Frame{Request: "r", Attempt: 1}, KindIgnore, "", ""},
		{"end", engineapi.FrameEnd, end(4), KindComplete, "", ""},
		{"end too early", engineapi.FrameEnd, end(6), KindBroken, ReasonLength, ""},
		{"engine gave up", engineapi.FrameError, engineapi.Frame{Request: "r", Attempt: 1}, KindBroken, ReasonEngine, ""},
	}
	for _, tt := range tests {
		a := &Assembler{Request: "r", Attempt: 1}
		a.Accept(engineapi.FrameToken, token(0, "ab", 2))
		a.Accept(engineapi.FrameToken, token(2, "cd", 2))
		got := a.Accept(tt.event, tt.frame)
		if got.Kind != tt.kind || got.Reason != tt.reason || got.Text != tt.text {
			t.Errorf("%s: got %+v", tt.name, got)
		}
		if dropped := a.Dropped(); (dropped == 1) != (tt.kind == KindDrop) {
			t.Errorf("%s: %d frames dropped", tt.name, dropped)
		}
	}
}

// TestWholeAnswer sends an answer with lost, repeated and crossed frames and resumes at the offset until it is whole.
func TestWholeAnswer(t *testing.T) {
	const answer = "abcdefghijklmnopqrstuvwxyz"
	rapid.Check(t, func(rt *rapid.T) {
		a := &Assembler{Request: "r", Attempt: 1}
		var got strings.Builder
		for resume := 0; resume < 100; resume++ {
			at := a.Offset() - int64(rapid.IntRange(0, int(a.Offset())).Draw(rt, "back"))
			for at < int64(len(answer)) {
				crossed := engineapi.Frame{Request: "r", Attempt: 2, Offset: a.Offset(), Text: "X", Tokens: 1}
				a.Accept(engineapi.FrameToken, crossed)
				n := min(int64(rapid.IntRange(1, 3).Draw(rt, "tokens")), int64(len(answer))-at)
				if lost := resume < 90 && rapid.IntRange(0, 9).Draw(rt, "lost") == 0; !lost {
					res := a.Accept(engineapi.FrameToken, token(at, answer[at:at+n], n))
					got.WriteString(res.Text)
					if res.Kind == KindBroken {
						break
					}
				}
				at += n
			}
			if a.Accept(engineapi.FrameEnd, end(int64(len(answer)))).Kind == KindComplete {
				break
			}
		}
		if got.String() != answer {
			rt.Fatalf("got %q", got.String())
		}
	})
}
