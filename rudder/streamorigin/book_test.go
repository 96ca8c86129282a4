package streamorigin

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/boottime"
)

// testBook is a book whose clock the test sets.
type testBook struct {
	*Book
	clock boottime.Instant
}

func newTestBook() *testBook {
	b := &testBook{Book: New(slog.New(slog.DiscardHandler)), clock: boottime.Instant(time.Hour)}
	b.now = func() boottime.Instant { return b.clock }
	return b
}

// find returns the version that Find tells, or "refused".
func (b *testBook) find(attempt string) string {
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if o, found := b.Find(ctx, attempt, "s"); found {
		return o.Version
	}
	return "refused"
}

func (b *testBook) observe(versions ...string) {
	b.ObserveVersions(map[string][]string{"s": versions})
}

// Guards against a stream that goes on at the only version that is left although another one may have begun it.
func TestUnknownStreamGoesOnOnlyWhereAllStreamsBegan(t *testing.T) {
	b := newTestBook()
	if got := b.find("x"); got != "refused" {
		t.Errorf("no version: %s", got)
	}
	b.observe("v1")
	if got := b.find("x"); got != "v1" {
		t.Errorf("one version: %s, want v1", got)
	}
	b.observe("v1", "v2")
	if got := b.find("x"); got != "refused" {
		t.Errorf("two versions: %s, want a refusal", got)
	}
	for b.clock = b.clock.Add(Retention / 2); ; b.clock = b.clock.Add(time.Second) {
		b.observe("v2")
		got := b.find("x")
		if got == "v1" || got == "v2" && b.clock.Sub(boottime.Instant(time.Hour)) <= Retention {
			t.Fatalf("%s after v1 has left: %s", b.clock.Sub(boottime.Instant(time.Hour)), got)
		}
		if got == "v2" {
			break
		}
	}
}

// Guards against a node that takes the versions that it knows for all, while it is cut off or does not know what was before
// its start.
func TestNodeThatIsBehindReadsTheRecords(t *testing.T) {
	b := newTestBook()
	reads, away := 0, true
	b.Refresh = func(context.Context) error {
		reads++
		if away {
			return errors.New("object API is away")
		}
		b.SetLoaded()
		return nil
	}
	b.observe("v1")
	if got := b.find("x"); got != "refused" || reads != 1 {
		t.Errorf("records of before the start unknown: %s after %d readings, want a refusal after one", got, reads)
	}
	away = false
	if got := b.find("x"); got != "v1" {
		t.Errorf("records read: %s, want v1", got)
	}
	reads = 0
	if got := b.find("x"); got != "v1" || reads != 1 {
		t.Errorf("in touch: %s after %d readings, want v1 after one that began when the caller came", got, reads)
	}
	away = true
	var heardSince boottime.Instant
	isHeard := true
	b.HasHeardPeersSince = func(t boottime.Instant) bool { heardSince = t; return isHeard }
	if got := b.find("x"); got != "v1" || heardSince != b.clock {
		t.Errorf("object API away, peers heard since %d: %s, want v1 once they are heard since %d", heardSince, got, b.clock)
	}
	isHeard = false
	if got := b.find("x"); got != "refused" {
		t.Errorf("cut off: %s, want a refusal", got)
	}
	b.Begin("own", Origin{"s", "v1"})
	if got := b.find("own"); got != "v1" {
		t.Errorf("cut off, own stream: %s, want v1", got)
	}
}

// Guards against a caller that is refused because it comes back at another node sooner than the report of the first one.
func TestCallerWaitsForTheReportOfItsStream(t *testing.T) {
	b := newTestBook()
	b.SetLoaded()
	b.observe("v1", "v2")
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	refreshed := make(chan struct{})
	b.Refresh = func(context.Context) error { close(refreshed); return nil }
	go func() {
		<-refreshed
		b.ApplyReports([]Report{{Service: "s", Version: "v2", Attempts: []string{"x"}}})
	}()
	if o, found := b.Find(ctx, "x", "s"); !found || o.Version != "v2" {
		t.Errorf("origin %+v, found %t, want v2", o, found)
	}
}

// Guards against streams of a time with one version that nobody knows any more when a second one has come.
func TestPeersAndRecordsLearnOfEarlierStreamsWhenASecondVersionComes(t *testing.T) {
	b, peer, restarted := newTestBook(), newTestBook(), newTestBook()
	b.observe("v1")
	for i := range 3 * maxReportedStreams / 2 {
		b.Begin(fmt.Sprint("stream", i), Origin{"s", "v1"})
	}
	if reports := b.TakeReports(); reports != nil {
		t.Errorf("%d reports while there is one version, want none", len(reports))
	}
	if _, needsWrite, hasStreams := b.TakeRecord(); !needsWrite || hasStreams {
		t.Errorf("first record: to be written %t, streams %t, want the versions only", needsWrite, hasStreams)
	}
	if _, needsWrite, _ := b.TakeRecord(); needsWrite {
		t.Error("the record is to be written again although nothing has changed")
	}
	b.observe("v1", "v2")
	peer.observe("v1", "v2")
	for reports := b.TakeReports(); reports != nil; reports = b.TakeReports() {
		if n := len(reports[0].Attempts); len(reports) != 1 || n > maxReportedStreams {
			t.Errorf("%d reports, the first of %d streams, want one of at most %d", len(reports), n, maxReportedStreams)
		}
		peer.ApplyReports(reports)
	}
	record, needsWrite, hasStreams := b.TakeRecord()
	if !needsWrite || !hasStreams {
		t.Errorf("record of two versions: to be written %t, streams %t, want both", needsWrite, hasStreams)
	}
	data, err := json.Marshal(record)
	if err != nil {
		t.Fatal(err)
	}
	var read Record
	if err := json.Unmarshal(data, &read); err != nil {
		t.Fatal(err)
	}
	restarted.ApplyRecord(read, true)
	for _, attempt := range []string{"stream0", "stream599"} {
		if got, again := peer.find(attempt), restarted.find(attempt); got != "v1" || again != "v1" {
			t.Errorf("%s: peer %s, restarted node %s, want v1", attempt, got, again)
		}
	}
	if record, _, _ := restarted.TakeRecord(); len(record.Streams) != 1 || len(record.Streams[0].Attempts) != 600 {
		t.Error("the restarted node does not keep its streams on record")
	}
	b.ForgetRecord()
	if _, needsWrite, _ := b.TakeRecord(); !needsWrite {
		t.Error("a record that was lost is not written again")
	}
}

// Guards against memory without bound, and against callers who make a node forget the streams of others or take another
// origin for theirs.
func TestBookIsBounded(t *testing.T) {
	b := newTestBook()
	b.observe("v1", "v2")
	for _, attempt := range []string{"", strings.Repeat("x", MaxAttemptBytes+1)} {
		b.Begin(attempt, Origin{"s", "v1"})
		b.ApplyReports([]Report{{Service: "s", Version: "v1", Attempts: []string{attempt}}})
		if got := b.find(attempt); got != "refused" {
			t.Errorf("attempt of %d bytes: %s, want a refusal", len(attempt), got)
		}
	}
	b.Begin("first", Origin{"s", "v1"})
	b.Begin("first", Origin{"s", "v2"})
	b.ApplyReports([]Report{{Service: "s", Version: "v2", Attempts: []string{"first"}}})
	if got := b.find("first"); got != "v1" {
		t.Errorf("origin of an id that is used again: %s, want the first one, v1", got)
	}
	for i := range 1000 {
		b.find(fmt.Sprint("unknown", i))
	}
	var attempts []string
	for i := range maxPeerStreams + 10 {
		attempts = append(attempts, fmt.Sprint("peer", i))
	}
	b.ApplyReports([]Report{{Service: "s", Version: "v1", Attempts: attempts}})
	for i := range maxOwnStreams + 10 {
		b.Begin(fmt.Sprint("own", i), Origin{"s", "v2"})
	}
	if len(b.own.entries) != maxOwnStreams || len(b.own.order) != maxOwnStreams || len(b.peers.entries) != maxPeerStreams || len(b.unreported) > maxOwnStreams {
		t.Errorf("%d own streams (%d in order), %d of peers, %d unreported", len(b.own.entries), len(b.own.order), len(b.peers.entries), len(b.unreported))
	}
	if record, _, _ := b.TakeRecord(); len(record.Streams[0].Attempts) != maxRecordedStreams || record.Streams[0].Attempts[0] != fmt.Sprint("own", maxOwnStreams+9) {
		t.Errorf("record of %d streams, the first one %s, want the latest %d", len(record.Streams[0].Attempts), record.Streams[0].Attempts[0], maxRecordedStreams)
	}
	for i := range 10 * maxVersions {
		b.observe(fmt.Sprint("w", i))
	}
	if n := len(b.versions["s"]); n > maxVersions {
		t.Errorf("%d versions are remembered, want at most %d", n, maxVersions)
	}
	b.clock = b.clock.Add(Retention + time.Second)
	b.observe("v1")
	if got := b.find("own500"); got != "v1" {
		t.Errorf("stream of long ago: %s, want it to be taken for one of the only version", got)
	}
	b.Begin("own500", Origin{"s", "v2"})
	if got := b.find("own500"); got != "v2" {
		t.Errorf("id that is used again after long: %s, want v2", got)
	}
	for i := range maxOwnStreams + 10 {
		b.Begin(fmt.Sprint("again", i), Origin{"s", "v2"})
	}
	if len(b.own.entries) != maxOwnStreams || len(b.own.order) != maxOwnStreams {
		t.Errorf("%d own streams, %d in order, after old ones were replaced", len(b.own.entries), len(b.own.order))
	}
}

// Guards against a stream in use that is forgotten before its caller has stopped coming back.
func TestStreamInUseIsKept(t *testing.T) {
	b := newTestBook()
	b.observe("v1", "v2")
	b.Begin("long", Origin{"s", "v1"})
	for i := range 20 {
		b.clock = b.clock.Add(Retention / 3)
		b.observe("v1", "v2")
		b.Begin(fmt.Sprint("other", i), Origin{"s", "v2"})
		if got := b.find("long"); got != "v1" {
			t.Fatalf("after %d uses: %s, want v1", i, got)
		}
	}
}
