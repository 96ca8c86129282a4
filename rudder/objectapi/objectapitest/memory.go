// Package objectapitest provides an in-memory object API for tests of packages that store state in it.
package objectapitest

import (
	"context"
	"encoding/json"
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

	mu       sync.Mutex
	revision int64
	objects  map[string]objectapi.Object
	versions map[string]int64  // last version of each key, including deleted ones
	events   []objectapi.Event // the event of revision n has index n-1
	changed  chan struct{}
	calls    map[string]int
}

var _ objectapi.Store = (*MemoryStore)(nil)

// NewMemoryStore returns an empty store.
func NewMemoryStore() *MemoryStore {
	return &MemoryStore{
		objects: map[string]objectapi.Object{}, versions: map[string]int64{}, changed: make(chan struct{}), calls: map[string]int{},
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
		return o, objectapi.ErrNotFound
	}
	return o, nil
}

// List implements objectapi.Store.
func (m *MemoryStore) List(_ context.Context, prefix string) (objectapi.Listing, error) {
	if err := m.beforeCall("list", prefix); err != nil {
		return objectapi.Listing{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	listing := objectapi.Listing{Revision: m.revision}
	for key, o := range m.objects {
		if strings.HasPrefix(key, prefix) {
			listing.Objects = append(listing.Objects, o)
		}
	}
	sort.Slice(listing.Objects, func(i, j int) bool { return listing.Objects[i].Key < listing.Objects[j].Key })
	return listing, nil
}

// Put implements objectapi.Store.
func (m *MemoryStore) Put(_ context.Context, key string, value any, expectedVersion int64) (objectapi.Object, error) {
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
func (m *MemoryStore) put(key string, raw json.RawMessage, expectedVersion int64) (objectapi.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if expectedVersion != objectapi.AnyVersion && expectedVersion != m.objects[key].Version {
		return objectapi.Object{}, objectapi.ErrConflict
	}
	m.versions[key]++
	o := objectapi.Object{Key: key, Version: m.versions[key], Token: uuid.NewString(), Value: raw}
	m.objects[key] = o
	m.appendEvent(objectapi.Event{Object: o})
	return o, nil
}

// Delete implements objectapi.Store.
func (m *MemoryStore) Delete(_ context.Context, key string, expectedVersion int64) error {
	if err := m.beforeCall("delete", key); err != nil {
		return err
	}
	m.mu.Lock()
	o, found := m.objects[key]
	if !found {
		m.mu.Unlock()
		return objectapi.ErrNotFound
	}
	if expectedVersion != objectapi.AnyVersion && expectedVersion != o.Version {
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
func (m *MemoryStore) Watch(ctx context.Context, prefix string, afterRevision int64) (objectapi.Changes, error) {
	if err := m.beforeCall("watch", prefix); err != nil {
		return objectapi.Changes{}, err
	}
	for {
		m.mu.Lock()
		changes := objectapi.Changes{Revision: m.revision}
		for _, e := range m.events[min(afterRevision, m.revision):] {
			if strings.HasPrefix(e.Object.Key, prefix) {
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
