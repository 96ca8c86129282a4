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

// simulation is a set of contenders for one lease with one clock and a store that loses, delays and interleaves writes.
type simulation struct {
	t             *rapid.T
	clock         fakeClock
	store         *objectapitest.MemoryStore
	contenders    []*contender
	delayedWrites []func()
	copies        []any // of the store, for restores
	isNested      bool
	holderByToken map[int64]string // holder of each fencing token that passed a check
	highestToken  int64
}

// faultyStore is the store of one contender. It injects faults into writes.
type faultyStore struct {
	*objectapitest.MemoryStore
	simulation *simulation
	self       int
}

func (s faultyStore) Put(ctx context.Context, key string, value any, expected objectapi.Version) (objectapi.Object, error) {
	sim := s.simulation
	fault := rapid.SampledFrom([]string{"none", "none", "lost", "delayed", "down", "paused before", "paused after"}).Draw(sim.t, "fault")
	switch fault {
	case "down":
		return objectapi.Object{}, objectapi.ErrUnavailable
	case "delayed":
		sim.delayedWrites = append(sim.delayedWrites, func() { _, _ = s.put(ctx, key, value, expected) })
		return objectapi.Object{}, objectapi.ErrOutcomeUnknown
	case "paused before":
		sim.pause(s.self)
	}
	o, err := s.put(ctx, key, value, expected)
	switch {
	case fault == "lost":
		return objectapi.Object{}, objectapi.ErrOutcomeUnknown
	case fault == "paused after":
		sim.pause(s.self)
	}
	return o, err
}

// put writes like a store that compares only the numbers of versions, which are given out again after a restore. As the
// interface demands, the writer is told of a conflict then.
func (s faultyStore) put(ctx context.Context, key string, value any, expected objectapi.Version) (objectapi.Object, error) {
	isConditional := expected != objectapi.AbsentVersion && expected != objectapi.AnyVersion
	current, _ := s.Get(ctx, key)
	sent := expected
	if isConditional {
		sent.Epoch = current.Version.Epoch
	}
	o, err := s.MemoryStore.Put(ctx, key, value, sent)
	if err == nil && isConditional && expected.Epoch != o.Version.Epoch {
		return objectapi.Object{}, objectapi.ErrConflict
	}
	return o, err
}

// pause lets time pass and the other contenders act while one contender is within a call.
func (s *simulation) pause(self int) {
	s.advance()
	if s.isNested {
		return
	}
	s.isNested = true
	for range rapid.IntRange(0, 3).Draw(s.t, "steps") {
		if other := s.drawContender(); other != self {
			_ = s.contenders[other].tryAcquireOrRenew(context.Background())
			s.checkInvariants()
		}
		s.advance()
	}
	s.isNested = false
}

func (s *simulation) advance() {
	s.clock.now = s.clock.now.Add(time.Duration(rapid.IntRange(0, 6000).Draw(s.t, "ms")) * time.Millisecond)
}

func (s *simulation) drawContender() int {
	return rapid.IntRange(0, len(s.contenders)-1).Draw(s.t, "contender")
}

// checkInvariants checks that no two contenders pass the lease check at the same time, and that the fencing tokens of
// holders only increase.
func (s *simulation) checkInvariants() {
	holders := 0
	for _, c := range s.contenders {
		if c.lease == nil || c.lease.Check() != nil {
			continue
		}
		holders++
		token := c.lease.FencingToken
		if known, found := s.holderByToken[token]; found && known != c.holder || token < s.highestToken {
			s.t.Fatalf("%s holds fencing token %d after %d", c.holder, token, s.highestToken)
		}
		s.holderByToken[token], s.highestToken = c.holder, token
	}
	if holders > 1 {
		s.t.Fatalf("%d contenders pass the check at the same time", holders)
	}
}

// TestAtMostOneHolder guards against two nodes that act as the holder at the same time after a pause, a lost or delayed
// write, an outage, a release, a restart or an object API that is restored from an older copy, and against fencing tokens
// that are given out twice.
func TestAtMostOneHolder(t *testing.T) {
	acquisitions, allRestores := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{t: t, store: objectapitest.NewMemoryStore(), holderByToken: map[int64]string{}}
		s.clock.now = time.Unix(1000, 0)
		startContender := func(i, run int) *contender {
			return &contender{
				store: faultyStore{s.store, s, i}, clock: &s.clock, name: "loop", holder: fmt.Sprintf("node-%d/%d", i, run),
				timing: Timing{Duration: 3 * time.Second, Margin: 200 * time.Millisecond, MaxCommandDuration: 500 * time.Millisecond},
			}
		}
		for i := range 3 {
			s.contenders = append(s.contenders, startContender(i, 0))
		}
		restarts, restores := 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"":        func(*rapid.T) { s.checkInvariants() },
			"step":    func(*rapid.T) { _ = s.contenders[s.drawContender()].tryAcquireOrRenew(context.Background()) },
			"advance": func(*rapid.T) { s.advance() },
			"release": func(*rapid.T) { _ = s.contenders[s.drawContender()].release(context.Background()) },
			"copy":    func(*rapid.T) { s.copies = append(s.copies, s.store.Copy()) },
			"restore": func(t *rapid.T) {
				if len(s.copies) == 0 || rapid.IntRange(0, 3).Draw(t, "rarity") > 0 {
					t.Skip("there is no copy, or it is not restored now")
				}
				restores++
				s.store.Restore(rapid.SampledFrom(s.copies).Draw(t, "copy"))
			},
			"restart": func(*rapid.T) { restarts++; i := s.drawContender(); s.contenders[i] = startContender(i, restarts) },
			"arrive": func(t *rapid.T) {
				if len(s.delayedWrites) == 0 {
					t.Skip("nothing is delayed")
				}
				s.delayedWrites[0]()
				s.delayedWrites = s.delayedWrites[1:]
			},
		})
		acquisitions += len(s.holderByToken)
		allRestores += restores
	})
	if acquisitions == 0 || allRestores == 0 {
		t.Error("no contender ever acquired the lease or no copy was ever restored, so that the test has checked nothing")
	}
	t.Logf("%d acquisitions, %d restores", acquisitions, allRestores)
}

func newContender(store objectapi.Store, clock Clock, holder string) *contender {
	return &contender{store: store, clock: clock, timing: DefaultTiming, holder: holder, name: "loop"}
}

// TestPausedHolderLosesLease guards against a holder that acts after a pause longer than its lease, and against a
// successor that takes over too early.
func TestPausedHolderLosesLease(t *testing.T) {
	ctx, store, clock := context.Background(), objectapitest.NewMemoryStore(), &fakeClock{time.Unix(1000, 0)}
	a, b := newContender(store, clock, "a"), newContender(store, clock, "b")
	step := func(c *contender) {
		if err := c.tryAcquireOrRenew(ctx); err != nil {
			t.Fatal(err)
		}
	}
	step(a)
	paused := a.lease
	step(b)
	clock.now = clock.now.Add(DefaultTiming.Duration - DefaultTiming.Margin)
	if paused.Check() == nil {
		t.Error("the holder passes its check after the deadline")
	}
	clock.now = clock.now.Add(DefaultTiming.Margin + DefaultTiming.MaxCommandDuration - time.Millisecond)
	if step(b); b.lease != nil {
		t.Error("the successor did not wait for the duration and the longest command")
	}
	clock.now = clock.now.Add(time.Millisecond)
	if step(b); b.lease == nil || b.lease.FencingToken != paused.FencingToken+1 {
		t.Errorf("the successor did not take over: %+v", b.lease)
	}
	if step(a); a.lease != nil || paused.Check() == nil {
		t.Error("the paused holder holds the lease again")
	}
}

// A process of the first start that looked at the lease for the first time after the object API had lost its record took it,
// while its holder still acted.
func TestLostRecordIsNotAFreeLease(t *testing.T) {
	ctx, store, clock := context.Background(), objectapitest.NewMemoryStore(), &fakeClock{time.Unix(1000, 0)}
	storeCopy := store.Copy()
	holder, other := newContender(store, clock, "holder"), newContender(store, clock, "other")
	startPeriod := DefaultTiming.Duration + DefaultTiming.MaxCommandDuration
	holder.firstStartUntil, other.firstStartUntil = clock.now.Add(startPeriod), clock.now.Add(startPeriod)
	for range 10 { // the lease is renewed beyond the start
		if err := holder.tryAcquireOrRenew(ctx); err != nil || holder.lease == nil {
			t.Fatalf("the first contender has lease %+v, error %v, want one", holder.lease, err)
		}
		clock.now = clock.now.Add(2 * time.Second)
	}
	store.Restore(storeCopy)
	if err := other.tryAcquireOrRenew(ctx); err != nil || other.lease != nil {
		t.Errorf("the other contender has lease %+v, error %v, while the holder passes its check: %t", other.lease, err, holder.lease.Check() == nil)
	}
	clock.now = clock.now.Add(startPeriod)
	if err := other.tryAcquireOrRenew(ctx); err != nil || other.lease == nil || holder.lease.Check() == nil {
		t.Errorf("after the lease has run out, the other contender has lease %+v, error %v, want one", other.lease, err)
	}
}

// TestRenewalWithLostResponse guards against a holder that gives up although its write took effect, and against a
// deadline that counts from the response in place of the sending of the write.
func TestRenewalWithLostResponse(t *testing.T) {
	ctx, store, clock := context.Background(), objectapitest.NewMemoryStore(), &fakeClock{time.Unix(1000, 0)}
	a := newContender(store, clock, "a")
	if err := a.tryAcquireOrRenew(ctx); err != nil {
		t.Fatal(err)
	}
	clock.now = clock.now.Add(3 * time.Second)
	sentAt := clock.now
	store.AfterWrite = func(string, string) error {
		clock.now = clock.now.Add(2 * time.Second)
		return objectapi.ErrOutcomeUnknown
	}
	_ = a.tryAcquireOrRenew(ctx)
	if a.lease == nil || !a.lease.deadline.Equal(sentAt.Add(DefaultTiming.Duration-DefaultTiming.Margin)) {
		t.Errorf("lease after the lost response: %+v, sent at %s", a.lease, sentAt)
	}
}

// TestRenewalWithDelayedWrite guards against a deadline that counts from a repeated write that was rejected, when the
// first write took effect long before.
func TestRenewalWithDelayedWrite(t *testing.T) {
	ctx, store, clock := context.Background(), objectapitest.NewMemoryStore(), &fakeClock{time.Unix(1000, 0)}
	a := newContender(store, clock, "a")
	if err := a.tryAcquireOrRenew(ctx); err != nil {
		t.Fatal(err)
	}
	sentAt, version := clock.now, a.version
	store.BeforeCall = func(kind, _ string) error {
		if kind == "put" {
			return objectapi.ErrOutcomeUnknown
		}
		return nil
	}
	_ = a.tryAcquireOrRenew(ctx)
	store.BeforeCall = nil
	if _, err := store.Put(ctx, Prefix+"loop", a.pendingRecord, version); err != nil {
		t.Fatal(err)
	}
	clock.now = clock.now.Add(5 * time.Second)
	_ = a.tryAcquireOrRenew(ctx)
	if a.lease == nil || !a.lease.deadline.Equal(sentAt.Add(DefaultTiming.Duration-DefaultTiming.Margin)) {
		t.Errorf("lease after the delayed write: %+v, sent at %s", a.lease, sentAt)
	}
}

// TestHoldReleasesLeaseOnStop guards against a graceful stop after which the successor must wait for the lease to
// expire.
func TestHoldReleasesLeaseOnStop(t *testing.T) {
	store := objectapitest.NewMemoryStore()
	ctx, cancel := context.WithCancel(context.Background())
	m := &Manager{Store: store, Node: "a", Timing: DefaultTiming, Log: slog.New(slog.NewTextHandler(io.Discard, nil))}
	hasReturned := false
	m.Hold(ctx, "loop", func(ctx context.Context, lease *Lease) {
		if lease.Check() != nil || lease.FencingToken != 1 {
			t.Errorf("a new lease does not pass its check or has fencing token %d", lease.FencingToken)
		}
		cancel()
		<-ctx.Done()
		hasReturned = true
	})
	o, err := store.Get(context.Background(), Prefix+"loop")
	if err != nil {
		t.Fatal(err)
	}
	if r, err := decodeRecord(o); err != nil || !r.Released || !hasReturned {
		t.Errorf("record %+v, error %v, function returned %t", r, err, hasReturned)
	}
	b := newContender(store, &fakeClock{time.Unix(1000, 0)}, "b")
	if err := b.tryAcquireOrRenew(context.Background()); err != nil || b.lease == nil || b.lease.FencingToken != 2 {
		t.Errorf("the successor has to wait: %+v, %v", b.lease, err)
	}
}
