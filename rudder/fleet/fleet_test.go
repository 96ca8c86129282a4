package fleet

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"chestnutrudder.example/rudder/cloud"
	"chestnutrudder.example/rudder/membership"
	"chestnutrudder.example/rudder/objectapi"
	"chestnutrudder.example/rudder/objectapi/objectapitest"
)

func host(name string, state cloud.HostState) cloud.Host {
	return cloud.Host{Name: name, FailureDomain: "d", State: state}
}

func joinNames(hosts []cloud.Host) string {
	joined := ""
	for _, h := range hosts {
		joined += h.Name + " "
	}
	return joined
}

// TestHostListNeverRevokesNotice guards against new work for a leaving host that a lagging host list still shows as
// live.
func TestHostListNeverRevokesNotice(t *testing.T) {
	table := NewTable()
	a, b := host("a", cloud.HostLive), host("b", cloud.HostLive)
	table.Update([]cloud.Host{a, b})
	table.MarkLeaving("a", time.Now().Add(time.Second))
	table.MarkLeaving("unlisted", time.Now().Add(time.Second))
	for _, list := range [][]cloud.Host{{a, b}, {b}, {a, b, host("unlisted", cloud.HostLive)}, {host("b", cloud.HostLeaving)}, {a, b}} {
		table.Update(list)
	}
	if serving := table.ServingHosts(); len(serving) != 0 {
		t.Errorf("serving hosts: %s, expected none", joinNames(serving))
	}
}

// TestUnlistedHostStaysWhileItAnswers guards against losing running hosts through gaps in the host list, and against
// work for hosts that no longer exist.
func TestUnlistedHostStaysWhileItAnswers(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable()
	table.now = func() time.Time { return now }
	table.Update([]cloud.Host{host("answering", cloud.HostLive), host("silent", cloud.HostLive)})
	table.ReportPollResult("silent", false)
	now = now.Add(2 * time.Second)
	if !table.IsUnresponsive("silent") || table.IsUnresponsive("answering") {
		t.Error("only the host that does not answer should be unresponsive")
	}
	table.Update(nil)
	if got := joinNames(table.ServingHosts()); got != "answering " {
		t.Errorf("serving hosts: %s, expected the answering one", got)
	}
	now = now.Add(unlistedGracePeriod + time.Second)
	table.Update(nil)
	if got := joinNames(table.ServingHosts()); got != "" {
		t.Errorf("serving hosts: %s, expected none after the grace period", got)
	}
}

// TestWaveNeedsSeveralHosts guards against avoiding a failure domain because of a single reclaim, and against moving
// work into one in which several hosts are being reclaimed.
func TestWaveNeedsSeveralHosts(t *testing.T) {
	table := NewTable()
	table.Update([]cloud.Host{host("a", cloud.HostLive), host("b", cloud.HostLive)})
	table.MarkLeaving("a", time.Now())
	if table.DomainsInWave()["d"] {
		t.Error("one notice counts as a wave")
	}
	table.MarkLeaving("b", time.Now())
	if !table.DomainsInWave()["d"] {
		t.Error("two notices do not count as a wave")
	}
}

// TestNoticeReachesOtherNodesThroughRecords guards against a notice that only the node that got it knows, and against a
// sender whose clock is ahead and thereby prolongs a notice.
func TestNoticeReachesOtherNodesThroughRecords(t *testing.T) {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	tables := []*Table{NewTable(), NewTable()}
	records := []*membership.Records{membership.NewRecords(), membership.NewRecords()}
	for i := range tables {
		members := membership.NewTable(membership.Node{Name: "n", FailureDomain: "d"})
		(&NoticeDistributor{Table: tables[i], Members: members, Records: records[i], Log: log}).Start()
	}
	tables[0].markLeaving("a", "d", time.Now().Add(time.Hour))
	noticeRecords := records[0].List(membership.RecordHostNotice)
	if len(noticeRecords) != 1 {
		t.Fatalf("%d notice records, expected 1", len(noticeRecords))
	}
	records[1].Merge(noticeRecords[0])
	if at, leaving := tables[1].LeavingAt("a"); !leaving || time.Until(at) > time.Hour {
		t.Errorf("second node: host is leaving: %v at %v, expected true within an hour", leaving, at)
	}
}

// TestLostNoticeIsSavedAgain guards against a host that gets work from a node that starts after the object API has lost its
// notice, and against saving notices that are older than a copy of the object API.
func TestLostNoticeIsSavedAgain(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	store, records := objectapitest.NewMemoryStore(), membership.NewRecords()
	emptyCopy := store.Copy()
	n := &NoticeDistributor{
		Table: NewTable(), Members: membership.NewTable(membership.Node{Name: "n", FailureDomain: "d"}), Records: records, Store: store,
		Log: slog.New(slog.DiscardHandler),
	}
	n.Start()
	n.Table.markLeaving("old", "d", time.Now().Add(-maxCopyAge-time.Minute))
	n.Table.markLeaving("new", "d", time.Now().Add(time.Hour))
	old := NoticeRecord{FailureDomain: "d", LeavingAtUnixMillis: time.Now().Add(-maxCopyAge - time.Minute).UnixMilli()}
	if err := records.Put(membership.RecordHostNotice+"old", 2, old); err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() { defer close(done); n.saveNotices(ctx) }()
	waitForNotices := func(want int) []objectapi.Object {
		// The limit only ends a test that would hang.
		for started := time.Now(); ; time.Sleep(time.Millisecond) {
			listing, err := store.List(ctx, noticeKeyPrefix)
			if err == nil && len(listing.Objects) == want {
				return listing.Objects
			}
			if time.Since(started) > 10*time.Second {
				t.Fatalf("%d notices are stored, expected %d", len(listing.Objects), want)
			}
		}
	}
	waitForNotices(2)
	store.Restore(emptyCopy)
	records.AnnounceEpoch(1)
	if stored := waitForNotices(1); stored[0].Key != noticeKeyPrefix+"new" {
		t.Errorf("%s was saved again, expected the notice of the host new", stored[0].Key)
	}
	cancel()
	<-done
}
