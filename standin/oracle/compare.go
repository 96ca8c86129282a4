package oracle

import (
	"slices"

	"chestnutrudder.example/standin/engine"
)

type answerMismatch int

const (
	noMismatch answerMismatch = iota
	truncated
	duplicated
	foreign
)

// compareAnswer says how received tokens differ from the expected answer.
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

// RecomputedTokens returns how many tokens engines computed for one request beyond what one attempt needs: prefill of all
// attempts but the first, and tokens decoded more than once.
func RecomputedTokens(runs []engine.RunRecord, answerTokens int) int64 {
	if len(runs) < 2 {
		return 0
	}
	prefilled, decoded := 0, 0
	for i, r := range runs {
		if i > 0 {
			prefilled += r.Computed
		}
		decoded += r.Decoded
	}
	return int64(prefilled + max(0, decoded-answerTokens))
}
