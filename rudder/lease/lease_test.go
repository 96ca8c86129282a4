package lease

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chestnutrudder.example/rudder/internal/rapidtest"
	"chestnutrudder.example/rudder/objectapi"
	"chestnutrudder.example/rudder/objectapi/objectapitest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, "seed=20261204", "checks=1000", "steps=100") }

type fakeClock struct{ now time.Time }

func (c *fakeClock) Now() time.Time { return c.now }

// world is a set of contenders for one lease with one clock and a store that loses, delays and interleaves.
type world struct {
	t          *rapid.T
	clock      fakeClock
	store      *objectapitest.MemoryStore
	contenders []*contender
	delayed    []func()
	nested     bool
	fences     map[int64]string // holder of each fencing token that passed a check
	highest    int64
}

// viewStore is the store as one contender sees it.
type viewStore struct {
	*objectapitest.MemoryStore
	world *world
	self  int
}

func (s viewStore) Put(ctx context.Context, key string, value any, expected int64) (objectapi.Object, error) {
	w := s.world
	fault := rapid.SampledFrom([]string{"none", "none", "lost", "delayed", "down", "paused before", "paused after"}).Draw(w.t, "fault")
	switch fault {
	case "down":
		return objectapi.Object{}, objectapi.ErrUnavailable
	case "delayed":
		w.delayed = append(w.delayed, func() { _, _ = s.MemoryStore.Put(ctx, key, value, expected) })
		return objectapi.Object{}, objectapi.ErrOutcomeUnknown
	case "paused before":
		w.pause(s.self)
	}
	o, err := s.MemoryStore.Put(ctx, key, value, expected)
	switch {
	case fault == "lost":
		return objectapi.Object{}, objectapi.ErrOutcomeUnknown
	case fault == "paused after":
		w.pause(s.self)
	}
	return o, err
}

// pause lets time pass and the other contenders act while one is within a call.
func (w *world) pause(self int) {
	w.advance()
	if w.nested {
		return
	}
	w.nested = true
	for range rapid.IntRange(0, 3).Draw(w.t, "steps") {
		if other := w.draw(); other != self {
			_ = w.contenders[other].step(context.Background())
			w.check()
		}
		w.advance()
	}
	w.nested = false
}

func (w *world) advance() {
	w.clock.now = w.clock.now.Add(time.Duration(rapid.IntRange(0, 6000).Draw(w.t, "ms")) * time.Millisecond)
}

func (w *world) draw() int { return rapid.IntRange(0, len(w.contenders)-1).Draw(w.t, "contender") }

// check is the oracle: at no time two contenders pass the check, and fencing tokens of holders only increase.
func (w *world) check() {
	holders := 0
	for _, c := range w.contenders {
		if c.held == nil || c.held.Check() != nil {
			continue
		}
		holders++
		fence := c.held.Fence
		if known, found := w.fences[fence]; found && known != c.holder || fence < w.highest {
			w.t.Fatalf("%s holds fencing token %d after %d", c.holder, fence, w.highest)
		}
		w.fences[fence], w.highest = c.holder, fence
	}
	if holders > 1 {
		w.t.Fatalf("%d contenders pass the check at the same time", holders)
	}
}

// TestNeverTwoHolders guards against two nodes that command at the same time after a pause, a lost or late write, an
// outage, a release or a restart.
func TestNeverTwoHolders(t *testing.T) {
	acquired := 0
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, store: objectapitest.NewMemoryStore(), fences: map[int64]string{}}
		w.clock.now = time.Unix(1000, 0)
		start := func(i, run int) *contender {
			return &contender{
				store: viewStore{w.store, w, i}, clock: &w.clock, name: "loop", holder: fmt.Sprintf("node-%d/%d", i, run),
				timing: Timing{Duration: 3 * time.Second, Margin: 200 * time.Millisecond, LongestCommand: 500 * time.Millisecond},
			}
		}
		for i := range 3 {
			w.contenders = append(w.contenders, start(i, 0))
		}
		runs := 0
		t.Repeat(map[string]func(*rapid.T){
			"":        func(*rapid.T) { w.check() },
			"step":    func(*rapid.T) { _ = w.contenders[w.draw()].step(context.Background()) },
			"advance": func(*rapid.T) { w.advance() },
			"release": func(*rapid.T) { _ = w.contenders[w.draw()].release(context.Background()) },
			"restart": func(*rapid.T) { runs++; i := w.draw(); w.contenders[i] = start(i, runs) },
			"arrive": func(t *rapid.T) {
				if len(w.delayed) == 0 {
					t.Skip("nothing is delayed")
				}
				w.delayed[0]()
				w.delayed = w.delayed[1:]
			},
		})
		acquired += len(w.fences)
	})
	if acquired == 0 {
		t.Error("no lease was ever held, the test shows nothing")
	}
	t.Logf("%d acquisitions", acquired)
}

func newContender(store objectapi.Store, clock Clock, holder string) *contender {
	return &contender{store: store, clock: clock, timing: DefaultTiming, holder: holder, name: "loop"}
}

// TestPausedHolderStops guards against a holder that acts after a pause, and against a successor that starts early.
func TestPausedHolderStops(t *testing.T) {
	ctx, store, clock := context.Background(), objectapitest.NewMemoryStore(), &fakeClock{time.Unix(1000, 0)}
	a, b := newContender(store, clock, "a"), newContender(store, clock, "b")
	step := func(c *contender) {
		if err := c.step(ctx); err != nil {
			t.Fatal(err)
		}
	}
	step(a)
	paused := a.held
	step(b)
	clock.now = clock.now.Add(DefaultTiming.Duration - DefaultTiming.Margin)
	if paused.Check() == nil {
		t.Error("the holder passes its check after the deadline")
	}
	clock.now = clock.now.Add(DefaultTiming.Margin + DefaultTiming.LongestCommand - time.Millisecond)
	if step(b); b.held != nil {
		t.Error("the successor did not wait for the duration and the longest command")
	}
	clock.now = clock.now.Add(time.Millisecond)
	if step(b); b.held == nil || b.held.Fence != paused.Fence+1 {
		t.Errorf("the successor did not take over: %+v", b.held)
	}
	if step(a); a.held != nil || paused.Check() == nil {
		t.Error("the paused holder resumed")
	}
}

// TestLostAnswerOfRenewal guards against a holder that gives up although its write took effect, and against a deadline
// that counts from the answer in place of the sending.
func TestLostAnswerOfRenewal(t *testing.T) {
	ctx, store, clock := context.Background(), objectapitest.NewMemoryStore(), &fakeClock{time.Unix(1000, 0)}
	a := newContender(store, clock, "a")
	if err := a.step(ctx); err != nil {
		t.Fatal(err)
	}
	clock.now = clock.now.Add(3 * time.Second)
	sent := clock.now
	store.AfterWrite = func(string, string) error {
		clock.now = clock.now.Add(2 * time.Second)
		return objectapi.ErrOutcomeUnknown
	}
	_ = a.step(ctx)
	if a.held == nil || !a.held.deadline.Equal(sent.Add(DefaultTiming.Duration-DefaultTiming.Margin)) {
		t.Errorf("lease after the lost answer: %+v, sent at %s", a.held, sent)
	}
}

// TestLateWriteOfRenewal guards against a deadline that counts from a repeated write that was refused, when the first one
// took effect long before.
func TestLateWriteOfRenewal(t *testing.T) {
	ctx, store, clock := context.Background(), objectapitest.NewMemoryStore(), &fakeClock{time.Unix(1000, 0)}
	a := newContender(store, clock, "a")
	if err := a.step(ctx); err != nil {
		t.Fatal(err)
	}
	sent, version := clock.now, a.version
	store.BeforeCall = func(kind, _ string) error {
		if kind == "put" {
			return objectapi.ErrOutcomeUnknown
		}
		return nil
	}
	_ = a.step(ctx)
	store.BeforeCall = nil
	if _, err := store.Put(ctx, Prefix+"loop", a.pending, version); err != nil {
		t.Fatal(err)
	}
	clock.now = clock.now.Add(5 * time.Second)
	_ = a.step(ctx)
	if a.held == nil || !a.held.deadline.Equal(sent.Add(DefaultTiming.Duration-DefaultTiming.Margin)) {
		t.Errorf("lease after the late write: %+v, sent at %s", a.held, sent)
	}
}

// TestHoldReleases guards against a graceful stop after which the successor must wait for the old lease to run out.
func TestHoldReleases(t *testing.T) {
	store := objectapitest.NewMemoryStore()
	ctx, cancel := context.WithCancel(context.Background())
	m := &Manager{Store: store, Node: "a", Timing: DefaultTiming, Log: slog.New(slog.NewTextHandler(io.Discard, nil))}
	returned := false
	m.Hold(ctx, "loop", func(ctx context.Context, lease *Lease) {
		if lease.Check() != nil || lease.Fence != 1 {
			t.Errorf("a new lease does not pass its check or has fencing token %d", lease.Fence)
		}
		cancel()
		<-ctx.Done()
		returned = true
	})
	o, err := store.Get(context.Background(), Prefix+"loop")
	if err != nil {
		t.Fatal(err)
	}
	if r, err := decode(o); err != nil || !r.Released || !returned {
		t.Errorf("record %+v, error %v, function returned %t", r, err, returned)
	}
	b := newContender(store, &fakeClock{time.Unix(1000, 0)}, "b")
	if err := b.step(context.Background()); err != nil || b.held == nil || b.held.Fence != 2 {
		t.Errorf("the successor has to wait: %+v, %v", b.held, err)
	}
}
