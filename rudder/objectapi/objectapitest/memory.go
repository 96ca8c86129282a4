// Package objectapitest provides an in-memory object API for tests of packages that store state in it.
package objectapitest

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sort"
	"strings"
	"sync"

	"github.com/google/uuid"

	"chestnutrudder.example/rudder/objectapi"
)

// MemoryStore is an objectapi.Store in memory. Tests set the hooks before they use the store.
type MemoryStore struct {
	// BeforeCall is called before each call with its kind (get, list, put, delete or watch) and its key or prefix. If it
	// returns an error, the call returns this error and has no effect.
	BeforeCall func(kind, key string) error
	// AfterWrite is called after each put or delete that took effect. The write returns its error, as if the response had been
	// lost.
	AfterWrite func(kind, key string) error

	mu sync.Mutex
	state
	epoch   int64 // versions are stored without it
	changed chan struct{}
	calls   map[string]int
}

// state is what a copy of the store holds.
type state struct {
	revision int64
	objects  map[string]objectapi.Object
	versions map[string]int64  // last version of each key, including deleted ones
	events   []objectapi.Event // the event of revision n has index n-1
}

// Copy returns a copy of the store for Restore.
func (m *MemoryStore) Copy() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.clone()
}

// Restore replaces the contents by those of a copy and begins a new epoch.
func (m *MemoryStore) Restore(storeCopy any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = storeCopy.(state).clone()
	m.epoch++
	close(m.changed)
	m.changed = make(chan struct{})
}

func (s state) clone() state {
	return state{revision: s.revision, objects: maps.Clone(s.objects), versions: maps.Clone(s.versions), events: slices.Clone(s.events)}
}

// stamp returns the object with the epoch in its version. The caller holds mu.
func (m *MemoryStore) stamp(o objectapi.Object) objectapi.Object {
	o.Version.Epoch = m.epoch
	return o
}

// hasVersion reports whether the object has the expected version. The caller holds mu.
func (m *MemoryStore) hasVersion(key string, expected objectapi.Version) bool {
	o, found := m.objects[key]
	switch expected {
	case objectapi.AnyVersion:
		return true
	case objectapi.AbsentVersion:
		return !found
	}
	return found && m.stamp(o).Version == expected
}

var _ objectapi.Store = (*MemoryStore)(nil)

// NewMemoryStore returns an empty store.
func NewMemoryStore() *MemoryStore {
	return &MemoryStore{
		state: state{objects: map[string]objectapi.Object{}, versions: map[string]int64{}}, changed: make(chan struct{}), calls: map[string]int{},
	}
}

// CallCount returns the number of calls of a kind, including those that BeforeCall failed.
func (m *MemoryStore) CallCount(kind string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls[kind]
}

func (m *MemoryStore) beforeCall(kind, key string) error {
	m.mu.Lock()
	m.calls[kind]++
	m.mu.Unlock()
	if m.BeforeCall == nil {
		return nil
	}
	return m.BeforeCall(kind, key)
}

func (m *MemoryStore) afterWrite(kind, key string) error {
	if m.AfterWrite == nil {
		return nil
	}
	return m.AfterWrite(kind, key)
}

// Get implements objectapi.Store.
func (m *MemoryStore) Get(_ context.Context, key string) (objectapi.Object, error) {
	if err := m.beforeCall("get", key); err != nil {
		return objectapi.Object{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	o, found := m.objects[key]
	if !found {
		return m.stamp(o), objectapi.ErrNotFound
	}
	return m.stamp(o), nil
}

// List implements objectapi.Store.
func (m *MemoryStore) List(_ context.Context, prefix string) (objectapi.Listing, error) {
	if err := m.beforeCall("list", prefix); err != nil {
		return objectapi.Listing{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	listing := objectapi.Listing{Revision: objectapi.Version{Epoch: m.epoch, Number: m.revision}}
	for key, o := range m.objects {
		if strings.HasPrefix(key, prefix) {
			listing.Objects = append(listing.Objects, m.stamp(o))
		}
	}
	sort.Slice(listing.Objects, func(i, j int) bool { return listing.Objects[i].Key < listing.Objects[j].Key })
	return listing, nil
}

// Put implements objectapi.Store.
func (m *MemoryStore) Put(_ context.Context, key string, value any, expectedVersion objectapi.Version) (objectapi.Object, error) {
	if err := m.beforeCall("put", key); err != nil {
		return objectapi.Object{}, err
	}
	raw, err := json.Marshal(value)
	if err != nil {
		return objectapi.Object{}, err
	}
	o, err := m.put(key, raw, expectedVersion)
	if err == nil {
		err = m.afterWrite("put", key)
	}
	return o, err
}

// put stores raw under key if the object has the expected version.
func (m *MemoryStore) put(key string, raw json.RawMessage, expectedVersion objectapi.Version) (objectapi.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.hasVersion(key, expectedVersion) {
		return objectapi.Object{}, objectapi.ErrConflict
	}
	m.versions[key]++
	o := objectapi.Object{Key: key, Version: objectapi.Version{Epoch: m.epoch, Number: m.versions[key]}, Token: uuid.NewString(), Value: raw}
	m.objects[key] = o
	m.appendEvent(objectapi.Event{Object: o})
	return o, nil
}

// Delete implements objectapi.Store.
func (m *MemoryStore) Delete(_ context.Context, key string, expectedVersion objectapi.Version) error {
	if err := m.beforeCall("delete", key); err != nil {
		return err
	}
	m.mu.Lock()
	o, found := m.objects[key]
	if !found {
		m.mu.Unlock()
		return objectapi.ErrNotFound
	}
	if !m.hasVersion(key, expectedVersion) {
		m.mu.Unlock()
		return objectapi.ErrConflict
	}
	delete(m.objects, key)
	m.appendEvent(objectapi.Event{Deleted: true, Object: o})
	m.mu.Unlock()
	return m.afterWrite("delete", key)
}

// appendEvent adds a change to the history and wakes all watches. The caller holds mu.
func (m *MemoryStore) appendEvent(e objectapi.Event) {
	m.revision++
	m.events = append(m.events, e)
	close(m.changed)
	m.changed = make(chan struct{})
}

// Watch implements objectapi.Store. It waits until there is an event, or until ctx ends; then it returns no events and no
// error.
func (m *MemoryStore) Watch(ctx context.Context, prefix string, afterRevision objectapi.Version) (objectapi.Changes, error) {
	if err := m.beforeCall("watch", prefix); err != nil {
		return objectapi.Changes{}, err
	}
	for {
		m.mu.Lock()
		changes := objectapi.Changes{Revision: objectapi.Version{Epoch: m.epoch, Number: m.revision}}
		if afterRevision.Epoch != m.epoch {
			m.mu.Unlock()
			changes.Reset = true
			return changes, nil
		}
		for _, e := range m.events[min(afterRevision.Number, m.revision):] {
			if strings.HasPrefix(e.Object.Key, prefix) {
				e.Object = m.stamp(e.Object)
				changes.Events = append(changes.Events, e)
			}
		}
		changed := m.changed
		m.mu.Unlock()
		if len(changes.Events) > 0 {
			return changes, nil
		}
		select {
		case <-ctx.Done():
			return changes, nil
		case <-changed:
		}
	}
}
