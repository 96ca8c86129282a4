package relaynode

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"chestnutrudder.example/rudder/backend"
	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/mesh"
	"chestnutrudder.example/rudder/objectapi"
	"chestnutrudder.example/rudder/relay"
	"chestnutrudder.example/rudder/telemetry"
	"chestnutrudder.example/rudder/traffic"
)

// followingNode is a node that relies on some peers, which come before it by name, for the configuration. It has version 1,
// confirmed now. The peers are heard all the time; whether the object API answers them, hasAnswers tells.
type followingNode struct {
	*node
	staleReads   atomic.Int64
	staleVersion atomic.Int64 // version that GetStale returns
	hasAnswers   atomic.Bool
}

func startFollowingNode(t *testing.T, peers int) *followingNode {
	t.Helper()
	name := fmt.Sprintf("n%d", peers)
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	t.Cleanup(func() { cancel(); tasks.Wait() })
	f := &followingNode{node: &node{
		settings: Settings{Node: name}, log: slog.New(slog.DiscardHandler), logger: telemetry.NewLogger(io.Discard, slog.LevelInfo, name),
		currentConfig: traffic.NewCurrentConfig(), relay: &relay.Server{StalenessLimits: relay.StalenessLimits{Send: 4 * time.Second}},
		configSync: configSync{newerVersion: make(chan struct{}, 1)}, configTiming: newConfigTiming(0), configWatcher: &objectapi.Watcher{},
	}}
	f.hasAnswers.Store(true)
	f.currentConfig.Apply(&traffic.Config{Version: 1})
	f.currentConfig.ConfirmNewest(1, boottime.Now())
	f.platform = Platform{
		ConfigKey: "config/main",
		DecodeConfig: func(raw json.RawMessage) (*traffic.Config, error) {
			var version int64
			err := json.Unmarshal(raw, &version)
			return &traffic.Config{Version: version}, err
		},
		GetStale: func(context.Context, string) (objectapi.Object, error) {
			f.staleReads.Add(1)
			return objectapi.Object{Key: "config/main", Value: json.RawMessage(fmt.Sprint(f.staleVersion.Load()))}, nil
		},
	}
	listen := func() (net.PacketConn, string) {
		conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		return conn, conn.LocalAddr().String()
	}
	conn, address := listen()
	digestOf := func(name string) func() mesh.Digest {
		return func() mesh.Digest {
			d := mesh.Digest{Node: name, Incarnation: 1, State: mesh.Ready, BootClockMillis: time.Duration(boottime.Now()).Milliseconds()}
			if f.hasAnswers.Load() {
				d.ConfigAnswerAgeMillis = 1
			}
			return d
		}
	}
	f.mesh = mesh.New(address, nil, digestOf(name), func(*mesh.Member) {}, slog.New(slog.DiscardHandler))
	tasks.Go(func() { f.mesh.Run(ctx, conn) })
	for i := range peers {
		peerConn, peerAddress := listen()
		peer := mesh.New(peerAddress, []string{address}, digestOf(fmt.Sprintf("n%d", i)), func(*mesh.Member) {}, slog.New(slog.DiscardHandler))
		tasks.Go(func() { peer.Run(ctx, peerConn) })
	}
	tasks.Go(func() { f.readNewerConfigs(ctx) })
	waitFor(t, 30*time.Second, "the node hears that its peers get answers", func() bool {
		return f.countPrecedingByName() == peers && f.pollerView().second > 0
	})
	return f
}

// Pattern: the configuration changes while hundreds of nodes watch it. A watch at each node costs one call of each node for
// each change. Nodes that rely on pollers must not call, and must take a newer configuration from a cheap read.
func TestNewerConfigurationOfPeerIsReadWithoutWatch(t *testing.T) {
	f := startFollowingNode(t, configPollers)
	f.currentConfig.ConfirmNewest(1, boottime.Now())
	if !f.isConfigWatchSuspended() {
		t.Fatal("node watches the configuration while peers confirm it")
	}
	f.staleVersion.Store(3)
	f.noteConfigVersion(3)
	f.noteConfigVersion(3)
	f.noteConfigVersion(2)
	waitFor(t, 30*time.Second, "version 3 is in force", func() bool { return f.currentConfig.Config().Version == 3 })
	f.currentConfig.ConfirmNewest(3, boottime.Now())
	if !f.isConfigWatchSuspended() {
		t.Error("node watches the configuration although it has the newest one")
	}
	if reads := f.staleReads.Load(); reads != 1 {
		t.Errorf("node made %d reads for one newer version, want 1", reads)
	}
}

// Guards against nodes that rely on pollers which have lost the object API and are still heard. The next node must poll in their place,
// and must not take its own answer for a sign that others poll.
func TestNodePollsWhilePollersGetNoAnswers(t *testing.T) {
	f := startFollowingNode(t, configPollers)
	if !f.isConfigWatchSuspended() {
		t.Fatal("node watches the configuration while peers poll it")
	}
	f.hasAnswers.Store(false)
	waitFor(t, 30*time.Second, "the node polls", func() bool {
		f.currentConfig.ConfirmNewest(1, boottime.Now()) // peers that are behind go on confirming
		return !f.isConfigWatchSuspended()
	})
	f.recordConfigAnswer(boottime.Now(), objectapi.Version{Number: 1})
	f.currentConfig.ConfirmNewest(1, boottime.Now())
	if f.isConfigWatchSuspended() {
		t.Error("node stops polling after its own answer")
	}
	f.hasAnswers.Store(true)
	waitFor(t, 30*time.Second, "the node relies on its peers again", f.isConfigWatchSuspended)
}

// A read that may return old data can miss the newer configuration. The node must then ask for the newest.
func TestOldConfigurationIsNotAccepted(t *testing.T) {
	f := startFollowingNode(t, configPollers)
	f.staleVersion.Store(1)
	f.noteConfigVersion(2)
	waitFor(t, 30*time.Second, "the node watches the configuration", func() bool {
		f.currentConfig.ConfirmNewest(1, boottime.Now())
		return !f.isConfigWatchSuspended()
	})
	if reads := f.staleReads.Load(); reads != 1 {
		t.Errorf("node made %d reads before it watches, want 1", reads)
	}
}

// Pattern: the object API is down and hundreds of nodes find that nobody confirms the configuration. When no node is ready,
// each of 195 nodes called more than once a second.
func TestCallsDuringOutageAreBounded(t *testing.T) {
	const nodes = 195
	callsPerSecond := 0.0
	for preceding := outageProbers; preceding < nodes; preceding++ {
		callsPerSecond += 1 / outageCallInterval(preceding).Seconds()
	}
	if callsPerSecond > nodes/3 {
		t.Errorf("nodes that come after the first %d make %.0f calls per second, want at most %d", outageProbers, callsPerSecond, nodes/3)
	}
	if outageCallInterval(outageProbers-1) != 0 {
		t.Error("the first nodes wait between two calls")
	}
	if longest := outageCallInterval(nodes); longest > 10*time.Second {
		t.Errorf("the last node waits %s between two calls, want at most 10 s", longest)
	}
}

// Three nodes of each failure domain have records, so that a starting node finds one of them.
func TestFirstNodesOfFailureDomainHaveRecords(t *testing.T) {
	var members []*mesh.Member
	for i := range 10 {
		members = append(members, &mesh.Member{Digest: mesh.Digest{Node: fmt.Sprintf("n%d", i), FailureDomain: []string{"a", "b"}[i%2], State: mesh.Ready}})
	}
	members[0].State = mesh.Draining
	var withRecord []string
	for _, m := range members {
		if needsRecord(m.Node, m.FailureDomain, members) {
			withRecord = append(withRecord, m.Node)
		}
	}
	if got := fmt.Sprint(withRecord); got != "[n0 n1 n2 n3 n4 n5 n6]" {
		t.Errorf("nodes with records are %s, want the first three that do not stop of each failure domain, and n0 itself", got)
	}
}

// An object API that was restored from an older copy returned an older configuration, and its answers confirmed the one in
// force for ever: a newer one, with a revoked key, had been lost, and nobody asked for it.
func TestRestoredConfigurationConfirmsNothing(t *testing.T) {
	f := startFollowingNode(t, configPollers)
	listing := func(epoch int64, version int64) objectapi.Listing {
		return objectapi.Listing{
			Revision: objectapi.Version{Epoch: epoch, Number: 10},
			Objects:  []objectapi.Object{{Key: "config/main", Value: json.RawMessage(fmt.Sprint(version))}},
		}
	}
	isConfirmedBy := func(l objectapi.Listing) bool {
		f.applyConfigListing(l, boottime.Now())
		sentAt := boottime.Now()
		f.confirmConfig(sentAt, l.Revision)
		f.notePeerConfig(&mesh.Member{Digest: mesh.Digest{ConfigVersion: 1}}) // an answer is held until a peer was heard
		return f.currentConfig.ConfirmedAt() == sentAt
	}
	if !isConfirmedBy(listing(1, 5)) {
		t.Error("the newest configuration is not confirmed")
	}
	f.noteConfigVersion(8) // known to a peer
	if isConfirmedBy(listing(2, 5)) {
		t.Error("version 5 is confirmed though a peer has version 8, which is lost")
	}
	if !isConfirmedBy(listing(2, 8)) || f.currentConfig.Config().Version != 8 {
		t.Error("version 8 is not confirmed after it was written again")
	}
	if isConfirmedBy(listing(3, 5)) || f.currentConfig.Config().Version != 8 {
		t.Error("version 8 is replaced or confirmed by the copy with version 5")
	}
	confirmedAt := f.currentConfig.ConfirmedAt()
	f.currentConfig.ConfirmNewest(5, boottime.Now())
	if f.currentConfig.ConfirmedAt() != confirmedAt {
		t.Error("a peer that holds version 5 confirms version 8")
	}
	if isConfirmedBy(objectapi.Listing{Revision: objectapi.Version{Epoch: 4, Number: 1}}) {
		t.Error("a copy without a configuration confirms one")
	}
	if !isConfirmedBy(listing(4, 9)) {
		t.Error("version 9 is not confirmed")
	}
}

// A node that started after the object API had come back from an older copy, or had been cut off meanwhile, confirmed the old
// configuration before it heard of the newer one, and a revoked key worked for seconds.
func TestRestoredConfigurationIsNotConfirmedBeforePeersAreHeard(t *testing.T) {
	for name, c := range map[string]struct{ isRunning, isFirstStart bool }{
		"started after the restore": {},
		"cut off":                   {isRunning: true},
		"first start, cut off":      {isRunning: true, isFirstStart: true},
	} {
		for peerVersion, wantConfirmed := range map[int64]bool{8: false, 5: true} {
			f := startFollowingNode(t, configPollers)
			f.settings.IsFirstStart = c.isFirstStart
			answer := func(epoch int64) (sentAt boottime.Instant) {
				sentAt = boottime.Now()
				f.applyConfigListing(objectapi.Listing{Objects: []objectapi.Object{{Key: "config/main", Value: json.RawMessage("5")}}}, sentAt)
				f.confirmConfig(sentAt, objectapi.Version{Epoch: epoch, Number: 10})
				return sentAt
			}
			hear := func(version, confirmationAgeMillis int64) {
				f.notePeerConfig(&mesh.Member{Digest: mesh.Digest{ConfigVersion: version, ConfirmationAgeMillis: confirmationAgeMillis}})
			}
			if c.isRunning {
				if answer(1); !c.isFirstStart {
					hear(5, 0)
				}
			}
			confirmedBefore := f.currentConfig.ConfirmedAt()
			sentAt := answer(2)
			f.configSync.holdUntil = boottime.Now().Add(time.Hour) // however slow the test is
			hear(5, -1)                                            // has just started too
			if f.currentConfig.ConfirmedAt() != confirmedBefore {
				t.Errorf("%s: version 5 is confirmed before a peer was heard that knows the configuration from before", name)
			}
			hear(peerVersion, 9000)
			if isConfirmed := f.currentConfig.ConfirmedAt() == sentAt; isConfirmed != wantConfirmed {
				t.Errorf("%s: version 5 is confirmed: %t while a peer has version %d, want %t", name, isConfirmed, peerVersion, wantConfirmed)
			}
		}
	}
}

// Guards against a revoked key that works again: all nodes ended while the object API came back from a copy without the newest
// configuration, so that no peer knew better, and the started nodes confirmed the older one before the operator had written the
// newest again.
func TestStartedNodesWaitForWhatIsWrittenAgainAfterARestore(t *testing.T) {
	for _, c := range []struct {
		name         string
		epochAge     time.Duration // as recorded by the nodes that have ended
		isFirstStart bool
		want         bool // that the configuration is confirmed without a peer
	}{
		{name: "restored since the nodes wrote their records"},
		{name: "restored a moment before", epochAge: time.Second},
		{name: "not restored lately", epochAge: time.Hour, want: true},
		{name: "first start", isFirstStart: true, want: true},
	} {
		f := startFollowingNode(t, configPollers)
		f.settings.IsFirstStart = c.isFirstStart
		answer := func() bool {
			sentAt := boottime.Now()
			f.applyConfigListing(objectapi.Listing{Objects: []objectapi.Object{{Key: "config/main", Value: json.RawMessage("5")}}}, sentAt)
			f.confirmConfig(sentAt, objectapi.Version{Epoch: 2, Number: 10})
			return f.currentConfig.ConfirmedAt() == sentAt
		}
		if isConfirmed := answer(); isConfirmed && !c.isFirstStart {
			t.Errorf("%s: the first answer is confirmed", c.name)
		}
		var records []epochRecord
		if !c.isFirstStart {
			records = []epochRecord{{Epoch: 1, SinceUnixMillis: 1}}
		}
		if c.epochAge > 0 {
			records = append(records, epochRecord{Epoch: 2, SinceUnixMillis: time.Now().Add(-c.epochAge).UnixMilli()})
		}
		f.storeHistory.load(2, records, c.isFirstStart)
		f.storeHistory.heardAt = boottime.Now().Add(time.Hour) // however slow the test is
		f.configSync.holdUntil = boottime.Now()                // the time for peers is over
		if got := answer(); got != c.want {
			t.Errorf("%s: confirmed without a peer: %t, want %t", c.name, got, c.want)
		}
		f.storeHistory.heardAt = boottime.Now().Add(-settleTime)
		if !answer() {
			t.Errorf("%s: not confirmed %s after the start", c.name, settleTime)
		}
	}
}

// Guards against records that were read before a restore and that settle the epoch after it.
func TestAnswerOfALaterEpochThanTheRecordsIsHeld(t *testing.T) {
	f := startFollowingNode(t, configPollers)
	f.storeHistory.load(1, []epochRecord{{Epoch: 1, SinceUnixMillis: 1}}, false)
	confirmedBefore := f.currentConfig.ConfirmedAt()
	f.applyConfigListing(objectapi.Listing{Objects: []objectapi.Object{{Key: "config/main", Value: json.RawMessage("5")}}}, boottime.Now())
	for range 2 {
		f.confirmConfig(boottime.Now(), objectapi.Version{Epoch: 2, Number: 10})
		f.configSync.holdUntil = boottime.Now() // the time for peers is over
	}
	if f.currentConfig.ConfirmedAt() != confirmedBefore {
		t.Error("the configuration of a copy is confirmed")
	}
}

// A node that started after the object API was restored put the older configuration of the copy in force, and answered 404 for
// routes that were in force at all other nodes.
func TestNodeWithLostConfigurationIsNotReady(t *testing.T) {
	f := startFollowingNode(t, configPollers)
	f.backends = backend.NewTable(time.Second, slog.New(slog.DiscardHandler))
	f.backends.Replace(nil)
	answer := func(epoch, version int64) {
		sentAt := boottime.Now()
		f.applyConfigListing(objectapi.Listing{
			Revision: objectapi.Version{Epoch: epoch, Number: 10},
			Objects:  []objectapi.Object{{Key: "config/main", Value: json.RawMessage(fmt.Sprint(version))}},
		}, sentAt)
		f.confirmConfig(sentAt, objectapi.Version{Epoch: epoch, Number: 10})
	}
	hearPeer := func(version int64) {
		f.notePeerConfig(&mesh.Member{Digest: mesh.Digest{Node: "n0", ConfigVersion: version}})
	}
	answer(2, 5)
	hearPeer(5)
	if reason := f.notReadyReason(); reason != "" {
		t.Fatalf("node with the newest configuration is not ready: %s", reason)
	}
	hearPeer(8)
	if reason := f.notReadyReason(); reason != "" {
		t.Errorf("node that has just heard of a newer configuration is not ready: %s", reason)
	}
	answer(2, 5)
	if f.notReadyReason() == "" {
		t.Error("node is ready although the object API has lost the configuration of its peer")
	}
	answer(2, 8)
	if reason := f.notReadyReason(); reason != "" {
		t.Errorf("node is not ready after the configuration was written again: %s", reason)
	}
}

// A node stayed unready for good when it got the newer configuration by a read for a peer's version and made no call of its own
// afterwards.
func TestNodeIsReadyOnceItHasTheNewerConfiguration(t *testing.T) {
	f := startFollowingNode(t, configPollers)
	f.backends = backend.NewTable(time.Second, slog.New(slog.DiscardHandler))
	f.backends.Replace(nil)
	f.setStoredVersion(1)
	f.notePeerConfig(&mesh.Member{Digest: mesh.Digest{Node: "n0", ConfigVersion: 8}})
	f.confirmConfig(boottime.Now(), objectapi.Version{Epoch: 2, Number: 10})
	if f.notReadyReason() == "" {
		t.Fatal("node is ready although the object API has lost the configuration of its peer")
	}
	f.applyConfigObject(objectapi.Object{Key: "config/main", Value: json.RawMessage("8")})
	f.currentConfig.ConfirmNewest(8, boottime.Now())
	if reason := f.notReadyReason(); reason != "" {
		t.Errorf("node with the configuration of its peer is not ready: %s", reason)
	}
}

// Guards against nodes that refuse requests for longer than they must after a start of all nodes: an answer that came shortly before the
// end of the time in which answers are held was held as well, and the next one came a whole poll interval later.
func TestWatchEndsWhenAnswersAreHeldNoMore(t *testing.T) {
	f := startFollowingNode(t, configPollers)
	f.configSync.holdUntil = boottime.Now().Add(time.Hour)
	f.configSync.heldAnswer = answer{sentAt: boottime.Now()}
	if wait := f.configWatchTimeout(); wait <= 59*time.Minute || wait > time.Hour+afterHold {
		t.Errorf("watch waits %s while answers are held for an hour, want until then", wait)
	}
	f.configSync.heldAnswer = answer{}
	if wait := f.configWatchTimeout(); wait > f.configTiming.pollInterval {
		t.Errorf("watch waits %s after an answer that is not held, want %s at most", wait, f.configTiming.pollInterval)
	}
}
