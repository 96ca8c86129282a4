package culprit

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"strconv"
	"time"

	"chestnutrudder.example/rudder/boottime"
)

const (
	// minCrashes is the number of servers that must have crashed on requests with the same traits before these are
	// quarantined.
	minCrashes = 3
	// certainCrashes is the number from which on a prompt part is quarantined without waiting for settleTime, and one that was
	// harmless before is quarantined at all.
	certainCrashes = 5
	// minMoments and certainMoments are the numbers of independent crashes that are needed besides. A request that was sent
	// before another crash does not count as independent of it: the loss of a failure domain ends many servers at once,
	// which says nothing about the requests that ran there.
	minMoments     = 2
	certainMoments = 3
	// undecidedCrashes is the number from which on a group of traits is quarantined although another one explains as many
	// crashes: two causes may occur together.
	undecidedCrashes = 10
	// settleTime is how long after the crash that makes minCrashes (certainCrashes for one that was harmless before) a prompt
	// part is not quarantined yet, so that peers can report which requests were at the crashed servers, and which parts they
	// know to be harmless.
	settleTime = 500 * time.Millisecond
	// answerWindow is how long before a crash an answer speaks for the traits of the answered request.
	answerWindow = 10 * time.Second
	// contentRetention is how long a crash counts against contents, and partRetention how long against prompt parts with which
	// no request was answered since. Few parts remain, but many contents do: callers do not repeat all requests that failed.
	contentRetention = 30 * time.Second
	partRetention    = 5 * time.Minute
)

// group is a set of traits that the same crashes have in common, and that all were harmless shortly before or all were not.
type group struct {
	traits  []Trait
	crashes []*crash // in the order of time
	moments int      // crashes that are independent of the earlier ones
	// wasHarmless means that requests with each of the traits were answered within answerWindow before the first crash.
	wasHarmless bool
}

// explanation returns the quarantine that explains a crash, nil if there is none. The caller holds the lock.
func (l *List) explanation(c *crash) *quarantine { return l.quarantines[c.explainedBy] }

// evidence returns the crashes that are evidence against a trait, of those since the last answer to a request with it. A crash
// that a quarantine of other traits explains is none, unless the trait has more crashes than the quarantine, so that it is the
// more likely cause. The quarantine of a content explains crashes only against other contents: a request that was repeated may
// have been at several servers by chance. The caller holds the lock.
func (l *List) evidence(t Trait, crashes []*crash) []*crash {
	total := len(crashes)
	return slices.DeleteFunc(crashes, func(c *crash) bool {
		q := l.explanation(c)
		return q != nil && !slices.Contains(q.traits, t) && (t.isContent() || !q.hasContent()) && total <= q.crashCount
	})
}

// groups returns the traits that may have caused crashes, grouped by the crashes that they have in common, those with most
// crashes first. Groups whose requests are all refused already are left out. The caller holds the lock.
func (l *List) groups() []*group {
	crashes := slices.SortedFunc(maps.Values(l.crashes), func(a, b *crash) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.server, b.server)) })
	byTrait := map[Trait][]*crash{}
	for _, c := range crashes {
		for trait := range c.suspects {
			if !l.wasAnswered(trait, c.at) {
				byTrait[trait] = append(byTrait[trait], c)
			}
		}
	}
	byCrashes := map[string]*group{}
	for trait, list := range byTrait {
		if list = l.evidence(trait, list); len(list) == 0 {
			continue
		}
		wasHarmless := l.wasAnswered(trait, list[0].at.Add(-answerWindow))
		key := strconv.AppendBool(make([]byte, 0, 8*len(list)+len("false")), wasHarmless)
		for _, c := range list {
			key = binary.LittleEndian.AppendUint64(key, c.server)
		}
		g, found := byCrashes[string(key)]
		if !found {
			g = &group{crashes: list, wasHarmless: wasHarmless}
			byCrashes[string(key)] = g
		}
		g.traits = append(g.traits, trait)
		g.moments = max(g.moments, moments(trait, list))
	}
	sorted := make([]*group, 0, len(byCrashes))
	for _, g := range byCrashes {
		slices.Sort(g.traits)
		if !l.isCovered(g) {
			sorted = append(sorted, g)
		}
	}
	slices.SortFunc(sorted, func(a, b *group) int {
		return cmp.Or(cmp.Compare(len(b.crashes), len(a.crashes)), slices.Compare(a.traits, b.traits))
	})
	return sorted
}

// isCovered reports whether all requests of a group are refused already. The caller holds the lock.
func (l *List) isCovered(g *group) bool {
	for _, q := range l.quarantines {
		if containsAll(g.traits, q.traits) {
			return true
		}
	}
	return false
}

// moments returns how many of the crashes are independent: the request with the trait was sent after the previous independent
// crash.
func moments(trait Trait, crashes []*crash) int {
	count := 0
	var last boottime.Instant
	for _, c := range crashes {
		sentAt := c.at.Add(-time.Duration(c.suspects[trait]) * time.Millisecond)
		if count == 0 || sentAt >= last {
			count, last = count+1, c.at
		}
	}
	return count
}

func (g *group) hasContent() bool { return slices.ContainsFunc(g.traits, Trait.isContent) }

func (q *quarantine) hasContent() bool { return slices.ContainsFunc(q.traits, Trait.isContent) }

// explainsMoreThan reports whether a crash is rather attributed to the quarantine than to another one, which may be nil.
func (q *quarantine) explainsMoreThan(other *quarantine) bool {
	if other == nil || q.hasContent() != other.hasContent() {
		return other == nil || !q.hasContent()
	}
	return q.crashCount > other.crashCount
}

func (g *group) sharesCrash(other *group) bool {
	return slices.ContainsFunc(g.crashes, func(c *crash) bool { return slices.Contains(other.crashes, c) })
}

// isCertain reports whether there are so many crashes that the traits must be harmful, even if they were harmless shortly
// before the first.
func (g *group) isCertain() bool {
	return len(g.crashes) >= certainCrashes && g.moments >= certainMoments
}

// clearedFrom returns the time since which no request with one of the traits was answered.
func (g *group) clearedFrom() boottime.Instant {
	if g.wasHarmless {
		return g.crashes[0].at
	}
	return g.crashes[0].at.Add(-answerWindow)
}

// isSuspicious reports whether the group is suspicious enough for its requests not to be repeated after a crash.
func (g *group) isSuspicious() bool { return g.moments >= 2 && !g.wasHarmless || g.isCertain() }

// explainsAsMuch reports whether the group has more crashes than another one, or as many and so few that it cannot be told yet
// which one is the cause. Traits that were harmless shortly before are less likely to be.
func (g *group) explainsAsMuch(other *group) bool {
	if len(g.crashes) != len(other.crashes) {
		return len(g.crashes) > len(other.crashes)
	}
	if g.wasHarmless && !other.wasHarmless {
		return len(g.crashes) < certainCrashes
	}
	return len(g.crashes) < undecidedCrashes
}

// mostSuspicious returns the first group that is to be quarantined, nil if there is none. A group has to wait while another
// one with some of the same crashes explains as much: the next crash tells them apart. The caller holds the lock.
func (l *List) mostSuspicious(now boottime.Instant) *group {
	for _, g := range l.suspicious {
		hasRival := slices.ContainsFunc(l.suspicious, func(other *group) bool {
			return other != g && other.explainsAsMuch(g) && other.sharesCrash(g)
		})
		if !hasRival && l.isConvicted(g, now) {
			return g
		}
	}
	return nil
}

// isConvicted reports whether the evidence against a group suffices for a quarantine. The caller holds the lock.
func (l *List) isConvicted(g *group, now boottime.Instant) bool {
	count := len(g.crashes)
	if count < minCrashes {
		return false
	}
	if g.hasContent() {
		return true // the quarantine concerns a single request and its repetitions
	}
	// While no request of the service is answered, its servers end for another reason.
	if at, found := l.serviceAnsweredAt[g.crashes[0].service]; !found || at < g.clearedFrom() {
		return false
	}
	isSettled := func(count int) bool { return now.Sub(g.crashes[count-1].at) >= settleTime }
	if g.wasHarmless {
		return g.isCertain() && isSettled(certainCrashes)
	}
	return g.isCertain() || g.moments >= minMoments && isSettled(minCrashes)
}
