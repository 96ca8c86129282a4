package backend

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// PromptPart is one part of a prompt. Prompts that begin with the same parts share these in the prefix cache of a runner.
type PromptPart struct {
	ID     string
	Tokens int
}

// prefixTTL is how long a node assumes that a runner keeps a prefilled part in its cache.
const prefixTTL = 60 * time.Second

// maxPrefixEntries limits the memory of the index: with more entries, those older than a quarter of prefixTTL are evicted.
const maxPrefixEntries = 20000

type prefixKey struct{ server, part string }

// prefixIndex records which runner has prefilled which prompt parts. The ID of a part does not identify the parts before it,
// so lookups walk from the first part and stop at the first one that is not cached.
type prefixIndex struct{ prefilledAt map[prefixKey]time.Time }

func newPrefixIndex() prefixIndex { return prefixIndex{prefilledAt: map[prefixKey]time.Time{}} }

// cachedTokens returns the number of tokens in the leading parts that the server is assumed to have cached.
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

// recordPrefill records that the server prefills the parts, and returns those that it was not assumed to have cached.
func (p *prefixIndex) recordPrefill(server string, parts []PromptPart, now time.Time) []prefixKey {
	var added []prefixKey
	for _, part := range parts {
		key := prefixKey{server, part.ID}
		if at, found := p.prefilledAt[key]; !found || now.Sub(at) > prefixTTL {
			added = append(added, key)
		}
		p.prefilledAt[key] = now
	}
	return added
}

// forget removes parts that servers are not to be assumed to have cached.
func (p *prefixIndex) forget(keys []prefixKey) {
	for _, key := range keys {
		delete(p.prefilledAt, key)
	}
}

// evictExpired removes parts that are no longer assumed to be cached, and more of them if there are too many entries.
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

func sumTokens(parts []PromptPart) int {
	sum := 0
	for _, p := range parts {
		sum += p.Tokens
	}
	return sum
}

// homeServer returns the server with the highest weighted rendezvous hash for the shared parts. All nodes with the same servers and
// paces choose the same one, so prompts with a common prefix go to the same prefix cache. weight returns the share of prefixes
// that a server takes relative to others.
func homeServer(servers []*Server, parts []PromptPart, weight func(*Server) float64) *Server {
	key := xxhash.New()
	for _, p := range parts {
		_, _ = key.WriteString(p.ID)
		_, _ = key.WriteString(",")
	}
	seed := key.Sum64()
	var home *Server
	highest := 0.0
	for _, s := range servers {
		// An exponentially distributed number for each server, divided by its weight: the least one wins. With equal weights it
		// is the server with the highest hash.
		if score := -weight(s) / math.Log(unitInterval(mix(seed^s.idHash))); home == nil || score > highest {
			home, highest = s, score
		}
	}
	return home
}
