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
	// unfinishedAge is how long a place stays without being registered again; holders do so each renewInterval.
	unfinishedAge = 2 * time.Minute
	// finishedAge is how long entry nodes keep a finished answer.
	finishedAge = time.Minute
)

// id names a run or a caller's key. The organisation is part of it, so that no organisation sees the runs of another.
type id struct{ organisation, text string }

type record struct {
	place *peerpb.RunPlace
	at    time.Time // last registration
}

// Table holds the places that other nodes registered at this node.
type Table struct {
	now func() time.Time

	mu    sync.Mutex
	runs  map[id]*list.Element
	keys  map[id]*list.Element
	order *list.List // of *record, the one registered longest ago first
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{now: time.Now, runs: map[id]*list.Element{}, keys: map[id]*list.Element{}, order: list.New()}
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
	t.expire()
	if request.Release {
		if e := t.runs[id{place.Organisation, place.Run}]; e != nil {
			t.remove(e)
		}
		return &peerpb.RegisterResponse{}
	}
	holder := t.keys[id{place.Organisation, place.Key}]
	if place.Key != "" && holder != nil && placeOf(holder).Run != place.Run && request.IfAbsent {
		return &peerpb.RegisterResponse{Existing: clone(placeOf(holder))}
	}
	known := t.runs[id{place.Organisation, place.Run}]
	if known != nil && placeOf(known).Sequence > place.Sequence {
		return &peerpb.RegisterResponse{Existing: clone(placeOf(known))}
	}
	t.store(place, known)
	if holder != nil && place.Key != "" && placeOf(holder).Run != place.Run {
		return &peerpb.RegisterResponse{Existing: clone(placeOf(holder))}
	}
	return &peerpb.RegisterResponse{}
}

// store puts a place at the end of the order. A key that belongs to another run stays with that run.
func (t *Table) store(place *peerpb.RunPlace, known *list.Element) {
	if known != nil {
		t.remove(known)
	}
	e := t.order.PushBack(&record{place: clone(place), at: t.now()})
	t.runs[id{place.Organisation, place.Run}] = e
	key := id{place.Organisation, place.Key}
	if place.Key != "" && t.keys[key] == nil {
		t.keys[key] = e
	}
	for t.order.Len() > maxPlaces {
		t.remove(t.order.Front())
	}
}

// Lookup finds a run by its identity or by the caller's key.
func (t *Table) Lookup(request *peerpb.LookupRequest) *peerpb.LookupResponse {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	var e *list.Element
	if request.Run != "" {
		e = t.runs[id{request.Organisation, request.Run}]
	} else {
		e = t.keys[id{request.Organisation, request.Key}]
	}
	if e == nil || isExpired(e.Value.(*record), t.now()) {
		return &peerpb.LookupResponse{}
	}
	return &peerpb.LookupResponse{Place: clone(placeOf(e))}
}

// expire drops places from the front of the order. A finished place behind an unfinished one waits for it, at most
// unfinishedAge; lookups check the age by themselves.
func (t *Table) expire() {
	for e := t.order.Front(); e != nil && isExpired(e.Value.(*record), t.now()); e = t.order.Front() {
		t.remove(e)
	}
}

func isExpired(r *record, now time.Time) bool {
	age := unfinishedAge
	if r.place.Finished {
		age = finishedAge
	}
	return now.Sub(r.at) > age
}

func (t *Table) remove(e *list.Element) {
	place := placeOf(e)
	t.order.Remove(e)
	delete(t.runs, id{place.Organisation, place.Run})
	if key := (id{place.Organisation, place.Key}); t.keys[key] == e {
		delete(t.keys, key)
	}
}

func placeOf(e *list.Element) *peerpb.RunPlace { return e.Value.(*record).place }

func clone(p *peerpb.RunPlace) *peerpb.RunPlace { return proto.Clone(p).(*peerpb.RunPlace) }
