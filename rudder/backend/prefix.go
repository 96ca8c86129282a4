package backend

import "time"

// PromptPart is one part of a prompt; the parts of a prompt stand in order and requests share leading ones.
type PromptPart struct {
	ID     string
	Tokens int
}

// prefixTTL is how long a node assumes that a runner keeps a part it has read.
const prefixTTL = 60 * time.Second

// maxPrefixEntries bounds the memory of cached parts; the oldest half is dropped beyond it.
const maxPrefixEntries = 20000

type prefixKey struct{ server, part string }

// prefixIndex remembers which runner has read which part of prompts. A part's id names the part with all that stands
// before it only together with its predecessors, so look-ups walk from the first part on.
type prefixIndex struct{ prefilledAt map[prefixKey]time.Time }

func newPrefixIndex() prefixIndex { return prefixIndex{prefilledAt: map[prefixKey]time.Time{}} }

// cachedTokens returns the tokens of the leading parts that the server has read.
func (p *prefixIndex) cachedTokens(server string, parts []PromptPart, now time.Time) int {
	tokens := 0
	for _, part := range parts {
		at, found := p.prefilledAt[prefixKey{server, part.ID}]
		if !found || now.Sub(at) > prefixTTL {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// recordPrefill notes that the server reads these parts.
func (p *prefixIndex) recordPrefill(server string, parts []PromptPart, now time.Time) {
	for _, part := range parts {
		p.prefilledAt[prefixKey{server, part.ID}] = now
	}
}

// evictExpired drops what is too old to count.
func (p *prefixIndex) evictExpired(now time.Time) {
	maxAge := prefixTTL
	if len(p.prefilledAt) > maxPrefixEntries {
		maxAge /= 4
	}
	for key, at := range p.prefilledAt {
		if now.Sub(at) > maxAge {
			delete(p.prefilledAt, key)
		}
	}
}
