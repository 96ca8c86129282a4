// Package registry knows where runs are: each node holds a part of the places in memory, and entry nodes and
// dispatchers register and find runs through the client.
package registry

import (
	"container/list"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"chestnutrudder.example/rudder/peer/peerpb"
)

const (
	// maxPlaces bounds the memory of a node: about 400 bytes each.
	maxPlaces = 100_000
	// unfinishedTTL is how long a place stays without being registered again; holders do so each renewInterval.
	unfinishedTTL = 2 * time.Minute
	// finishedTTL is how long entry nodes keep a finished answer.
	finishedTTL = time.Minute
)

// scopedKey names a run or a caller's key. The organisation is part of it, so that no organisation sees the runs of another.
type scopedKey struct{ organisation, key string }

type tableEntry struct {
	place        *peerpb.RunPlace
	registeredAt time.Time // last registration
}

// Table holds the places that other nodes registered at this node.
type Table struct {
	now func() time.Time

	mu    sync.Mutex
	byRun map[scopedKey]*list.Element
	byKey map[scopedKey]*list.Element
	order *list.List // of *record, the one registered longest ago first
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{now: time.Now, byRun: map[scopedKey]*list.Element{}, byKey: map[scopedKey]*list.Element{}, order: list.New()}
}

// Register stores a place. The answer holds the existing place if another run has the key, or if the known place of
// this run has a higher sequence.
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

// insert puts a place at the end of the order. A key that belongs to another run stays with that run.
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

// Lookup finds a run by its identity or by the caller's key.
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

// removeExpired drops places from the front of the order. A finished place behind an unfinished one waits for it, at most
// unfinishedAge; lookups check the age by themselves.
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
