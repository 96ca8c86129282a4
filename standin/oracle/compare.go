package oracle

import (
	"slices"

	"chestnutrudder.example/standin/engine"
)

// answerMismatch is the first difference between received and expected tokens.
type answerMismatch int

const (
	noMismatch answerMismatch = iota
	truncated                 // a prefix of the expected answer
	duplicated                // a token of an earlier position was repeated
	foreign                   // a token that occurs at no earlier position of the expected answer
)

// compareAnswer returns the first difference between the received tokens and the expected answer.
func compareAnswer(got, expected []string) answerMismatch {
	for i, token := range got {
		if i < len(expected) && token == expected[i] {
			continue
		}
		if slices.Contains(expected[:min(i, len(expected))], token) {
			return duplicated
		}
		return foreign
	}
	if len(got) < len(expected) {
		return truncated
	}
	return noMismatch
}

// RecomputedTokens returns how many tokens the engines computed for one request in addition to the work of a single
// attempt: the prefill of all runs but the first, and the decoded tokens above the length of the answer.
func RecomputedTokens(runs []engine.RunRecord, answerTokens int) int64 {
	if len(runs) < 2 {
		return 0
	}
	prefilled, decoded := 0, 0
	for i, r := range runs {
		if i > 0 {
			prefilled += r.ComputedTokens
		}
		decoded += r.DecodedTokens
	}
	return int64(prefilled + max(0, decoded-answerTokens))
}
