// Package registry finds the nodes that serve a run. A run place (peerpb.RunPlace) names the entry node, the dispatcher
// and the host of a run. Each node stores a part of the places in memory in a Table; entry nodes and dispatchers
// register and look up places through a Client.
package registry

import (
	"container/list"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"chestnutrudder.example/rudder/peer/peerpb"
)

const (
	// maxPlaces bounds the memory of a node; a place takes about 400 bytes.
	maxPlaces = 100_000
	// unfinishedTTL is how long the place of an unfinished run stays without another registration; its node registers it
	// again every renewInterval.
	unfinishedTTL = 2 * time.Minute
	// finishedTTL is how long the place of a finished run stays, which is as long as entry nodes keep a finished answer.
	finishedTTL = time.Minute
)

// scopedKey is a run ID or a caller's idempotency key. The organisation is part of it, so that no organisation sees the
// runs of another.
type scopedKey struct{ organisation, key string }

// tableEntry is a stored place.
type tableEntry struct {
	place        *peerpb.RunPlace
	registeredAt time.Time // time of the last registration
}

// Table holds the places that this node stores as a registry node. It is safe for concurrent use.
type Table struct {
	now func() time.Time

	mu    sync.Mutex
	byRun map[scopedKey]*list.Element // by organisation and run
	byKey map[scopedKey]*list.Element // by organisation and idempotency key
	order *list.List                  // of *tableEntry, the one with the oldest registration first
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{now: time.Now, byRun: map[scopedKey]*list.Element{}, byKey: map[scopedKey]*list.Element{}, order: list.New()}
}

// Register stores a place, or removes it if the request is a release. The response holds an existing place if another
// run has the idempotency key, or if the stored place of this run has a higher sequence. In the latter case, and for
// another run with IfAbsent, the new place is not stored.
func (t *Table) Register(request *peerpb.RegisterRequest) *peerpb.RegisterResponse {
	place := request.GetPlace()
	if place.GetRun() == "" {
		return &peerpb.RegisterResponse{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired()
	if request.Release {
		if e := t.byRun[scopedKey{place.Organisation, place.Run}]; e != nil {
			t.remove(e)
		}
		return &peerpb.RegisterResponse{}
	}
	keyOwner := t.byKey[scopedKey{place.Organisation, place.Key}]
	if place.Key != "" && keyOwner != nil && placeOf(keyOwner).Run != place.Run && request.IfAbsent {
		return &peerpb.RegisterResponse{Existing: clone(placeOf(keyOwner))}
	}
	existing := t.byRun[scopedKey{place.Organisation, place.Run}]
	if existing != nil && placeOf(existing).Sequence > place.Sequence {
		return &peerpb.RegisterResponse{Existing: clone(placeOf(existing))}
	}
	t.insert(place, existing)
	if keyOwner != nil && place.Key != "" && placeOf(keyOwner).Run != place.Run {
		return &peerpb.RegisterResponse{Existing: clone(placeOf(keyOwner))}
	}
	return &peerpb.RegisterResponse{}
}

// insert stores a place as the latest registration and removes the oldest ones beyond maxPlaces. An idempotency key that
// belongs to another run stays with that run.
func (t *Table) insert(place *peerpb.RunPlace, existing *list.Element) {
	if existing != nil {
		t.remove(existing)
	}
	e := t.order.PushBack(&tableEntry{place: clone(place), registeredAt: t.now()})
	t.byRun[scopedKey{place.Organisation, place.Run}] = e
	key := scopedKey{place.Organisation, place.Key}
	if place.Key != "" && t.byKey[key] == nil {
		t.byKey[key] = e
	}
	for t.order.Len() > maxPlaces {
		t.remove(t.order.Front())
	}
}

// Lookup finds a run by its ID or, if that is empty, by the caller's idempotency key.
func (t *Table) Lookup(request *peerpb.LookupRequest) *peerpb.LookupResponse {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired()
	var e *list.Element
	if request.Run != "" {
		e = t.byRun[scopedKey{request.Organisation, request.Run}]
	} else {
		e = t.byKey[scopedKey{request.Organisation, request.Key}]
	}
	if e == nil || isExpired(e.Value.(*tableEntry), t.now()) {
		return &peerpb.LookupResponse{}
	}
	return &peerpb.LookupResponse{Place: clone(placeOf(e))}
}

// removeExpired removes expired places from the front of the order. An expired finished place behind an unfinished one
// stays until that one has expired, at most unfinishedTTL; Lookup therefore checks the age itself.
func (t *Table) removeExpired() {
	for e := t.order.Front(); e != nil && isExpired(e.Value.(*tableEntry), t.now()); e = t.order.Front() {
		t.remove(e)
	}
}

func isExpired(entry *tableEntry, now time.Time) bool {
	ttl := unfinishedTTL
	if entry.place.Finished {
		ttl = finishedTTL
	}
	return now.Sub(entry.registeredAt) > ttl
}

func (t *Table) remove(e *list.Element) {
	place := placeOf(e)
	t.order.Remove(e)
	delete(t.byRun, scopedKey{place.Organisation, place.Run})
	if key := (scopedKey{place.Organisation, place.Key}); t.byKey[key] == e {
		delete(t.byKey, key)
	}
}

func placeOf(e *list.Element) *peerpb.RunPlace { return e.Value.(*tableEntry).place }

func clone(p *peerpb.RunPlace) *peerpb.RunPlace { return proto.Clone(p).(*peerpb.RunPlace) }
