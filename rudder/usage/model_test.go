package usage

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"chestnutrudder.example/rudder/lease"
	"chestnutrudder.example/rudder/objectapi"
	"chestnutrudder.example/rudder/objectapi/objectapitest"
)

// The times of the model are those of the mesh and of the node; see mesh.BaseInterval, mesh.RemoveAfter and relaynode.isolationDelay.
const (
	modelWindow          = 5 * time.Second
	modelDigestInterval  = 250 * time.Millisecond
	modelSilenceLimit    = 1200 * time.Millisecond
	modelRemoveAfter     = 20 * time.Second
	modelIsolationDelay  = 500 * time.Millisecond
	modelFaultTime       = 30 * time.Second
	modelCalmTime        = 40 * time.Second
	modelReportedWithin  = 6 * time.Second // of the last fault, while a majority is in touch
	modelCopyInterval    = 500 * time.Millisecond
	modelMaxCopies       = 7
	modelDigestLossShare = 0.05
)

// modelPlatform accepts reports like the platform does, and notes windows that were reported with different counts.
type modelPlatform struct {
	mu         sync.Mutex
	maxFence   int64
	reports    map[int64]Counts
	violations []string
	accepted   chan struct{} // has a value after a report was accepted
}

func (p *modelPlatform) accept(node string, fence, window int64, counts Counts) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if fence < p.maxFence {
		return errors.New("a higher fencing token was used")
	}
	p.maxFence = fence
	if before, found := p.reports[window]; found && !maps.Equal(before, counts) {
		p.violations = append(p.violations, fmt.Sprintf("window %d was reported with %v, then by %s with %v", window, before, node, counts))
	}
	p.reports[window] = maps.Clone(counts)
	select {
	case p.accepted <- struct{}{}:
	default:
	}
	return nil
}

// modelSystem is a number of nodes that report usage, with a store and a platform.
type modelSystem struct {
	random   *rand.Rand // for the task that draws faults
	store    *objectapitest.MemoryStore
	platform modelPlatform
	log      []string

	mu         sync.Mutex
	nodes      []*modelNode
	isAway     bool // the store
	restoredAt time.Time
	epoch      int64
	copies     []any // of the store, the latest ones
}

// modelPeer is what a node knows of a peer.
type modelPeer struct {
	incarnation, finalThrough int64
	knownSince, sentAt        time.Time
	isDraining, holdsDuties   bool
}

// modelNode is one process of a node. The lock of the system guards its fields.
type modelNode struct {
	*modelSystem
	name         string
	incarnation  int64
	side         int // nodes on different sides do not hear each other
	startedAt    time.Time
	counter      *Counter
	peers        map[string]*modelPeer
	epochSeen    int64
	isDead       bool
	isDraining   bool
	holdsDuties  bool
	frozenUntil  time.Time
	cancel       context.CancelFunc
	tasks        *sync.WaitGroup
	digestRandom *rand.Rand
}

var errModelDead = errors.New("process has ended")

// awaitThaw waits while the process stands still. It returns an error if the process has been killed.
func (n *modelNode) awaitThaw() error {
	for {
		n.mu.Lock()
		isDead, rest := n.isDead, time.Until(n.frozenUntil)
		n.mu.Unlock()
		if isDead {
			return errModelDead
		}
		if rest <= 0 {
			return nil
		}
		time.Sleep(rest)
	}
}

// modelStore is the store as one process reaches it.
type modelStore struct {
	*objectapitest.MemoryStore
	node *modelNode
}

func (s modelStore) before() error {
	if err := s.node.awaitThaw(); err != nil {
		return objectapi.ErrUnavailable
	}
	s.node.mu.Lock()
	defer s.node.mu.Unlock()
	if s.node.isAway {
		return objectapi.ErrUnavailable
	}
	s.node.epochSeen = s.node.epoch
	return nil
}

func (s modelStore) Get(ctx context.Context, key string) (objectapi.Object, error) {
	if err := s.before(); err != nil {
		return objectapi.Object{}, err
	}
	o, err := s.MemoryStore.Get(ctx, key)
	if thawErr := s.node.awaitThaw(); thawErr != nil {
		return objectapi.Object{}, objectapi.ErrUnavailable
	}
	return o, err
}

func (s modelStore) Put(ctx context.Context, key string, value any, expected objectapi.Version) (objectapi.Object, error) {
	if err := s.before(); err != nil {
		return objectapi.Object{}, err
	}
	o, err := s.MemoryStore.Put(ctx, key, value, expected)
	if thawErr := s.node.awaitThaw(); thawErr != nil {
		return objectapi.Object{}, objectapi.ErrUnavailable
	}
	return o, err
}

func (s modelStore) Delete(ctx context.Context, key string, expected objectapi.Version) error {
	if err := s.before(); err != nil {
		return err
	}
	return s.MemoryStore.Delete(ctx, key, expected)
}

// count returns how many peers are reachable and match, may run, and have stopped; see mesh.CountDirectPeers.
func (n *modelNode) count(matches func(*modelPeer) bool) (matching, running, stopped int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for name, p := range n.peers {
		silence := time.Since(p.sentAt)
		switch {
		case silence > modelRemoveAfter:
			delete(n.peers, name)
		case silence <= modelSilenceLimit:
			running++
			if matches(p) {
				matching++
			}
		case p.isDraining:
			stopped++
		default:
			running++
		}
	}
	return matching, running, stopped
}

func isModelMajority(peers, known int) bool { return 2*(peers+1) > known+1 }

func (n *modelNode) isInMajority() bool {
	reachable, running, _ := n.count(func(*modelPeer) bool { return true })
	if running == 0 && time.Since(n.startedAt) < modelRemoveAfter {
		return false
	}
	return isModelMajority(reachable, running)
}

func (n *modelNode) HaveToldWithin(d time.Duration) bool {
	since := time.Now().Add(-d)
	told, running, _ := n.count(func(p *modelPeer) bool { return !p.sentAt.Before(since) })
	return isModelMajority(told, running)
}

func (n *modelNode) HaveNoted(window int64) bool {
	noted, running, _ := n.count(func(p *modelPeer) bool { return p.finalThrough >= window })
	return isModelMajority(noted, running)
}

func (n *modelNode) WereHeardSince(t time.Time) bool {
	if n.startedAt.After(t) {
		return false
	}
	heard, running, stopped := n.count(func(p *modelPeer) bool { return !p.knownSince.After(t) })
	return isModelMajority(heard, running+stopped)
}

func (n *modelNode) keptSince() (time.Time, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.epochSeen < n.epoch {
		return time.Time{}, true // it has not heard of the restore
	}
	return n.restoredAt, true
}

// shouldContend is relaynode.isLeaseContender.
func (n *modelNode) shouldContend(string) bool {
	if !n.isInMajority() {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	preceding := 0
	for name, p := range n.peers {
		if time.Since(p.sentAt) > modelSilenceLimit {
			continue
		}
		if p.holdsDuties {
			return false
		}
		if name < n.name {
			preceding++
		}
	}
	return preceding < 3 && !n.isDraining
}

// runDuties is relaynode.runDuties.
func (n *modelNode) runDuties(ctx context.Context, dutyLease *lease.Lease) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n.mu.Lock()
	n.holdsDuties = true
	n.mu.Unlock()
	n.tasks.Go(func() {
		last := time.Now()
		for ctx.Err() == nil {
			if n.awaitThaw() != nil || n.isInMajority() {
				last = time.Now()
			}
			if time.Since(last) >= modelIsolationDelay {
				cancel()
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
	r := &Reporter{
		Counter: n.counter, Store: modelStore{n.store, n}, OverdueAfter: 10 * time.Second, Now: time.Now, Peers: n, KeptSince: n.keptSince,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Send: func(_ context.Context, fence, window int64, counts Counts) error {
			if err := n.awaitThaw(); err != nil {
				return err
			}
			err := n.platform.accept(n.name, fence, window, counts)
			if thawErr := n.awaitThaw(); thawErr != nil {
				return thawErr
			}
			return err
		},
	}
	r.Run(ctx, dutyLease)
	n.mu.Lock()
	n.holdsDuties = false
	n.mu.Unlock()
}

// modelClock reads the clock of the test.
type modelClock struct{}

func (modelClock) Now() time.Time { return time.Now() }

// startNode starts a process of a node.
func (s *modelSystem) startNode(i int, isFirstStart bool) {
	ctx, cancel := context.WithCancel(context.Background())
	s.mu.Lock()
	defer s.mu.Unlock()
	n := &modelNode{modelSystem: s, name: fmt.Sprintf("n%d", i), startedAt: time.Now(), incarnation: time.Now().UnixNano(), peers: map[string]*modelPeer{}, cancel: cancel, epochSeen: s.epoch, tasks: &sync.WaitGroup{}}
	if s.nodes[i] != nil {
		n.side = s.nodes[i].side
	}
	n.digestRandom = rand.New(rand.NewPCG(uint64(i), s.random.Uint64()))
	n.counter = NewCounter(fmt.Sprintf("%s/%d", n.name, n.incarnation), modelWindow, time.Now)
	s.nodes[i] = n
	n.tasks.Go(func() {
		m := &lease.Manager{
			Store: modelStore{s.store, n}, Node: n.name, Log: slog.New(slog.DiscardHandler), ShouldContend: n.shouldContend, Clock: modelClock{},
			Timing: lease.Timing{Duration: 3 * time.Second, Margin: 500 * time.Millisecond, MaxCommandDuration: time.Second}, PollInterval: 500 * time.Millisecond, IsFirstStart: isFirstStart,
		}
		m.Hold(ctx, "duties", n.runDuties)
	})
	n.tasks.Go(func() {
		for ctx.Err() == nil {
			if n.awaitThaw() == nil {
				n.counter.CountRun("o")
				n.sendDigest()
			}
			time.Sleep(modelDigestInterval)
		}
	})
}

// sendDigest tells the state of a node to those that it reaches.
func (n *modelNode) sendDigest() {
	windows, finalThrough := n.counter.RecentWindows(), n.counter.FinalThrough()
	n.mu.Lock()
	var receivers []*modelNode
	for _, peer := range n.nodes {
		if peer == nil || peer == n || peer.isDead || peer.side != n.side || n.digestRandom.Float64() < modelDigestLossShare {
			continue
		}
		known := peer.peers[n.name]
		if known == nil || known.incarnation != n.incarnation {
			known = &modelPeer{incarnation: n.incarnation, knownSince: time.Now()}
			peer.peers[n.name] = known
		}
		known.sentAt, known.finalThrough, known.isDraining, known.holdsDuties = time.Now(), finalThrough, n.isDraining, n.holdsDuties
		receivers = append(receivers, peer)
	}
	n.mu.Unlock()
	for _, peer := range receivers {
		peer.counter.MergePeerWindows(fmt.Sprintf("%s/%d", n.name, n.incarnation), windows)
		peer.counter.NoteFinalThrough(finalThrough)
	}
}

// kill ends a process at once, without a release of its lease, and waits for its tasks.
func (s *modelSystem) kill(i int) {
	s.mu.Lock()
	n := s.nodes[i]
	n.isDead = true
	s.mu.Unlock()
	n.cancel()
	n.tasks.Wait()
}

// holder returns the number of a node that holds the duties, else of any.
func (s *modelSystem) holder() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.IndexFunc(s.nodes, func(n *modelNode) bool { return n.holdsDuties && !n.isDead }); i >= 0 {
		return i
	}
	return s.random.IntN(len(s.nodes))
}

func (s *modelSystem) note(format string, args ...any) {
	s.log = append(s.log, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

// setSides cuts the node off from the others, or puts all nodes on one side if it is negative.
func (s *modelSystem) setSides(cutOff int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, n := range s.nodes {
		n.side = 0
		if i == cutOff {
			n.side = 1
		}
	}
}

// disturb draws one fault, which may overlap with the ones that follow.
func (s *modelSystem) disturb(faults *sync.WaitGroup) {
	target := s.holder()
	if s.random.IntN(3) == 0 {
		target = s.random.IntN(len(s.nodes))
	}
	length := time.Duration(200+s.random.IntN(5500)) * time.Millisecond
	switch kind := s.random.IntN(8); kind {
	case 0, 1:
		s.note("n%d is cut off for %s", target, length)
		s.setSides(target)
		faults.Go(func() { time.Sleep(length); s.setSides(-1) })
	case 2:
		s.note("n%d stands still for %s", target, length)
		s.mu.Lock()
		s.nodes[target].frozenUntil = time.Now().Add(length)
		s.mu.Unlock()
	case 3:
		s.note("n%d is killed and starts again after %s", target, length/2)
		s.kill(target)
		time.Sleep(length / 2)
		s.startNode(target, false)
	case 4:
		s.note("the holder n%d ends, and the store is restored", target)
		s.kill(target)
		s.restore(s.random.IntN(modelMaxCopies), time.Duration(s.random.IntN(1500))*time.Millisecond)
		s.setSides(-1)
		time.Sleep(length / 2)
		s.startNode(target, false)
	case 5:
		s.note("the store is restored")
		s.restore(s.random.IntN(modelMaxCopies), time.Duration(s.random.IntN(1500))*time.Millisecond)
	default:
		// What the holder does last is known to few, and the store may lose its record of that.
		target = s.holder()
		s.note("n%d is cut off until a report is accepted, %s at most; it ends then, and the store is restored", target, length+2*time.Second)
		s.setSides(target)
		s.awaitReport(length + 2*time.Second)
		s.kill(target)
		s.restore(0, 100*time.Millisecond)
		s.setSides(-1)
		time.Sleep(length / 2)
		s.startNode(target, false)
	}
}

// awaitReport waits until the platform accepts a report, or for a time.
func (s *modelSystem) awaitReport(atMost time.Duration) {
	for {
		select {
		case <-s.platform.accepted: // an earlier report
			continue
		default:
		}
		break
	}
	select {
	case <-s.platform.accepted:
	case <-time.After(atMost):
	}
}

// restore lets the store be away for a time and come back from a copy; copy 0 is the oldest one.
func (s *modelSystem) restore(number int, away time.Duration) {
	s.mu.Lock()
	storeCopy := s.copies[number]
	s.isAway = true
	s.mu.Unlock()
	time.Sleep(away)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isAway, s.epoch, s.restoredAt = false, s.epoch+1, time.Now()
	s.store.Restore(storeCopy)
}

// play runs the system under drawn faults, and then with a majority in touch, and returns what was wrong.
func (s *modelSystem) play(count int) []string {
	s.nodes = make([]*modelNode, count)
	for i := range count {
		s.startNode(i, true)
	}
	var faults sync.WaitGroup
	stopCopying := make(chan struct{})
	faults.Go(func() {
		for {
			select {
			case <-stopCopying:
				return
			case <-time.After(modelCopyInterval):
			}
			s.mu.Lock()
			s.copies = append(s.copies, s.store.Copy())
			s.copies = s.copies[max(0, len(s.copies)-modelMaxCopies):]
			s.mu.Unlock()
		}
	})
	time.Sleep(6 * time.Second)
	for endsAt := time.Now().Add(modelFaultTime); time.Now().Before(endsAt); {
		time.Sleep(time.Duration(s.random.IntN(4000)) * time.Millisecond)
		s.disturb(&faults)
	}
	close(stopCopying)
	faults.Wait()
	time.Sleep(6 * time.Second) // standstills
	calmAt := time.Now()
	if s.random.IntN(2) == 0 {
		s.note("the holder n%d is cut off for good", s.holder())
		s.setSides(s.holder())
	}
	time.Sleep(modelCalmTime)
	for i := range s.nodes {
		s.kill(i)
	}
	problems := s.platform.violations
	first := (calmAt.Add(modelReportedWithin).UnixNano() - 1) / int64(modelWindow)
	last := time.Now().Add(-10*time.Second).UnixNano()/int64(modelWindow) - 1
	for window := first; window <= last; window++ {
		if s.platform.reports[window] == nil {
			problems = append(problems, fmt.Sprintf("window %d was not reported, though a majority was in touch for %s at its end", window, time.Unix(0, (window+1)*int64(modelWindow)).Sub(calmAt)))
		}
	}
	return problems
}

// Guards against usage windows that are reported twice with different counts, and against windows that nobody reports: nodes are cut
// off, stand still, end and start again while the store comes back from older copies (review case 14, and drawn combinations).
func TestWindowsAreReportedOnceUnderDrawnFaults(t *testing.T) {
	reports := 0
	for seed := range uint64(200) {
		var problems []string
		var log string
		synctest.Test(t, func(*testing.T) {
			s := &modelSystem{random: rand.New(rand.NewPCG(seed, 57)), store: objectapitest.NewMemoryStore()}
			s.platform.reports, s.platform.accepted = map[int64]Counts{}, make(chan struct{}, 1)
			problems, log = s.play(3+int(seed%5)), strings.Join(s.log, "\n")
			reports += len(s.platform.reports)
		})
		if len(problems) > 0 {
			t.Errorf("seed %d: %s\n%s", seed, strings.Join(problems, "\n"), log)
		}
	}
	if reports == 0 {
		t.Error("nothing was ever reported, so that the test has checked nothing")
	}
}
