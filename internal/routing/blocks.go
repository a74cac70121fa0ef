package routing

import "github.com/cespare/xxhash/v2"

// MaxBlocks is the maximum number of leading blocks of a prompt that are hashed.
const MaxBlocks = 256

// HashBlocks returns the hashes of the first MaxBlocks blocks of blockBytes bytes of a prompt. Each hash covers the
// prompt from its start to the end of the block. A partial last block has no hash. The result is nil if blockBytes is
// not positive.
func HashBlocks(prompt string, blockBytes int) []uint64 {
	if blockBytes <= 0 {
		return nil
	}
	n := min(len(prompt)/blockBytes, MaxBlocks)
	blocks := make([]uint64, n)
	digest := xxhash.New()
	for i := range blocks {
		// Digest.WriteString never returns an error.
		_, _ = digest.WriteString(prompt[i*blockBytes : (i+1)*blockBytes])
		blocks[i] = digest.Sum64()
	}
	return blocks
}
