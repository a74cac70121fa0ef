package relay

import (
	"testing"

	"github.com/turmericshunt/turmericshunt/internal/call"
)

// Guards against metrics that count the prompts of several engines with those of one, so that nobody sees which are refused.
func TestPromptLengthClassesTellLargePromptsApart(t *testing.T) {
	for tokens, want := range map[int]string{
		0: "none", 1: "up_to_8k", 8 << 10: "up_to_8k", 8<<10 + 1: "up_to_16k", 200000: "up_to_256k", 300000: "up_to_512k",
		512 << 10: "up_to_512k", 700000: "over_512k",
	} {
		if got := promptLengthClass(&call.Call{PromptTokens: tokens}); got != want {
			t.Errorf("%d tokens count as %s, want %s", tokens, got, want)
		}
	}
}
