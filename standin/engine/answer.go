package engine

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Token returns the token at an offset of the answer to a prompt. It depends on the whole prompt, so that a mixed-up,
// cut or doubled answer shows.
func Token(prompt string, offset int) string { return token(xxhash.Sum64String(prompt), offset) }

func token(promptHash uint64, offset int) string {
	hash := xxhash.Sum64String(strconv.FormatUint(promptHash, 36) + "/" + strconv.Itoa(offset))
	return strconv.FormatUint(hash&0xffffff, 36)
}

// Answer returns the whole answer to a prompt.
func Answer(prompt string, length int) []string {
	hash := xxhash.Sum64String(prompt)
	tokens := make([]string, length)
	for i := range tokens {
		tokens[i] = token(hash, i)
	}
	return tokens
}

// stopMarkerPrefix in a prompt, followed by a number, lets the model stop by itself after so many tokens.
const stopMarkerPrefix = "stop-after-"

// StopMarker returns the text that makes an answer end by itself after a number of tokens, if the caller allows that many.
func StopMarker(tokens int) string { return stopMarkerPrefix + strconv.Itoa(tokens) }

// AnswerLength returns the length of the answer: what the caller allows, or less if the model stops by itself.
func AnswerLength(prompt string, maxTokens int) int {
	_, suffix, found := strings.Cut(prompt, stopMarkerPrefix)
	if !found {
		return maxTokens
	}
	digits, _, _ := strings.Cut(suffix, " ")
	tokens, err := strconv.Atoi(strings.TrimSpace(digits))
	if err != nil || tokens < 1 {
		return maxTokens
	}
	return min(tokens, maxTokens)
}

// PromptHash identifies a prompt in the run ledger.
func PromptHash(prompt string) string { return strconv.FormatUint(xxhash.Sum64String(prompt), 16) }
