// Package culprit finds out what crashes backend servers: the content of one request, or a part that many prompts share.
// Nodes record the crashes that they see, together with the traits of the requests that the server was about to answer, and
// exchange these records. A trait that several crashes have in common, and with which no request is answered, is
// quarantined: all nodes refuse requests with it, and one node lets a single request through from time to time as a trial.
package culprit

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"chestnutrudder.example/rudder/boottime"
)

// Trait identifies a property that requests can have in common. The lowest bit tells its kind.
type Trait uint64

// contentBit is set in traits of whole requests. Traits of prompt parts have it cleared.
const contentBit Trait = 1

// ContentTrait returns the trait of requests with the same content. The fields are those that make up the content, such as
// organisation, target and body.
func ContentTrait(fields ...[]byte) Trait {
	h := xxhash.New()
	for _, field := range fields {
		_, _ = h.Write(field)
		_, _ = h.Write([]byte{0})
	}
	return Trait(h.Sum64()) | contentBit
}

// PartTrait returns the trait of requests whose prompts have the part with an ID.
func PartTrait(id string) Trait { return Trait(xxhash.Sum64String(id)) &^ contentBit }

func (t Trait) isContent() bool { return t&contentBit != 0 }

// Suspect is a trait of a request that a server was about to answer when it crashed.
type Suspect struct {
	_     struct{} `cbor:",toarray"`
	Trait Trait
	// SentMillisBefore is the time from the sending of the request to the crash; the shortest one of several requests.
	SentMillisBefore int64
}

// crash is the crash of one backend server as all nodes saw it.
type crash struct {
	server   uint64 // identifies the incarnation of the server
	service  string
	at       boottime.Instant
	suspects map[Trait]int64 // SentMillisBefore by trait
	seenHere map[Trait]bool  // suspects of requests of this node
	// explainedBy is the id of the quarantine to which this node or a peer attributes the crash; 0 for none.
	explainedBy uint64
}

// markSeenHere marks suspects as those of a request of this node.
func (c *crash) markSeenHere(suspects map[Trait]int64) {
	if c.seenHere == nil {
		c.seenHere = map[Trait]bool{}
	}
	for t := range suspects {
		c.seenHere[t] = true
	}
}

// countKind returns the number of suspects of the same kind as t.
func (c *crash) countKind(t Trait) int {
	count := 0
	for suspect := range c.suspects {
		if suspect.isContent() == t.isContent() {
			count++
		}
	}
	return count
}

// hasAll reports whether all traits are among the suspects of the crash.
func (c *crash) hasAll(traits []Trait) bool {
	return !slices.ContainsFunc(traits, func(t Trait) bool { _, found := c.suspects[t]; return !found })
}

// containsAll reports whether a request with the given traits has all wanted ones.
func containsAll(traits, wanted []Trait) bool {
	return !slices.ContainsFunc(wanted, func(t Trait) bool { return !slices.Contains(traits, t) })
}
