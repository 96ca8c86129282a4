package engine

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// TokensPerBlock is the number of tokens in one block of the prefix cache.
const TokensPerBlock = 16

// PromptTokens splits a prompt into tokens at white space, as an approximation of the model's tokenizer: only token counts
// and block hashes are needed here, and engines count with their own tokenizer.
func PromptTokens(prompt string) []string { return strings.Fields(prompt) }

// PrefixBlocks returns one hash for each complete block of tokens. Each hash also covers all tokens before the block, so
// that equal hashes mean equal prefixes.
func PrefixBlocks(tokens []string) []uint64 {
	blocks := make([]uint64, 0, len(tokens)/TokensPerBlock)
	digest := xxhash.New()
	var previousHash [8]byte
	for start := 0; start+TokensPerBlock <= len(tokens); start += TokensPerBlock {
		digest.Reset()
		_, _ = digest.Write(previousHash[:])
		for _, token := range tokens[start : start+TokensPerBlock] {
			_, _ = digest.WriteString(token)
			_, _ = digest.Write([]byte{0})
		}
		hash := digest.Sum64()
		blocks = append(blocks, hash)
		binary.LittleEndian.PutUint64(previousHash[:], hash)
	}
	return blocks
}
