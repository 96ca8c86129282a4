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

var discardLogger = slog.New(slog.NewTextHandler(io.Discard, nil))

// drawObject returns an object with one of few names and values, so that dangling references and conflicting unique keys
// are frequent.
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
			Target: object.LatencyTarget{FirstTokenMilliseconds: 1, BetweenTokensMilliseconds: 1}, Preference: object.Preference{Cost: 1},
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

// simulation consists of the object API, the current acceptor, its predecessors and some nodes that follow.
type simulation struct {
	t               *rapid.T
	store           *objectapitest.MemoryStore
	acceptor        *acceptorSession
	formerAcceptors []*acceptorSession // acceptors that were paused and lost their lease
	fencingToken    int64
	writtenVersions map[string]map[string]bool // every version ever written, as JSON, by object ID
	followers       []*Follower
	pointerHistory  []objectapi.Object // every pointer that checkInvariants has read
	highestRevision int64              // number of the newest revision
	hasFaults       bool               // whether the store injects faults
	copies          []any              // of the store
	restores        int
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{t: t, store: objectapitest.NewMemoryStore(), writtenVersions: map[string]map[string]bool{}, hasFaults: true}
	// The store is called from other goroutines too, which must not draw from t.
	faultRand := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "fault seed"), 0))
	s.store.BeforeCall = func(string, string) error {
		if s.hasFaults && faultRand.IntN(10) == 0 {
			return objectapi.ErrUnavailable
		}
		return nil
	}
	s.store.AfterWrite = func(string, string) error {
		if s.hasFaults && faultRand.IntN(10) == 0 {
			return objectapi.ErrOutcomeUnknown
		}
		return nil
	}
	for i := range 2 {
		s.followers = append(s.followers, newFollower(s.store, fmt.Sprintf("node-%d", i)))
	}
	s.replaceAcceptor()
	return s
}

// replaceAcceptor replaces the acceptor, at whatever point it was, by the next holder of the lease, on one of the nodes that
// follow or on a new one. The former acceptor keeps trying, as a process that resumes after a pause does.
func (s *simulation) replaceAcceptor() {
	if former := s.acceptor; former != nil {
		s.formerAcceptors = append(s.formerAcceptors, former)
	}
	s.fencingToken++
	f := newFollower(s.store, "acceptor")
	if i := rapid.IntRange(0, len(s.followers)).Draw(s.t, "acceptor's node"); i < len(s.followers) {
		f = s.followers[i]
	}
	a := &Acceptor{
		Store: s.store, CurrentSnapshot: f.CurrentSnapshot, NewestKnownNumber: f.NewestKnownNumber, OnPublish: f.ApplyPublished, Log: discardLogger,
	}
	s.acceptor = &acceptorSession{
		Acceptor: a, fencingToken: s.fencingToken, maxStatusWrites: 1, checkLease: func() error { return nil },
	}
	for s.acceptor.start(context.Background()) != nil {
		continue
	}
}

// restore replaces the contents of the store by a copy. Former acceptors are gone then: a lease does not last that long.
func (s *simulation) restore(t *rapid.T) {
	if len(s.copies) == 0 || rapid.IntRange(0, 3).Draw(t, "rarity") > 0 {
		t.Skip("there is no copy, or it is not restored now")
	}
	s.store.Restore(rapid.SampledFrom(s.copies).Draw(t, "copy"))
	s.restores++
	s.highestRevision, s.formerAcceptors = 0, nil
}

func (s *simulation) write(o object.Object) {
	raw, err := json.Marshal(o)
	if err != nil {
		s.t.Fatal(err)
	}
	if s.writtenVersions[o.ID()] == nil {
		s.writtenVersions[o.ID()] = map[string]bool{}
	}
	s.writtenVersions[o.ID()][string(raw)] = true
	s.withoutFaults(func() { _, _ = s.store.Put(context.Background(), o.SpecKey(), o, objectapi.AnyVersion) })
}

// withoutFaults calls fn while the store injects no faults.
func (s *simulation) withoutFaults(fn func()) {
	hadFaults := s.hasFaults
	s.hasFaults = false
	fn()
	s.hasFaults = hadFaults
}

// checkInvariants checks what must always hold: the pointer names an existing snapshot, its number never decreases, the
// snapshot is consistent, and every object in it was written by an operator in exactly this form.
func (s *simulation) checkInvariants() {
	s.withoutFaults(func() {
		o, err := s.store.Get(context.Background(), PointerKey)
		if err != nil {
			s.t.Fatal(err)
		}
		var pointer Pointer
		if err := json.Unmarshal(o.Value, &pointer); err != nil {
			s.t.Fatal(err)
		}
		s.pointerHistory = append(s.pointerHistory, o)
		if pointer.Number < s.highestRevision {
			s.t.Fatalf("pointer went to revision %d after revision %d", pointer.Number, s.highestRevision)
		}
		s.highestRevision = pointer.Number
		if len(pointer.RetainedKeys) > maxRetainedSnapshots {
			s.t.Fatalf("pointer retains %d snapshots", len(pointer.RetainedKeys))
		}
		snapshot, err := readSnapshot(context.Background(), s.store, pointer.SnapshotKey)
		if err != nil {
			s.t.Fatalf("snapshot %q that the pointer names: %v", pointer.SnapshotKey, err)
		}
		if problems := object.ValidateAll(snapshot.Objects, nil); len(problems) > 0 {
			s.t.Fatalf("revision %d is inconsistent: %v", snapshot.Number, problems)
		}
		for _, o := range snapshot.Objects {
			if raw, _ := json.Marshal(o); !s.writtenVersions[o.ID()][string(raw)] {
				s.t.Fatalf("revision %d contains %s, which no operator wrote", snapshot.Number, raw)
			}
		}
	})
}

// checkConverged lets the acceptor finish without faults and compares the statuses with the snapshot. Each rejection
// must be necessary: the rejected change by itself would make the snapshot inconsistent.
func (s *simulation) checkConverged() {
	s.hasFaults = false
	defer func() { s.hasFaults = true }()
	ctx := context.Background()
	if _, err := s.acceptor.accept(ctx); err != nil {
		s.t.Fatal(err)
	}
	accepted := s.acceptor.acceptedObjects
	listing, _ := s.store.List(ctx, object.SpecPrefix)
	specs := map[string]desiredObject{}
	for _, o := range listing.Objects {
		specs[strings.TrimPrefix(o.Key, object.SpecPrefix)] = decodeDesired(o)
	}
	statuses := s.statuses(ctx)
	for id, desired := range specs {
		status, found := statuses[id]
		acceptedObject, isAccepted := accepted[id]
		if !found || status.ObservedVersion != desired.version || (status.Revision > 0) != isAccepted {
			s.t.Fatalf("%s version %d: status %+v, in force: %t", id, desired.version, status, isAccepted)
		}
		if isAsWritten := isAccepted && reflect.DeepEqual(acceptedObject, desired.object); status.Accepted != isAsWritten || (status.Reason == "") != isAsWritten {
			s.t.Fatalf("%s: status %+v, in force as written: %t", id, status, isAsWritten)
		}
		if !status.Accepted && len(desired.problems) == 0 && isConsistent(withObject(accepted, desired.object)) {
			s.t.Fatalf("%s was rejected needlessly: %s", id, status.Reason)
		}
	}
	for id := range accepted {
		if _, found := specs[id]; !found && (statuses[id].Reason == "" || isConsistent(withoutObject(accepted, id))) {
			s.t.Fatalf("%s was deleted and stays in force needlessly: %+v", id, statuses[id])
		}
	}
	for id := range statuses {
		if _, found := accepted[id]; !found && specs[id].version.IsZero() {
			s.t.Fatalf("status of %s remains although the object no longer exists", id)
		}
	}
	s.checkIdempotent(ctx)
}

// checkIdempotent checks that a second pass without changes writes nothing.
func (s *simulation) checkIdempotent(ctx context.Context) {
	puts, deletes, before := s.store.CallCount("put"), s.store.CallCount("delete"), s.statuses(ctx)
	if _, err := s.acceptor.accept(ctx); err != nil {
		s.t.Fatal(err)
	}
	if s.store.CallCount("put") != puts || s.store.CallCount("delete") != deletes {
		s.t.Fatalf("a pass without changes wrote; statuses before: %+v, after: %+v", before, s.statuses(ctx))
	}
}

func (s *simulation) statuses(ctx context.Context) map[string]object.Status {
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

func withObject(set object.Set, o object.Object) object.Set {
	changed := object.NewSet(set.List())
	changed[o.ID()] = o
	return changed
}

func withoutObject(set object.Set, id string) object.Set {
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

// updateFollower passes one of the pointers, possibly an outdated one, to a node, or lets it request the snapshot of
// the other node.
func (s *simulation) updateFollower(t *rapid.T) {
	i := rapid.IntRange(0, len(s.followers)-1).Draw(t, "node")
	f := s.followers[i]
	before := f.CurrentSnapshot.Index().Number
	if rapid.Bool().Draw(t, "from peer") {
		snapshot, err := snapshotFromReply(s.followers[1-i].HandleSnapshot(snapshotRequest(before)), f.CurrentSnapshot.Index().Snapshot)
		if err != nil {
			t.Fatal(err)
		}
		f.apply(snapshot, "peer")
		other := s.followers[1-i].CurrentSnapshot.Index()
		if got := f.CurrentSnapshot.Index(); got.Number == other.Number && !reflect.DeepEqual(got.Snapshot, other.Snapshot) {
			t.Fatalf("revision %d differs between two nodes", got.Number)
		}
	} else if len(s.pointerHistory) > 0 {
		_ = f.applyNewest(context.Background(), []objectapi.Object{rapid.SampledFrom(s.pointerHistory).Draw(t, "pointer")})
	}
	if f.CurrentSnapshot.Index().Number < before {
		t.Fatalf("node reverted from revision %d to %d", before, f.CurrentSnapshot.Index().Number)
	}
}

// TestAcceptance guards against a configuration that is inconsistent, was not written by an operator or reverts,
// against a change that is rejected needlessly, and against changes that are never accepted after an acceptor died or
// was paused at any point, or the store was restored from an older copy.
func TestAcceptance(t *testing.T) {
	pointers, restores := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		t.Repeat(map[string]func(*rapid.T){
			"":       func(*rapid.T) { s.checkInvariants() },
			"write":  func(t *rapid.T) { s.write(drawObject(t)) },
			"write2": func(t *rapid.T) { s.write(drawObject(t)); s.write(drawObject(t)) },
			"delete": func(t *rapid.T) {
				o := drawObject(t)
				s.withoutFaults(func() { _ = s.store.Delete(context.Background(), o.SpecKey(), objectapi.AnyVersion) })
			},
			"accept":  func(*rapid.T) { _, _ = s.acceptor.accept(context.Background()) },
			"replace": func(*rapid.T) { s.replaceAcceptor() },
			"former": func(t *rapid.T) {
				if len(s.formerAcceptors) == 0 {
					t.Skip("no former acceptor")
				}
				s.resumeFormer(rapid.SampledFrom(s.formerAcceptors).Draw(t, "former"))
			},
			"follow":  func(t *rapid.T) { s.updateFollower(t) },
			"settle":  func(*rapid.T) { s.checkConverged() },
			"copy":    func(*rapid.T) { s.copies = append(s.copies, s.store.Copy()) },
			"restore": func(t *rapid.T) { s.restore(t) },
		})
		different := map[string]bool{}
		for _, o := range s.pointerHistory {
			different[string(o.Value)] = true
		}
		pointers += len(different)
		restores += s.restores
	})
	if pointers == 0 || restores == 0 {
		t.Error("no pointer was written or no copy was ever restored, so that the test has checked nothing")
	}
	t.Logf("%d pointers, %d restores", pointers, restores)
}

// resumeFormer lets a former acceptor continue with the versions that it read before its pause. It must not update the
// pointer, even if it checked its lease before the pause.
func (s *simulation) resumeFormer(former *acceptorSession) {
	number := s.highestRevision
	err := former.publish(context.Background(), former.acceptedObjects)
	s.checkInvariants()
	if err == nil || s.highestRevision != number {
		s.t.Fatalf("a former acceptor updated the pointer from revision %d to %d", number, s.highestRevision)
	}
	if _, err := former.accept(context.Background()); err == nil || s.hasFaults && !isInjectedFault(err) && !errors.Is(err, lease.ErrLost) {
		s.t.Fatalf("a former acceptor accepted changes or failed for another reason: %v", err)
	}
}

func isInjectedFault(err error) bool {
	return errors.Is(err, objectapi.ErrUnavailable) || errors.Is(err, objectapi.ErrOutcomeUnknown)
}
