package engine

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Token returns the token at an offset, counted in tokens, of the answer to a prompt. It depends on the whole prompt and the
// offset, so that tests detect swapped, truncated and repeated answers.
func Token(prompt string, offset int) string { return token(xxhash.Sum64String(prompt), offset) }

func token(promptHash uint64, offset int) string {
	hash := xxhash.Sum64String(strconv.FormatUint(promptHash, 36) + "/" + strconv.Itoa(offset))
	return strconv.FormatUint(hash&0xffffff, 36)
}

// Answer returns the answer to a prompt with a length in tokens.
func Answer(prompt string, length int) []string {
	hash := xxhash.Sum64String(prompt)
	tokens := make([]string, length)
	for i := range tokens {
		tokens[i] = token(hash, i)
	}
	return tokens
}

// stopMarkerPrefix in a prompt, followed by a number, makes the answer end after that many tokens.
const stopMarkerPrefix = "stop-after-"

// StopMarker returns text that, as part of a prompt, makes the answer end after a number of tokens, unless MaxTokens of the
// request is smaller.
func StopMarker(tokens int) string { return stopMarkerPrefix + strconv.Itoa(tokens) }

// AnswerLength returns the length of the answer in tokens: maxTokens, or less if the prompt has a stop marker. A marker
// without a positive number is ignored.
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

// PromptHash returns the hash that identifies a prompt in run records, in hexadecimal.
func PromptHash(prompt string) string { return strconv.FormatUint(xxhash.Sum64String(prompt), 16) }
