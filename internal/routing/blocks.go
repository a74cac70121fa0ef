package routing

import "github.com/cespare/xxhash/v2"

// MaxBlocks bounds the prefix blocks of one prompt.
const MaxBlocks = 256

// Blocks hashes the leading blocks of a prompt, each hash over the whole prefix up to the end of its block.
// A last block that is not full has no hash.
func Blocks(prompt string, blockBytes int) []uint64 {
	if blockBytes <= 0 {
		return nil
	}
	n := min(len(prompt)/blockBytes, MaxBlocks)
	blocks := make([]uint64, n)
	digest := xxhash.New()
	for i := range blocks {
		// A Digest's Write returns no error.
		_, _ = digest.WriteString(prompt[i*blockBytes : (i+1)*blockBytes])
		blocks[i] = digest.Sum64()
	}
	return blocks
}
