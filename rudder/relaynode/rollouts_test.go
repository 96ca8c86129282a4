package relaynode

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"path"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/backend"
	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/lease"
	"chestnutrudder.example/rudder/mesh"
	"chestnutrudder.example/rudder/objectapi"
	"chestnutrudder.example/rudder/objectapi/objectapitest"
	"chestnutrudder.example/rudder/rollout"
	"chestnutrudder.example/rudder/telemetry"
)

// testRollouts is the object API with the orders of one test, each with the status beside it in one value.
type testRollouts struct {
	*objectapitest.MemoryStore
	statusWrites atomic.Int64
}

type testRolloutValue struct {
	To     string
	Millis int64
	Status RolloutStatus
}

func (s *testRollouts) order(t *testing.T, to string) {
	t.Helper()
	if _, err := s.Put(context.Background(), "orders/s", testRolloutValue{To: to, Millis: 12000}, objectapi.AnyVersion); err != nil {
		t.Fatal(err)
	}
}

func (s *testRollouts) status() RolloutStatus {
	var v testRolloutValue
	if o, err := s.Get(context.Background(), "orders/s"); err == nil {
		_ = o.Decode(&v) // an odd one has no status
	}
	return v.Status
}

func decodeTestRollout(o objectapi.Object) (RolloutOrder, error) {
	var v testRolloutValue
	if err := o.Decode(&v); err != nil || v.To == "" {
		return RolloutOrder{}, errors.Errorf("no order: %v", err)
	}
	return RolloutOrder{Service: path.Base(o.Key), To: v.To, Duration: time.Duration(v.Millis) * time.Millisecond, Status: v.Status}, nil
}

func (s *testRollouts) putStatus(ctx context.Context, service string, status RolloutStatus, version objectapi.Version) error {
	s.statusWrites.Add(1)
	o, err := s.Get(ctx, "orders/"+service)
	if err != nil {
		return err
	}
	var v testRolloutValue
	if err := json.Unmarshal(o.Value, &v); err != nil {
		return err
	}
	v.Status = status
	_, err = s.Put(ctx, "orders/"+service, v, version)
	return err
}

func newTestRollouts() *testRollouts {
	return &testRollouts{MemoryStore: objectapitest.NewMemoryStore()}
}

// newRolloutNode returns a node without peers that has three servers of each of two versions.
func newRolloutNode(name string, store *testRollouts) *node {
	log := slog.New(slog.DiscardHandler)
	n := &node{
		settings: Settings{Node: name, RolloutBounds: rollout.Bounds{Share: 0.1, Slack: 50}}, log: log, logger: telemetry.NewLogger(io.Discard, slog.LevelInfo, name),
		backends: backend.NewTable(time.Second, log), incarnation: time.Now().UnixMilli(),
		platform: Platform{Store: store, RolloutPrefix: "orders/", DecodeRollout: decodeTestRollout, PutRolloutStatus: store.putStatus},
	}
	for i := range 6 {
		n.backends.Put(backend.Entry{ID: fmt.Sprint("i", i), Service: "s", Address: "127.0.0.1:1", Slots: 100, SoftwareVersion: fmt.Sprint("v", 1+i/3)})
	}
	n.mesh = mesh.New("127.0.0.1:1", nil, func() mesh.Digest { return mesh.Digest{} }, func(*mesh.Member) {}, log)
	n.rollouts = newRolloutSync(n)
	// The clock of package boottime stands still within synctest.
	bubbleNow := func() boottime.Instant { return boottime.Instant(time.Now().UnixNano()) }
	n.rollouts.now, n.rollouts.tracker.Now = bubbleNow, bubbleNow
	return n
}

// rolloutRun is a node that follows the orders and holds the duty lease.
type rolloutRun struct {
	*node
	cancel context.CancelFunc
	done   chan struct{}
	sent   map[string]int // by version
	isBad  bool           // all responses of v2 fail
}

func startRolloutRun(name string, store *testRollouts, isFirst bool) *rolloutRun {
	ctx, cancel := context.WithCancel(context.Background())
	r := &rolloutRun{node: newRolloutNode(name, store), cancel: cancel, done: make(chan struct{}), sent: map[string]int{}}
	leases := &lease.Manager{
		Store: store, Node: name, Log: slog.New(slog.DiscardHandler), PollInterval: 100 * time.Millisecond, IsFirstStart: isFirst,
		Timing: lease.Timing{Duration: 3 * time.Second, Margin: 500 * time.Millisecond, MaxCommandDuration: time.Second},
	}
	go r.rollouts.run(ctx)
	go r.rollouts.update(ctx)
	go func() {
		defer close(r.done)
		leases.Hold(ctx, dutyLeaseName, r.rollouts.hold)
	}()
	return r
}

func (r *rolloutRun) stop() {
	r.cancel()
	<-r.done
	synctest.Wait()
}

// serve lets requests run for the given time, 20 a second.
func (r *rolloutRun) serve(d time.Duration) {
	for i := range int(d / (50 * time.Millisecond)) {
		time.Sleep(50 * time.Millisecond)
		r.rollouts.tracker.CountArrival("s")
		p, refusal := r.backends.Place(backend.Request{Service: "s", VersionFraction: float64(i*7919%1000) / 1000}, 0)
		if refusal != nil {
			continue
		}
		r.sent[p.SoftwareVersion]++
		r.rollouts.tracker.CountSend("s", p.SoftwareVersion, "r")
		isFailed := r.isBad && p.SoftwareVersion == "v2"
		r.rollouts.tracker.CountEnd("s", p.SoftwareVersion, "r", rollout.Result{IsFailed: isFailed, Ratio: 1, Server: uint64(i)})
		p.RecordFirstByte()
		p.Release(backend.ResultCompleted)
	}
}

// Guards against a status that does not follow the order: while it runs, when it is completed, and at a second order.
func TestStatusFollowsTheOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newTestRollouts()
		store.order(t, "v2")
		r := startRolloutRun("n0", store, true)
		defer r.stop()
		r.serve(4 * time.Second)
		if got, want := store.status(), (RolloutStatus{RolloutRunning, "v2"}); got != want {
			t.Errorf("status %+v after 4 s, want %+v", got, want)
		}
		r.serve(14 * time.Second)
		if got, want := store.status(), (RolloutStatus{RolloutCompleted, "v2"}); got != want {
			t.Fatalf("status %+v after 18 s, want %+v", got, want)
		}
		if n := store.statusWrites.Load(); n != 2 {
			t.Errorf("the status was written %d times, want 2", n)
		}
		before := r.sent["v1"]
		r.serve(2 * time.Second)
		if r.sent["v1"] > before {
			t.Errorf("%d requests at v1 after the completion", r.sent["v1"]-before)
		}
		store.order(t, "v1")
		r.serve(18 * time.Second)
		if got, want := store.status(), (RolloutStatus{RolloutCompleted, "v1"}); got != want {
			t.Errorf("status %+v after a second order, want %+v", got, want)
		}
	})
}

// Guards against a rollback that is forgotten: by a node that starts again, by a store that comes back from a copy of before the
// order's record and status, and by a store that is down when the version is found to be bad.
func TestRollbackIsRemembered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newTestRollouts()
		var isDown atomic.Bool
		store.BeforeCall = func(string, string) error {
			if isDown.Load() {
				return objectapi.ErrUnavailable
			}
			return nil
		}
		store.order(t, "v2")
		storeCopy := store.Copy()
		r := startRolloutRun("n0", store, true)
		r.isBad = true
		r.serve(2 * time.Second)
		isDown.Store(true)
		r.serve(12 * time.Second)
		sent := r.sent["v2"]
		r.serve(2 * time.Second)
		if r.sent["v2"] > sent || sent > 60 {
			t.Errorf("%d requests at the bad version, %d more later", sent, r.sent["v2"]-sent)
		}
		isDown.Store(false)
		r.serve(8 * time.Second)
		want := RolloutStatus{RolloutRolledBack, "v2"}
		if got := store.status(); got != want {
			t.Fatalf("status %+v after the store is back, want %+v", got, want)
		}
		store.Restore(storeCopy)
		r.serve(15 * time.Second)
		if got := store.status(); got != want {
			t.Errorf("status %+v after the restore, want %+v", got, want)
		}
		r.stop()
		again := startRolloutRun("n0", store, false)
		defer again.stop()
		again.serve(15 * time.Second)
		if again.sent["v2"] > 0 {
			t.Errorf("%d requests at the bad version from the node that has started again", again.sent["v2"])
		}
		if got := store.status(); got != want {
			t.Errorf("status %+v after the restart, want %+v", got, want)
		}
	})
}

// Guards against requests that all nodes forget when they end at once in the middle of a rollout: the bound would be granted anew.
func TestRestartedNodesKnowWhatWasSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newTestRollouts()
		store.order(t, "v2")
		sent := 0
		for i := range 3 {
			r := startRolloutRun("n0", store, i == 0)
			r.serve(200 * time.Millisecond)
			if i > 0 {
				if known := r.rollouts.tracker.Readings()[0].Sent; known < int64(sent) {
					t.Errorf("start %d: %d requests at the new version are known, want at least %d", i, known, sent)
				}
			}
			r.serve(3800 * time.Millisecond)
			sent += r.sent["v2"]
			if sent == 0 {
				t.Fatal("no request at the new version, so that the test shows nothing")
			}
			r.stop()
		}
		if bound := 0.1*20*12 + 50; float64(sent) > bound {
			t.Errorf("%d requests at the new version within 12 s, the bound is %.0f", sent, bound)
		}
	})
}

// Guards against requests at an unproven version from a node that does not know yet whether it is ordered.
func TestStartingNodeAwaitsTheOrders(t *testing.T) {
	store := newTestRollouts()
	n := newRolloutNode("n0", store)
	if _, refusal := n.backends.Place(backend.Request{Service: "s"}, 0); refusal == nil {
		t.Error("a request is placed although the orders are not known")
	}
	if n.rollouts.isInformed() {
		t.Error("the node counts as informed")
	}
}

// Guards against objects that name no order and stop the others, or leave an order in force that they have replaced.
func TestOddOrderIsLeftOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newTestRollouts()
		if _, err := store.Put(context.Background(), "orders/odd", 5, objectapi.AbsentVersion); err != nil {
			t.Fatal(err)
		}
		store.order(t, "v2")
		r := startRolloutRun("n0", store, true)
		defer r.stop()
		r.serve(5 * time.Second)
		if r.sent["v2"] == 0 {
			t.Error("the valid order is not carried out")
		}
		if _, err := store.Put(context.Background(), "orders/s", "odd", objectapi.AnyVersion); err != nil {
			t.Fatal(err)
		}
		r.serve(2 * time.Second)
		before := r.sent["v2"]
		r.serve(5 * time.Second)
		if r.sent["v2"] > before {
			t.Errorf("%d requests at v2 after its order was replaced by an odd object", r.sent["v2"]-before)
		}
	})
}
