package oracle

import (
	"slices"

	"chestnutrudder.example/standin/engine"
)

type fault int

const (
	none fault = iota
	short
	doubled
	foreign
)

// compare says how received tokens differ from the expected answer.
func compare(got, expected []string) fault {
	for i, token := range got {
		if i < len(expected) && token == expected[i] {
			continue
		}
		if slices.Contains(expected[:min(i, len(expected))], token) {
			return doubled
		}
		return foreign
	}
	if len(got) < len(expected) {
		return short
	}
	return none
}

// Recomputed returns how many tokens engines computed for one request beyond what one attempt needs: prefill of all
// attempts but the first, and tokens decoded more than once.
func Recomputed(runs []engine.RunRecord, tokens int) int64 {
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
	return int64(prefilled + max(0, decoded-tokens))
}
