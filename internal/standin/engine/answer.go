package engine

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// DefaultMaxTokens is the length of an answer whose request names none.
const DefaultMaxTokens = 16

// Answer returns the first tokens of the answer to a prompt: the prompt's digest as 16 hexadecimal digits, then
// numbered words that each start with the digest's first 4 digits, as in "0123456789abcdef 0123.1 0123.2".
func Answer(prompt string, tokens int64) string {
	return answerText(digest(prompt), 0, tokens)
}

func digest(prompt string) string { return fmt.Sprintf("%016x", xxhash.Sum64String(prompt)) }

// answerText returns the tokens from one offset up to another.
func answerText(digest string, from, to int64) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		if i == 0 {
			b.WriteString(digest)
			continue
		}
		fmt.Fprintf(&b, " %s.%d", digest[:4], i)
	}
	return b.String()
}
