package engine

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Token returns the token at an offset of the answer to a prompt. It depends on the whole prompt, so that a mixed-up,
// cut or doubled answer shows.
func Token(prompt string, offset int) string { return token(xxhash.Sum64String(prompt), offset) }

func token(prompt uint64, offset int) string {
	hash := xxhash.Sum64String(strconv.FormatUint(prompt, 36) + "/" + strconv.Itoa(offset))
	return strconv.FormatUint(hash&0xffffff, 36)
}

// Answer returns the whole answer to a prompt.
func Answer(prompt string, count int) []string {
	hash := xxhash.Sum64String(prompt)
	tokens := make([]string, count)
	for i := range tokens {
		tokens[i] = token(hash, i)
	}
	return tokens
}

// PromptHash identifies a prompt in the run ledger.
func PromptHash(prompt string) string { return strconv.FormatUint(xxhash.Sum64String(prompt), 16) }
