package culprit

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// exchange passes the report of each list to all others, encoded as on the wire.
func exchange(t *testing.T, lists ...*List) {
	t.Helper()
	for i, from := range lists {
		data, err := cbor.Marshal(from.FullReport())
		if err != nil {
			t.Fatal(err)
		}
		for j, to := range lists {
			var r *Report
			if err := cbor.Unmarshal(data, &r); err != nil {
				t.Fatal(err)
			}
			if i != j {
				to.Apply(r)
			}
		}
	}
}

// Pattern: many servers crash within the time that crashes count, each with many requests. The report must leave room in a
// datagram for the rest of a digest, and must still tell the part that all crashes have in common.
func TestReportOfManyCrashesFitsDatagram(t *testing.T) {
	const maxBytes = 65507 / 2
	c := newClock()
	l := c.newList()
	for server := range uint64(maxCrashes) {
		for i := range maxSuspectsOfKind {
			traits := request(fmt.Sprint("content ", server, i), fmt.Sprint("document ", (7*int(server)+i)%400))
			if server%2 == 0 && i%2 == 0 {
				l.RecordAnswer("model", traits)
			}
			c.crashNow(l, server, traits)
		}
		c.crashNow(l, server, request(fmt.Sprint("poison ", server), "bad"))
	}
	r := l.FullReport()
	data, err := cbor.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	if len(data) > maxBytes {
		t.Errorf("report of %d crashes has %d bytes, want at most %d", maxCrashes, len(data), maxBytes)
	}
	for _, crash := range r.Crashes {
		if !slices.ContainsFunc(crash.Suspects, func(s Suspect) bool { return s.Trait == PartTrait("bad") }) && crash.ExplainedBy == 0 {
			t.Fatalf("the crash of server %d is reported without the part of its request, with %d other traits", crash.Server, len(crash.Suspects))
		}
	}
}

// Guards against reports that grow with the number of nodes: where all nodes hear of each other, each tells only what it has
// seen itself, and the quarantines. A node that relays tells the rest too.
func TestReportHoldsWhatNodeHasSeen(t *testing.T) {
	c := newClock()
	sees, hears, relays := c.newList(), c.newList(), c.newList()
	relays.RelaysPeers = func() bool { return true }
	c.crashNow(sees, 1, request("poison", "document", "bad"))
	c.advance(100 * time.Millisecond)
	sees.RecordAnswer("model", request("sound", "document"))
	exchange(t, sees, hears, relays)
	for name, l := range map[string]*List{"sees": sees, "relays": relays} {
		if r := l.FullReport(); r == nil || len(r.Crashes) != 1 || len(r.Crashes[0].Suspects) != 2 {
			t.Errorf("node that %s the crash reports %+v, want it with the 2 traits that are not answered", name, r)
		}
	}
	if r := sees.FullReport(); len(r.Answers) != 1 {
		t.Errorf("node that saw the answer reports %+v, want the answer", r)
	}
	if r := hears.FullReport(); !r.IsEmpty() {
		t.Errorf("node that only hears of the crash reports %+v, want nothing", r)
	}
}

// Pattern: a server crashes with so many requests that not all of their traits are kept, and the one with the crashing part
// is recorded last.
func TestPartIsKeptBesideManyContents(t *testing.T) {
	c := newClock()
	l := c.newList()
	for server := range uint64(certainCrashes) {
		l.RecordAnswer("model", request("sound", "system"))
		for i := range 2 * maxSuspectsOfKind {
			c.crashNow(l, server, request(fmt.Sprint("bystander ", server, i), "system"))
		}
		c.crashNow(l, server, request(fmt.Sprint("poison ", server), "system", "bad"))
		c.advance(200 * time.Millisecond)
	}
	if !isRefused(l, request("next", "bad")) {
		t.Errorf("requests with the part are sent after %d crashes", certainCrashes)
	}
}

// A quarantine with an impossible number, from a digest or a record in the object API, ended the process at its next trial
// or refused requests for ever.
func TestImpossibleNumbersInQuarantineReports(t *testing.T) {
	traits := []Trait{PartTrait("a"), PartTrait("b")}
	for _, q := range []QuarantineReport{
		{Trials: -2}, {Trials: math.MinInt}, {Trials: math.MaxInt - 1}, {TrialInMillis: math.MaxInt64}, {TrialInMillis: math.MinInt64}, {TrialInMillis: 1e17},
		{AgeMillis: math.MaxInt64}, {ClearAgeMillis: math.MaxInt64}, {MatchAgeMillis: math.MaxInt64}, {MatchAgeMillis: 1e16}, {MatchAgeMillis: math.MinInt64}, {AgeMillis: -1},
	} {
		c := newClock()
		l := c.newList()
		q.Traits = traits
		l.Apply(&Report{Quarantines: []QuarantineReport{q}})
		isTried := false
		for range 2 * maxTrialInterval / time.Minute {
			c.advance(time.Minute)
			refusal, isTrial := l.Check(traits, true)
			isTried = isTried || isTrial || refusal == nil
		}
		if !isTried {
			t.Errorf("the quarantine %+v refuses requests for %s without a trial", q, 2*maxTrialInterval)
		}
	}
}
