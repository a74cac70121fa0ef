package engine

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// DefaultMaxTokens is the length, in tokens, of the response to a request that does not set max_tokens.
const DefaultMaxTokens = 16

// ResponseText returns the first tokens of the response to a prompt. The first token is the digest of the prompt as 16
// hexadecimal digits. Each further token is the first 4 of these digits with the token's index, as in
// "0123456789abcdef 0123.1 0123.2".
func ResponseText(prompt string, tokens int64) string {
	return responseText(digest(prompt), 0, tokens)
}

// digest returns the hash of a prompt as 16 hexadecimal digits.
func digest(prompt string) string { return fmt.Sprintf("%016x", xxhash.Sum64String(prompt)) }

// responseText returns the tokens with the indices from <= i < to of the response to the prompt with this digest.
func responseText(digest string, from, to int64) string {
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
