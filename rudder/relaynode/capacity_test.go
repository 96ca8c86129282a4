package relaynode

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"chestnutrudder.example/rudder/backend"
	"chestnutrudder.example/rudder/lease"
	"chestnutrudder.example/rudder/mesh"
	"chestnutrudder.example/rudder/objectapi/objectapitest"
	"chestnutrudder.example/rudder/telemetry"
	"chestnutrudder.example/rudder/traffic"
)

var scaledService = &traffic.Service{
	Name: "model", Engine: &traffic.Engine{Slots: 64},
	Scaling: &traffic.Scaling{Min: 1, Max: 12, StartupTime: 4 * time.Second, SpotPriceRatio: 0.18, FailureDomainPrices: map[string]float64{"a": 1, "b": 1.2, "c": 0.85}},
}

// newPlanningNode returns a node that can run the capacity planner, and a function that returns the orders sent so far.
// The platform refuses the orders for which refuse returns true.
func newPlanningNode(t *testing.T, refuse func(CapacityOrder) bool) (*node, func() []CapacityOrder) {
	t.Helper()
	var orders []CapacityOrder
	n := &node{
		settings:      Settings{Node: "n1", FailureDomains: []string{"a", "b", "c"}},
		logger:        telemetry.NewLogger(io.Discard, slog.LevelInfo, "n1"),
		currentConfig: traffic.NewCurrentConfig(),
	}
	n.backends = backend.NewTable(time.Second, slog.New(slog.DiscardHandler))
	n.mesh = mesh.New("127.0.0.1:1", nil, nil, nil, slog.New(slog.DiscardHandler))
	n.platform.OrderCapacity = func(_ context.Context, _ int64, o CapacityOrder) error {
		orders = append(orders, o)
		if refuse != nil && refuse(o) {
			return ErrRefused
		}
		return nil
	}
	config := &traffic.Config{Version: 1, Services: map[string]*traffic.Service{"model": scaledService}}
	config.BuildIndex()
	n.currentConfig.Apply(config)
	return n, func() []CapacityOrder { return orders }
}

// runCapacityDuty runs the capacity planner under a lease for the given time.
func runCapacityDuty(t *testing.T, n *node, d time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	leases := &lease.Manager{
		Store: objectapitest.NewMemoryStore(), Node: "n1", Log: slog.New(slog.DiscardHandler), PollInterval: 100 * time.Millisecond,
		Timing: lease.Timing{Duration: time.Hour, Margin: time.Second},
	}
	leases.Hold(ctx, dutyLeaseName, n.runCapacityPlanner)
}

// A new holder of the lease may find no runner at all, because a reclaim took them while no node held the lease. It has
// to order: when it waited for the first runner, the service stayed without any for the rest of the day.
func TestNewLeaseHolderOrdersWhenNoRunnerIsListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, orders := newPlanningNode(t, nil)
		n.backends.Replace(nil)
		n.backends.Place(backend.Request{Service: "model", IsGeneration: true, PromptTokens: 50000}, 0)
		runCapacityDuty(t, n, 10*time.Second)
		if len(orders()) == 0 {
			t.Fatal("no order was sent")
		}
	})
}

// Runners register one after the other. An order that is sent before all have registered takes the others away.
func TestPlannerWaitsForRegistryToFill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, orders := newPlanningNode(t, nil)
		n.backends.Replace(nil)
		go func() {
			for i := range 18 {
				time.Sleep(100 * time.Millisecond)
				n.backends.Put(backend.Entry{ID: string(rune('A' + i)), Service: "model", Address: "127.0.0.1:9", FailureDomain: string(rune('a' + i%3)), Slots: 64})
			}
		}()
		runCapacityDuty(t, n, 5*time.Second)
		for _, o := range orders() {
			if !o.Reclaimable && o.Runners < 6 {
				t.Fatalf("order %+v gives back runners that have not registered yet", o)
			}
		}
		if len(orders()) == 0 {
			t.Fatal("no order was sent")
		}
	})
}

// At the first start, the on-demand runners are paid for until reclaimable ones serve. These are ordered while the others
// still register. After a later start, an order for fewer than exist would take runners away.
func TestReclaimableRunnersAreOrderedEarlyAtFirstStartOnly(t *testing.T) {
	for _, isFirstStart := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			n, orders := newPlanningNode(t, nil)
			n.settings.IsFirstStart = isFirstStart
			n.backends.Replace(nil)
			go func() {
				for i := range 9 {
					n.backends.Put(backend.Entry{ID: string(rune('A' + i)), Service: "model", Address: "127.0.0.1:9", FailureDomain: string(rune('a' + i%3)), Slots: 64})
					time.Sleep(100 * time.Millisecond)
				}
			}()
			runCapacityDuty(t, n, time.Second)
			early := 0
			for _, o := range orders() {
				if !o.Reclaimable {
					t.Fatalf("order %+v for on-demand runners while they register", o)
				}
				early += o.Runners
			}
			if isFirstStart != (early > 0) {
				t.Fatalf("first start %t: %d reclaimable runners were ordered while runners register, want some at the first start only", isFirstStart, early)
			}
		})
	}
}

// A failure domain in which runners were reclaimed refuses reclaimable runners for a while; on-demand runners have to be
// ordered at once.
func TestOnDemandRunnersReplaceRefusedReclaimableRunners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, orders := newPlanningNode(t, func(o CapacityOrder) bool { return o.Reclaimable })
		n.backends.Replace(nil)
		go func() {
			for range 90 {
				n.backends.Place(backend.Request{Service: "model", IsGeneration: true, PromptTokens: 30000}, 0)
				time.Sleep(100 * time.Millisecond)
			}
		}()
		runCapacityDuty(t, n, 9*time.Second)
		onDemand := 0
		for _, o := range orders() {
			if !o.Reclaimable {
				onDemand = max(onDemand, o.Runners)
			}
		}
		if onDemand < 5 {
			t.Fatalf("at most %d on-demand runners were ordered for a load of 5 busy runners, want at least 5", onDemand)
		}
	})
}

// A node that takes over the lease in the middle of a reclaim has known the registry for long and must not wait for it to
// settle: each second of waiting is one without runners (24 to 30 s in trouble-1 of duwende-route).
func TestNewLeaseHolderWithKnownRegistryOrdersAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, orders := newPlanningNode(t, nil)
		n.backends.Replace(nil)
		time.Sleep(time.Minute)
		n.backends.Place(backend.Request{Service: "model", IsGeneration: true, PromptTokens: 50000}, 0)
		runCapacityDuty(t, n, time.Second)
		if len(orders()) == 0 {
			t.Fatal("no order was sent within a second")
		}
	})
}

// At the first start, on-demand runners are paid for until reclaimable ones serve. Guards against keeping them longer: the
// reclaimable runners register one after the other, which says nothing about on-demand ones that may still be missing.
func TestOnDemandRunnersAreGivenBackAsReclaimableOnesServeAtFirstStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, orders := newPlanningNode(t, nil)
		n.settings.IsFirstStart = true
		n.backends.Replace(nil)
		go func() {
			for i := range 24 {
				id := string(rune('A' + i))
				e := backend.Entry{ID: id, Service: "model", Address: "127.0.0.1:9", FailureDomain: string(rune('a' + i%3)), Slots: 64}
				if i >= 12 {
					e.Reclaimable = true
					time.Sleep(400 * time.Millisecond)
				}
				n.backends.Put(e)
			}
		}()
		runCapacityDuty(t, n, 12*400*time.Millisecond+time.Second)
		kept := map[string]int{"a": 4, "b": 4, "c": 4}
		for _, o := range orders() {
			if !o.Reclaimable {
				kept[o.FailureDomain] = o.Runners
			}
		}
		if kept["a"]+kept["b"]+kept["c"] != 0 {
			t.Fatalf("on-demand runners %v are kept a second after as many reclaimable ones serve, orders %+v", kept, orders())
		}
	})
}
