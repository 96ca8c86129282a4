package backend

import "time"

// Part is one part of a prompt; the parts of a prompt stand in order and requests share leading ones.
type Part struct {
	ID     string
	Tokens int
}

// prefixMemory is how long a node assumes that a runner keeps a part it has read.
const prefixMemory = 60 * time.Second

// maxPrefixEntries bounds the memory of cached parts; the oldest half is dropped beyond it.
const maxPrefixEntries = 20000

type cachedPart struct{ server, part string }

// prefixes remembers which runner has read which part of prompts. A part's id names the part with all that stands
// before it only together with its predecessors, so look-ups walk from the first part on.
type prefixes struct{ readAt map[cachedPart]time.Time }

func newPrefixes() prefixes { return prefixes{readAt: map[cachedPart]time.Time{}} }

// cached returns the tokens of the leading parts that the server has read.
func (p *prefixes) cached(server string, parts []Part, now time.Time) int {
	tokens := 0
	for _, part := range parts {
		at, found := p.readAt[cachedPart{server, part.ID}]
		if !found || now.Sub(at) > prefixMemory {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// read notes that the server reads these parts.
func (p *prefixes) read(server string, parts []Part, now time.Time) {
	for _, part := range parts {
		p.readAt[cachedPart{server, part.ID}] = now
	}
}

// forget drops what is too old to count.
func (p *prefixes) forget(now time.Time) {
	limit := prefixMemory
	if len(p.readAt) > maxPrefixEntries {
		limit /= 4
	}
	for key, at := range p.readAt {
		if now.Sub(at) > limit {
			delete(p.readAt, key)
		}
	}
}
