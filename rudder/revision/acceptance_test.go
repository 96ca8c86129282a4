package revision

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"chestnutrudder.example/rudder/internal/rapidtest"
	"chestnutrudder.example/rudder/lease"
	"chestnutrudder.example/rudder/object"
	"chestnutrudder.example/rudder/objectapi"
	"chestnutrudder.example/rudder/objectapi/objectapitest"
)

func TestMain(m *testing.M) {
	rapidtest.Main(m, "seed=20261204", "checks=100", "steps=60", "shrinktime=5s")
}

var discard = slog.New(slog.NewTextHandler(io.Discard, nil))

// drawObject returns an object of a small universe, so that references dangle and claims collide often.
func drawObject(t *rapid.T) object.Object {
	name := rapid.SampledFrom([]string{"a", "b", "c"})
	o := object.Object{Kind: rapid.SampledFrom(object.Kinds).Draw(t, "kind"), Name: name.Draw(t, "name")}
	switch o.Kind {
	case object.KindOrganisation:
		hash := strings.Repeat(rapid.SampledFrom([]string{"0", "1", "2", "x"}).Draw(t, "hash"), 64)
		o.Organisation = &object.OrganisationSpec{TokenSHA256: []string{hash}, Share: 1, MaxInProgress: 1}
	case object.KindModelVersion:
		o.ModelVersion = &object.ModelVersionSpec{
			Model: "m", Version: "1", Weights: "w", WeightsBytes: 1, ContextTokens: 1, Slots: rapid.IntRange(0, 2).Draw(t, "slots"),
		}
	case object.KindDeployment:
		d := &object.DeploymentSpec{
			Backend: object.BackendService, FailureDomains: []string{"x"}, HostClasses: []string{"c"}, MaxRunners: 1, Fencing: "ignored",
			Target: object.Target{FirstTokenMilliseconds: 1, BetweenTokensMilliseconds: 1}, Preference: object.Preference{Cost: 1},
		}
		if rapid.Bool().Draw(t, "model") {
			d.Backend, d.ModelVersion = object.BackendModel, name.Draw(t, "modelVersion")
		}
		o.Deployment = d
	case object.KindRoute:
		r := &object.RouteSpec{Deployment: name.Draw(t, "deployment")}
		if rapid.Bool().Draw(t, "all") {
			r.Organisations = []string{name.Draw(t, "organisation")}
		}
		if rapid.Bool().Draw(t, "service") {
			r.Service = "s"
		} else {
			r.Model = "m"
		}
		o.Route = r
	}
	return o
}

// system is the object API, one acceptor at a time and some nodes that follow.
type system struct {
	t        *rapid.T
	store    *objectapitest.Memory
	acceptor *acceptance
	former   []*acceptance // acceptors that were paused and lost their lease
	fence    int64
	written  map[string]map[string]bool // every version ever written, as JSON, by ID
	nodes    []*Follower
	pointers []objectapi.Object // every pointer ever written
	highest  int64              // number of the newest revision
	faults   bool
}

func newSystem(t *rapid.T) *system {
	s := &system{t: t, store: objectapitest.NewMemory(), written: map[string]map[string]bool{}, faults: true}
	// The store is called from other goroutines too, which must not draw from t.
	faults := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "fault seed"), 0))
	s.store.Before = func(string, string) error {
		if s.faults && faults.IntN(10) == 0 {
			return objectapi.ErrUnavailable
		}
		return nil
	}
	s.store.After = func(string, string) error {
		if s.faults && faults.IntN(10) == 0 {
			return objectapi.ErrUnsettled
		}
		return nil
	}
	for i := range 2 {
		s.nodes = append(s.nodes, newFollower(s.store, fmt.Sprintf("node-%d", i)))
	}
	s.replaceAcceptor()
	return s
}

// replaceAcceptor ends the acceptor, at whatever point it was, and starts the next holder of the lease. The former one
// keeps trying, as a process that resumes after a pause does.
func (s *system) replaceAcceptor() {
	if former := s.acceptor; former != nil {
		s.former = append(s.former, former)
	}
	s.fence++
	a := &Acceptor{Store: s.store, Current: &Current{}, Log: discard}
	s.acceptor = &acceptance{Acceptor: a, fence: s.fence, writers: 1, check: func() error { return nil }}
	for s.acceptor.start(context.Background()) != nil {
		continue
	}
}

func (s *system) write(o object.Object) {
	raw, err := json.Marshal(o)
	if err != nil {
		s.t.Fatal(err)
	}
	if s.written[o.ID()] == nil {
		s.written[o.ID()] = map[string]bool{}
	}
	s.written[o.ID()][string(raw)] = true
	s.quietly(func() { _, _ = s.store.Put(context.Background(), o.Key(), o, objectapi.Any) })
}

func (s *system) quietly(do func()) {
	faults := s.faults
	s.faults = false
	do()
	s.faults = faults
}

// check is the oracle for what is always true: the pointer names an existing snapshot, its number never decreases, the
// snapshot is consistent, and every object in it was written by an operator in exactly this form.
func (s *system) check() {
	s.quietly(func() {
		o, err := s.store.Get(context.Background(), CurrentKey)
		if err != nil {
			s.t.Fatal(err)
		}
		var pointer Pointer
		if err := json.Unmarshal(o.Value, &pointer); err != nil {
			s.t.Fatal(err)
		}
		s.pointers = append(s.pointers, o)
		if pointer.Number < s.highest {
			s.t.Fatalf("revision %d after %d", pointer.Number, s.highest)
		}
		s.highest = pointer.Number
		if len(pointer.Kept) > keptSnapshots {
			s.t.Fatalf("%d snapshots are kept", len(pointer.Kept))
		}
		snapshot, err := readSnapshot(context.Background(), s.store, pointer.Key)
		if err != nil {
			s.t.Fatalf("snapshot %q that the pointer names: %v", pointer.Key, err)
		}
		if problems := object.Check(snapshot.Objects, nil); len(problems) > 0 {
			s.t.Fatalf("revision %d is inconsistent: %v", snapshot.Number, problems)
		}
		for _, o := range snapshot.Objects {
			if raw, _ := json.Marshal(o); !s.written[o.ID()][string(raw)] {
				s.t.Fatalf("revision %d holds %s, which nobody wrote", snapshot.Number, raw)
			}
		}
	})
}

// settle lets the acceptor finish without faults and compares statuses with the snapshot. Each refusal must be
// necessary: the refused change alone would make the snapshot inconsistent.
func (s *system) settle() {
	s.faults = false
	defer func() { s.faults = true }()
	ctx := context.Background()
	if _, err := s.acceptor.accept(ctx); err != nil {
		s.t.Fatal(err)
	}
	inForce := s.acceptor.inForce
	listing, _ := s.store.List(ctx, object.SpecPrefix)
	specs := map[string]written{}
	for _, o := range listing.Objects {
		specs[strings.TrimPrefix(o.Key, object.SpecPrefix)] = decodeWritten(o)
	}
	statuses := s.statuses(ctx)
	for id, w := range specs {
		status, found := statuses[id]
		present, isInForce := inForce[id]
		if !found || status.ObservedVersion != w.version || (status.Revision > 0) != isInForce {
			s.t.Fatalf("%s version %d: status %+v, in force: %t", id, w.version, status, isInForce)
		}
		if taken := isInForce && reflect.DeepEqual(present, w.object); status.Accepted != taken || (status.Reason == "") != taken {
			s.t.Fatalf("%s: status %+v, in force as written: %t", id, status, taken)
		}
		if !status.Accepted && len(w.problems) == 0 && isConsistent(with(inForce, w.object)) {
			s.t.Fatalf("%s was refused without need: %s", id, status.Reason)
		}
	}
	for id := range inForce {
		if _, found := specs[id]; !found && (statuses[id].Reason == "" || isConsistent(without(inForce, id))) {
			s.t.Fatalf("%s was deleted and stays without need: %+v", id, statuses[id])
		}
	}
	for id := range statuses {
		if _, found := inForce[id]; !found && specs[id].version == 0 {
			s.t.Fatalf("status of %s is left over", id)
		}
	}
	s.settleOnce(ctx)
}

// settleOnce checks that a second pass without changes writes nothing.
func (s *system) settleOnce(ctx context.Context) {
	puts, deletes, before := s.store.Calls("put"), s.store.Calls("delete"), s.statuses(ctx)
	if _, err := s.acceptor.accept(ctx); err != nil {
		s.t.Fatal(err)
	}
	if s.store.Calls("put") != puts || s.store.Calls("delete") != deletes {
		s.t.Fatalf("a pass without changes wrote; statuses before: %+v, after: %+v", before, s.statuses(ctx))
	}
}

func (s *system) statuses(ctx context.Context) map[string]object.Status {
	listing, err := s.store.List(ctx, object.StatusPrefix)
	if err != nil {
		s.t.Fatal(err)
	}
	statuses := map[string]object.Status{}
	for _, o := range listing.Objects {
		var status object.Status
		_ = json.Unmarshal(o.Value, &status)
		statuses[strings.TrimPrefix(o.Key, object.StatusPrefix)] = status
	}
	return statuses
}

func with(set object.Set, o object.Object) object.Set {
	changed := object.NewSet(set.List())
	changed[o.ID()] = o
	return changed
}

func without(set object.Set, id string) object.Set {
	changed := object.NewSet(set.List())
	delete(changed, id)
	return changed
}

// isConsistent reports whether a set has no dangling references and no conflicts.
func isConsistent(set object.Set) bool {
	for _, o := range set {
		if len(set.CheckReferences(o)) > 0 {
			return false
		}
	}
	return len(object.Conflicts(set.List())) == 0
}

// follow shows a node some pointer, perhaps an old one, or lets it ask the other node.
func (s *system) follow(t *rapid.T) {
	i := rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node")
	n := s.nodes[i]
	before := n.Current.Index().Number
	if rapid.Bool().Draw(t, "from peer") {
		snapshot, err := snapshotFrom(s.nodes[1-i].HandleSnapshot(snapshotRequest(before)), n.Current.Index().Snapshot)
		if err != nil {
			t.Fatal(err)
		}
		n.adopt(snapshot, "peer")
		other := s.nodes[1-i].Current.Index()
		if got := n.Current.Index(); got.Number == other.Number && !reflect.DeepEqual(got.Snapshot, other.Snapshot) {
			t.Fatalf("revision %d differs between two nodes", got.Number)
		}
	} else if len(s.pointers) > 0 {
		_ = n.takeNewest(context.Background(), []objectapi.Object{rapid.SampledFrom(s.pointers).Draw(t, "pointer")})
	}
	if n.Current.Index().Number < before {
		t.Fatalf("node went from revision %d to %d", before, n.Current.Index().Number)
	}
}

// TestAcceptance guards against a configuration that is inconsistent, that nobody wrote, that reverts, that is refused
// without need, or that waits for good after an acceptor died or was paused at any point.
func TestAcceptance(t *testing.T) {
	revisions := int64(0)
	rapid.Check(t, func(t *rapid.T) {
		s := newSystem(t)
		t.Repeat(map[string]func(*rapid.T){
			"":       func(*rapid.T) { s.check() },
			"write":  func(t *rapid.T) { s.write(drawObject(t)) },
			"write2": func(t *rapid.T) { s.write(drawObject(t)); s.write(drawObject(t)) },
			"delete": func(t *rapid.T) {
				o := drawObject(t)
				s.quietly(func() { _ = s.store.Delete(context.Background(), o.Key(), objectapi.Any) })
			},
			"accept":  func(*rapid.T) { _, _ = s.acceptor.accept(context.Background()) },
			"replace": func(*rapid.T) { s.replaceAcceptor() },
			"former": func(t *rapid.T) {
				if len(s.former) == 0 {
					t.Skip("no former acceptor")
				}
				s.resume(rapid.SampledFrom(s.former).Draw(t, "former"))
			},
			"follow": func(t *rapid.T) { s.follow(t) },
			"settle": func(*rapid.T) { s.settle() },
		})
		revisions += s.highest
	})
	t.Logf("%d revisions", revisions)
}

// resume lets a former acceptor go on with the versions that it read before its pause. Even if its lease check came too
// early, it must not move the pointer.
func (s *system) resume(former *acceptance) {
	number := s.highest
	err := former.publish(context.Background(), former.inForce)
	s.check()
	if err == nil || s.highest != number {
		s.t.Fatalf("a former acceptor moved the pointer from %d to %d", number, s.highest)
	}
	if _, err := former.accept(context.Background()); err == nil || s.faults && !isFault(err) && !errors.Is(err, lease.ErrLost) {
		s.t.Fatalf("a former acceptor accepted: %v", err)
	}
}

func isFault(err error) bool {
	return errors.Is(err, objectapi.ErrUnavailable) || errors.Is(err, objectapi.ErrUnsettled)
}
