package relaynode

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"chestnutrudder.example/rudder/backend"
	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/mesh"
	"chestnutrudder.example/rudder/objectapi/objectapitest"
	"chestnutrudder.example/rudder/relay"
	"chestnutrudder.example/rudder/telemetry"
	"chestnutrudder.example/rudder/traffic"
)

// newNewsNode returns a node that knows one server of a service, and has not started.
func newNewsNode(t *testing.T, name, failureDomain string) *node {
	t.Helper()
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		t.Fatal(err)
	}
	s := Settings{
		Node: name, FailureDomain: failureDomain, FailureDomains: []string{"a", "b"}, MeshAddress: "127.0.0.1:1", MemoryLimitBytes: 100 << 20,
		RevocationBound: 3 * time.Second, LeaseDuration: 3 * time.Second,
	}
	n := newNode(s, Platform{Store: objectapitest.NewMemoryStore(), Dialect: &relay.Dialect{}}, metrics, telemetry.NewLogger(io.Discard, slog.LevelInfo, name))
	n.backends.Put(backend.Entry{ID: "s1", Service: "model", Address: "127.0.0.1:1", Slots: 1, StartUnixMillis: 5})
	return n
}

// Guards against an announcement of a leaving server that reaches other failure domains only with digests and summaries: at
// 99 nodes, a request reached a server 2,710 ms after it had announced its leaving.
func TestAnnouncedLeavingIsNews(t *testing.T) {
	sender, receiver := newNewsNode(t, "n1", "a"), newNewsNode(t, "n2", "b")
	p, refusal := sender.backends.Place(backend.Request{Service: "model"}, 0)
	if refusal != nil {
		t.Fatal(refusal.Reason)
	}
	if d, isNew := sender.composeNews(false); d != nil || isNew {
		t.Fatalf("a node without news sends %+v, want none", d)
	}
	p.RecordDeparture("r", []string{"1"})
	d, isNew := sender.composeNews(false)
	if d == nil || !isNew || len(d.Departures) != 1 || d.BootClockMillis == 0 || d.Loads != nil {
		t.Fatalf("after an announcement, news are %+v, new: %t, want the departure without loads", d, isNew)
	}
	receiver.handleDigest(&mesh.Member{Digest: *d, IsSummarized: true})
	if got := receiver.backends.CountRunners("model")[""].Leaving; got != 1 {
		t.Error("the receiver of the news does not know that the server leaves")
	}
	if d, isNew := sender.composeNews(false); d != nil || isNew {
		t.Errorf("the announcement is sent again as %+v, want once", d)
	}
	if d, _ := receiver.composeNews(false); d != nil {
		t.Errorf("a node that was told sends %+v, want none", d)
	}
}

// Pattern: all nodes start at once, and the clocks of peers are known only after the node's own confirmation of the configuration
// has expired: 93 of 99 nodes were not ready for 0.3 s. The node has to ask once more, and only once its confirmation grows old.
func TestNodeAsksAgainUntilAPeerConfirms(t *testing.T) {
	n := newNewsNode(t, "n1", "a")
	n.currentConfig.Apply(&traffic.Config{Version: 1})
	for _, c := range []struct {
		age          time.Duration
		hasPeerProof bool
		want         bool
	}{
		{100 * time.Millisecond, false, false}, {unprovenPeersAge + 100*time.Millisecond, false, true},
		{n.relay.StalenessLimits.Send + time.Second, false, false}, {unprovenPeersAge + 100*time.Millisecond, true, false},
	} {
		n.currentConfig = traffic.NewCurrentConfig()
		n.currentConfig.Apply(&traffic.Config{Version: 1})
		n.currentConfig.ConfirmNewest(1, boottime.Now().Add(-c.age))
		n.configSync.hasPeerProof = c.hasPeerProof
		if got := n.lacksPeerProof(); got != c.want {
			t.Errorf("node asks again: %t with a confirmation of %s, confirmed by a peer: %t; want %t", got, c.age, c.hasPeerProof, c.want)
		}
	}
	n.currentConfig = traffic.NewCurrentConfig()
	n.configSync.hasPeerProof = false
	if n.lacksPeerProof() {
		t.Error("a node whose configuration was never confirmed asks again as one that only lacks peers")
	}
}

// Guards against a last node of hundreds that calls an object API that is back only much later than the others.
func TestPauseDuringOutageDoesNotGrowWithFleet(t *testing.T) {
	for _, preceding := range []int{100, 300, 3000} {
		if pause := outageCallInterval(preceding); pause > maxOutageCallInterval {
			t.Errorf("node with %d preceding ones pauses for %s, want at most %s", preceding, pause, maxOutageCallInterval)
		}
	}
	const nodes, allowed = 300, 110
	callsPerSecond := 0.0
	for preceding := outageProbers; preceding < nodes; preceding++ {
		callsPerSecond += 1 / outageCallInterval(preceding).Seconds()
	}
	if callsPerSecond > allowed {
		t.Errorf("%d nodes make %.0f calls a second, want at most %d", nodes, callsPerSecond, allowed)
	}
	t.Logf("%d nodes beside the first ones make %.0f calls a second", nodes, callsPerSecond)
}
