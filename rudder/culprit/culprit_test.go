package culprit

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"chestnutrudder.example/rudder/boottime"
)

// clock is the time of a test.
type clock struct{ now boottime.Instant }

func newClock() *clock { return &clock{now: boottime.Instant(time.Hour)} }

func (c *clock) advance(d time.Duration) { c.now = c.now.Add(d) }

func (c *clock) newList() *List {
	return &List{Log: slog.New(slog.DiscardHandler), Now: func() boottime.Instant { return c.now }}
}

// request returns the traits of a request with a content of its own and the given shared parts.
func request(content string, parts ...string) []Trait {
	var traits []Trait
	for _, p := range parts {
		traits = append(traits, PartTrait(p))
	}
	return append(traits, ContentTrait([]byte(content)))
}

// crashNow records a crash of the server now, of a request that was sent 100 ms ago.
func (c *clock) crashNow(l *List, server uint64, traits []Trait) {
	l.RecordCrash(server, "model", traits, c.now, c.now.Add(-100*time.Millisecond))
}

func isRefused(l *List, traits []Trait) bool {
	refusal, _ := l.Check(traits, false)
	return refusal != nil
}

// Pattern: the same request crashes each server that runs it, and its caller sends it to another node each time. The crashes
// that several nodes saw add up; a complete answer ends the suspicion; old crashes expire.
func TestCrashesOfOneRequestAddUpOverNodes(t *testing.T) {
	c := newClock()
	lists := []*List{c.newList(), c.newList(), c.newList(), c.newList()}
	poison := request("poison", "system", "document")
	for i := range 3 {
		if isRefused(lists[3], poison) {
			t.Fatalf("refused after %d crashes, want 3", i)
		}
		c.crashNow(lists[i], uint64(i), poison)
		c.advance(200 * time.Millisecond)
		exchange(t, lists...)
	}
	for i, l := range lists {
		if !isRefused(l, poison) {
			t.Errorf("node %d does not refuse the request after three crashes", i)
		}
		if isRefused(l, request("other", "system", "document")) {
			t.Errorf("node %d refuses another request with the same parts", i)
		}
	}
	restarted := c.newList()
	exchange(t, lists[1], restarted)
	if !isRefused(restarted, poison) {
		t.Error("a node that has just started does not learn of the quarantine")
	}

	l := c.newList()
	c.crashNow(l, 10, poison)
	c.crashNow(l, 11, poison)
	c.advance(time.Second)
	l.RecordAnswer("model", poison)
	c.advance(answerWindow + time.Second)
	c.crashNow(l, 12, poison)
	if isRefused(l, poison) {
		t.Error("crashes before a complete answer count")
	}
	c.advance(contentRetention + time.Second)
	c.crashNow(l, 13, poison)
	c.crashNow(l, 14, poison)
	if isRefused(l, poison) {
		t.Errorf("crashes older than %s count against a content", contentRetention)
	}
	c.advance(partRetention + time.Second)
	c.crashNow(l, 15, poison)
	c.crashNow(l, 16, poison)
	if isRefused(l, poison) || l.CrashCount() != 2 {
		t.Errorf("crashes older than %s count: %d are known, want 2", partRetention, l.CrashCount())
	}
}

// Pattern: requests that have only one part in common crash servers all over the fleet, beside answered requests with the
// other parts of their prompts.
func TestCrashingPartIsQuarantined(t *testing.T) {
	c := newClock()
	lists := []*List{c.newList(), c.newList(), c.newList()}
	for i := range 3 {
		for _, l := range lists {
			l.RecordAnswer("model", request("sound", "system", "document"))
		}
		c.crashNow(lists[i], uint64(i), request(fmt.Sprint("poison ", i), "system", "bad"))
		c.advance(200 * time.Millisecond)
		exchange(t, lists...)
	}
	c.advance(settleTime)
	for i, l := range lists {
		if !isRefused(l, request("next poison", "system", "bad")) || !isRefused(l, request("next poison", "elsewhere", "bad", "more")) {
			t.Errorf("node %d does not refuse requests with the part", i)
		}
		if isRefused(l, request("sound", "system", "document")) || isRefused(l, request("sound", "system")) {
			t.Errorf("node %d refuses requests with the other parts", i)
		}
	}
}

// Pattern: requests with a crashing part come so rarely that contents are forgotten in between. Each must not cost as many
// servers as the first one.
func TestRareRequestsWithCrashingPartAreRefused(t *testing.T) {
	c := newClock()
	lists := []*List{c.newList(), c.newList()}
	crashed := 0
	for i := range uint64(40) {
		c.advance(50 * time.Second)
		for _, l := range lists {
			l.RecordAnswer("model", request("sound", "system", "document"))
		}
		exchange(t, lists...)
		for attempt := range uint64(2) {
			poison := request(fmt.Sprint("poison ", i), "system", "bad")
			if refusal, isTrial := lists[i%2].Check(poison, attempt == 0); refusal == nil && !isTrial {
				c.crashNow(lists[i%2], 2*i+attempt, poison)
				crashed++
			}
			c.advance(200 * time.Millisecond)
			exchange(t, lists...)
		}
	}
	if crashed > certainCrashes {
		t.Errorf("40 requests with the part in 33 minutes crashed %d servers, want at most %d", crashed, certainCrashes)
	}
	if isRefused(lists[0], request("sound", "system", "document")) {
		t.Error("requests without the part are refused")
	}
}

// Pattern: the first request with a crashing part is repeated until its content is quarantined, and only then the next one
// comes. The crashes of the first must count for the part, or each request costs as many servers as the first.
func TestCrashesOfQuarantinedContentCountForItsParts(t *testing.T) {
	c := newClock()
	seesFirst, seesSecond := c.newList(), c.newList()
	for i := range uint64(3) {
		seesFirst.RecordAnswer("model", request("sound", "system"))
		seesSecond.RecordAnswer("model", request("sound", "system"))
		c.crashNow(seesFirst, i, request("first", "system", "bad"))
		c.advance(200 * time.Millisecond)
	}
	if !isRefused(seesFirst, request("first", "system", "bad")) {
		t.Fatal("a request that crashed three servers is not refused")
	}
	if isRefused(seesFirst, request("second", "system", "bad")) {
		t.Fatal("requests are refused after crashes of one request only")
	}
	c.advance(2 * time.Second)
	exchange(t, seesFirst, seesSecond)
	c.crashNow(seesSecond, 3, request("second", "system", "bad"))
	exchange(t, seesFirst, seesSecond)
	for i, l := range []*List{seesFirst, seesSecond} {
		if !isRefused(l, request("third", "system", "bad")) || isRefused(l, request("sound", "system")) {
			t.Errorf("node %d does not refuse exactly the requests with the part after the crash of a second one", i)
		}
	}
}

// Pattern: a part that was only nearby is quarantined together with the crashing one, and then cleared by an answer. The
// crashes must count against the crashing part again.
func TestClearedCompanionLeavesEvidence(t *testing.T) {
	c := newClock()
	l := c.newList()
	for i := range uint64(5) {
		l.RecordAnswer("model", request("sound", "system"))
		c.crashNow(l, i, request(fmt.Sprint("poison ", i), "companion", "bad"))
		c.advance(200 * time.Millisecond)
	}
	if !isRefused(l, request("next", "companion", "bad")) || isRefused(l, request("next", "companion")) || isRefused(l, request("next", "bad")) {
		t.Fatal("not exactly the requests with both parts are refused")
	}
	l.RecordAnswer("model", request("sound", "companion"))
	c.advance(evaluationInterval)
	if !isRefused(l, request("next", "bad")) || isRefused(l, request("next", "companion")) {
		t.Fatal("after an answer with the companion, not exactly the requests with the crashing part are refused")
	}
}

// Pattern: a whole failure domain ends at the same moment, with requests of a part that has just become popular on all of its
// servers and that no answer has cleared yet.
func TestLossOfFailureDomainQuarantinesNothing(t *testing.T) {
	c := newClock()
	l := c.newList()
	l.RecordAnswer("model", request("earlier", "system"))
	for server := range uint64(8) {
		c.advance(10 * time.Millisecond) // the node detects one after the other
		c.crashNow(l, server, request(fmt.Sprint("new ", server), "system", "hot"))
	}
	for range 20 {
		if isRefused(l, request("next", "system", "hot")) || isRefused(l, request("next", "system")) {
			t.Fatal("requests are refused after the loss of a failure domain")
		}
		c.advance(100 * time.Millisecond)
		l.RecordAnswer("model", request("elsewhere", "system"))
	}
}

// Pattern: all servers of a service end again and again for a reason that lies in none of the requests, and nothing is
// answered. The parts that all requests have in common must not be quarantined, or the service stays down afterwards.
func TestOutageOfServiceQuarantinesNoPart(t *testing.T) {
	c := newClock()
	l := c.newList()
	l.RecordAnswer("model", request("earlier", "system"))
	for i := range uint64(200) {
		c.advance(200 * time.Millisecond)
		c.crashNow(l, i, request(fmt.Sprint("lost ", i), "system"))
		if isRefused(l, request("next", "system")) {
			t.Fatalf("requests are refused %s after the begin of the outage", time.Duration(i)*200*time.Millisecond)
		}
	}
}

// Pattern: a request without a part in common with the crashing ones is at a crashed server again and again. Whatever node
// hears of it first, it must be served once the part that explains its crashes is known.
func TestBystanderOfCrashesIsServed(t *testing.T) {
	c := newClock()
	seesPoison, seesBystander := c.newList(), c.newList()
	for i := range uint64(8) {
		for _, l := range []*List{seesPoison, seesBystander} {
			l.RecordAnswer("model", request("sound", "system"))
		}
		c.crashNow(seesPoison, i, request(fmt.Sprint("poison ", i), "system", "bad"))
		if i%2 == 0 {
			c.crashNow(seesBystander, i, request(fmt.Sprint("bystander ", i), "system", "rare"))
		}
		c.advance(150 * time.Millisecond)
		exchange(t, seesPoison, seesBystander)
	}
	c.advance(settleTime)
	for i, l := range []*List{seesPoison, seesBystander} {
		if !isRefused(l, request("poison", "bad")) {
			t.Errorf("node %d does not refuse requests with the crashing part", i)
		}
		if isRefused(l, request("bystander", "system", "rare")) {
			t.Errorf("node %d refuses requests that were only nearby", i)
		}
	}
}

// Pattern: a node sees several servers crash under its requests with one part, before it hears from its peers which other
// requests were there, and that they answer requests with its part. It must not refuse these.
func TestQuarantineWaitsForReportsOfPeers(t *testing.T) {
	c := newClock()
	seesBystander, other := c.newList(), c.newList()
	other.RecordAnswer("model", request("sound", "rare"))
	for i := range uint64(4) {
		seesBystander.RecordAnswer("model", request("sound", "system"))
		c.crashNow(seesBystander, i, request(fmt.Sprint("bystander ", i), "system", "rare"))
		c.advance(120 * time.Millisecond)
		if isRefused(seesBystander, request("next", "system", "rare")) {
			t.Fatalf("requests are refused after %d crashes, before peers have reported", i+1)
		}
	}
	exchange(t, seesBystander, other)
	exchange(t, seesBystander, other) // the other node answers what it was told of
	c.advance(settleTime)
	if isRefused(seesBystander, request("next", "system", "rare")) {
		t.Fatal("requests are refused with a part that a peer answered requests with")
	}
}

// Pattern: two parts explain the same number of crashes, some of them both. Neither may be quarantined before the next crash
// tells them apart.
func TestQuarantineWaitsWhileTwoPartsExplainAsMuch(t *testing.T) {
	for _, names := range [][2]string{{"bad", "rare"}, {"rare", "bad"}} {
		crashing, harmless := names[0], names[1]
		c := newClock()
		l := c.newList()
		for i, parts := range [][]string{{harmless}, {crashing, harmless}, {crashing, harmless}, {crashing}} {
			l.RecordAnswer("model", request("sound", "system"))
			for _, part := range parts {
				c.crashNow(l, uint64(i), request(fmt.Sprint(part, i), "system", part))
			}
			c.advance(200 * time.Millisecond)
		}
		c.advance(settleTime)
		if isRefused(l, request("next", "system", harmless)) || isRefused(l, request("next", "system", crashing)) {
			t.Fatal("requests are refused although two parts explain three crashes each")
		}
		c.crashNow(l, 4, request("fifth", "system", crashing))
		if !isRefused(l, request("next", crashing)) || isRefused(l, request("next", harmless)) {
			t.Fatal("after one more crash, not exactly the requests with the crashing part are refused")
		}
	}
}

// Pattern: the requests with the crashing part all have a second, rarely used part. Requests with that one alone are sound:
// they must be served at once, and the crashing part must also be found in other company.
func TestCompanionOfCrashingPartIsServed(t *testing.T) {
	c := newClock()
	l := c.newList()
	for i := range uint64(3) {
		l.RecordAnswer("model", request("sound", "system"))
		c.crashNow(l, i, request(fmt.Sprint("poison ", i), "system", "companion", "bad"))
		c.advance(200 * time.Millisecond)
	}
	c.advance(settleTime)
	if !isRefused(l, request("poison", "system", "companion", "bad")) {
		t.Fatal("requests with the crashing part are not refused")
	}
	if isRefused(l, request("sound", "system", "companion")) {
		t.Fatal("requests with the companion alone are refused")
	}
	l.RecordAnswer("model", request("sound", "system", "companion"))
	for i := range uint64(3) {
		if i > 0 && isRefused(l, request("poison", "system", "bad")) {
			return
		}
		c.crashNow(l, 10+i, request(fmt.Sprint("other poison ", i), "system", "bad"))
		c.advance(time.Second)
	}
	if !isRefused(l, request("poison", "system", "bad")) {
		t.Fatal("requests with the crashing part in other company are not refused after six crashes")
	}
}

// Pattern: a request without the part is sent to three servers in turn, all of which crash on requests with it, and is
// quarantined before its node hears of these. The crashes must still count against the part, and the request must be served
// once the part is known to explain them.
func TestRepeatedBystanderDoesNotHideTheCrashingPart(t *testing.T) {
	c := newClock()
	seesPoison, seesBystander := c.newList(), c.newList()
	bystander := request("bystander", "system")
	for i := range uint64(minCrashes) {
		for _, l := range []*List{seesPoison, seesBystander} {
			l.RecordAnswer("model", request("sound", "system"))
		}
		c.crashNow(seesPoison, i, request(fmt.Sprint("poison ", i), "system", "bad"))
		c.crashNow(seesBystander, i, bystander)
		c.advance(200 * time.Millisecond)
	}
	if !isRefused(seesBystander, bystander) {
		t.Fatal("a request that was at three crashed servers is sent")
	}
	exchange(t, seesBystander, seesPoison)
	exchange(t, seesPoison, seesBystander)
	for _, l := range []*List{seesPoison, seesBystander} {
		l.RecordAnswer("model", request("sound", "system"))
		c.crashNow(l, minCrashes, request("poison again", "system", "bad"))
	}
	c.advance(settleTime)
	exchange(t, seesPoison, seesBystander)
	exchange(t, seesBystander, seesPoison)
	c.advance(evaluationInterval)
	for i, l := range []*List{seesPoison, seesBystander} {
		if !isRefused(l, request("next", "bad")) {
			t.Errorf("node %d sends requests with the part after four crashes", i)
		}
		if isRefused(l, bystander) {
			t.Errorf("node %d refuses the request that was at the servers by chance", i)
		}
	}
}

// Pattern: a rare part is quarantined before the node hears that requests with the crashing part were at the same servers. As
// soon as the crashing part has one crash more, it must be quarantined, and the rare part must be served.
func TestWronglyQuarantinedPartIsReplaced(t *testing.T) {
	c := newClock()
	seesPoison, seesBystander := c.newList(), c.newList()
	for i := range uint64(minCrashes) {
		for _, l := range []*List{seesPoison, seesBystander} {
			l.RecordAnswer("model", request("sound", "system"))
		}
		c.crashNow(seesPoison, i, request(fmt.Sprint("poison ", i), "system", "bad"))
		c.crashNow(seesBystander, i, request(fmt.Sprint("bystander ", i), "system", "rare"))
		c.advance(200 * time.Millisecond)
	}
	c.advance(settleTime)
	if !isRefused(seesBystander, request("next", "rare")) {
		t.Fatal("requests with a part that was at three crashed servers are sent")
	}
	exchange(t, seesBystander, seesPoison)
	exchange(t, seesPoison, seesBystander)
	seesPoison.RecordAnswer("model", request("sound", "system"))
	c.crashNow(seesPoison, minCrashes, request("poison again", "system", "bad"))
	exchange(t, seesPoison, seesBystander)
	exchange(t, seesBystander, seesPoison)
	c.advance(evaluationInterval)
	for i, l := range []*List{seesPoison, seesBystander} {
		if !isRefused(l, request("next", "bad")) || isRefused(l, request("next", "rare")) {
			t.Errorf("node %d does not refuse exactly the requests with the crashing part after its fourth crash", i)
		}
	}
}

// Pattern: all requests with the crashing part have a second one, with which requests were answered until just before, but not
// between the crashes. The quarantine must not extend to it, nor wait for an answer with it longer than for five crashes.
func TestCompanionThatWasHarmlessIsServed(t *testing.T) {
	c := newClock()
	l := c.newList()
	l.RecordAnswer("model", request("sound", "companion"))
	c.advance(100 * time.Millisecond)
	for i := range uint64(certainCrashes) {
		l.RecordAnswer("model", request("sound", "system"))
		c.crashNow(l, i, request(fmt.Sprint("poison ", i), "companion", "bad"))
		c.advance(200 * time.Millisecond)
	}
	if !isRefused(l, request("next", "bad")) {
		t.Errorf("requests with the crashing part are sent after %d crashes", certainCrashes)
	}
	if isRefused(l, request("next", "companion")) {
		t.Error("requests with the companion alone are refused")
	}
}

// A quarantine that is no longer justified must end: one node sends a request as a trial, less and less often while the trials
// fail, and an answer ends the quarantine on all nodes.
func TestTrialEndsQuarantine(t *testing.T) {
	c := newClock()
	trialNode, other := c.newList(), c.newList()
	other.IsTrialNode = func() bool { return false }
	for i := range uint64(5) {
		trialNode.RecordAnswer("model", request("sound", "system"))
		c.crashNow(trialNode, i, request(fmt.Sprint("poison ", i), "system", "bad"))
		c.advance(200 * time.Millisecond)
	}
	start := c.now
	var trialTimes []time.Duration
	server := uint64(100)
	for c.now.Sub(start) < 10*time.Minute {
		c.advance(500 * time.Millisecond)
		exchange(t, trialNode, other)
		if refusal, isTrial := other.Check(request("poison", "bad"), true); refusal == nil || isTrial {
			t.Fatalf("the other node sends a request after %s", c.now.Sub(start))
		}
		refusal, isTrial := trialNode.Check(request("poison", "bad"), true)
		if isTrial != (refusal == nil) {
			t.Fatalf("refusal %+v, trial %v after %s", refusal, isTrial, c.now.Sub(start))
		}
		if isTrial {
			trialTimes = append(trialTimes, c.now.Sub(start).Round(10*time.Second))
			server++
			c.crashNow(trialNode, server, request(fmt.Sprint("trial ", server), "bad"))
		}
	}
	if want := "[1m0s 3m0s 7m0s]"; fmt.Sprint(trialTimes) != want {
		t.Fatalf("trials after %v, want %s", trialTimes, want)
	}
	trialNode.RecordAnswer("model", request("trial", "bad"))
	c.advance(time.Second)
	exchange(t, trialNode, other)
	c.advance(time.Second)
	for i, l := range []*List{trialNode, other} {
		if isRefused(l, request("sound again", "bad")) {
			t.Errorf("node %d still refuses requests after an answered trial", i)
		}
	}
}
