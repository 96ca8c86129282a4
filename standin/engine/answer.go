package engine

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Token returns the token at an offset of the answer to a prompt. It depends on the whole prompt, so that a mixed-up,
// cut or doubled answer shows.
func Token(prompt string, offset int) string {
	hash := xxhash.Sum64String(prompt + "\x00" + strconv.Itoa(offset))
	return strconv.FormatUint(hash&0xffffff, 36)
}

// Answer returns the whole answer to a prompt.
func Answer(prompt string, count int) []string {
	tokens := make([]string, count)
	for i := range tokens {
		tokens[i] = Token(prompt, i)
	}
	return tokens
}
