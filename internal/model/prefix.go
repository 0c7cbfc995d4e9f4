package model

import "github.com/cespare/xxhash/v2"

const (
	// MinPrefixBytes is the length of the shortest prefix that is hashed.
	MinPrefixBytes = 256
	// MaxPrefixes bounds the number of hashes, which keeps a descriptor at a few hundred bytes.
	MaxPrefixes = 16
	// BytesPerToken is the assumed number of prompt bytes per token.
	BytesPerToken = 4
)

// PrefixHashes returns the hashes of the prompt's prefixes of 256, 512, 1024, ... bytes.
// Doubling the length covers long prompts with few hashes at the cost of coarser matches.
func PrefixHashes(prompt []byte) []uint64 {
	var hashes []uint64
	digest := xxhash.New()
	from := 0
	for length := MinPrefixBytes; length <= len(prompt) && len(hashes) < MaxPrefixes; length *= 2 {
		_, _ = digest.Write(prompt[from:length])
		from = length
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}

// PrefixTokens returns the number of prompt tokens that the hash at index i covers.
func PrefixTokens(i int) int { return (MinPrefixBytes << i) / BytesPerToken }

// EstimateTokens returns the estimated number of tokens of a prompt.
func EstimateTokens(prompt []byte) int { return (len(prompt) + BytesPerToken - 1) / BytesPerToken }
