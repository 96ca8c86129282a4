// Package objectapi is the adapter to the platform's object API, the only place where nodes agree on anything or keep
// anything. The control loops, the claims and the operator client use it through the Store interface.
package objectapi

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"
)

// MaxValueBytes is the largest value that the object API holds.
const MaxValueBytes = 1 << 20

// Expected versions with a meaning of their own.
const (
	// AbsentVersion expects that the key does not exist.
	AbsentVersion int64 = 0
	// AnyVersion writes without a condition.
	AnyVersion int64 = -1
)

// Errors of this layer.
var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("object does not exist")
	// ErrConflict means that the object has another version than the expected one; nothing was written.
	ErrConflict = errors.New("object has another version")
	// ErrUnavailable means that the object API did not answer; a write was not done.
	ErrUnavailable = errors.New("object API is unavailable")
	// ErrOutcomeUnknown means that a write was sent and it could not be found out whether it took effect.
	ErrOutcomeUnknown = errors.New("write may have taken effect")
)

// Object is one versioned value.
type Object struct {
	Key     string          `json:"key"`
	Version int64           `json:"version"`
	Token   string          `json:"token"` // write token of the last writer
	Value   json.RawMessage `json:"value"`
}

// Listing is a consistent list of objects at a revision of the store.
type Listing struct {
	Revision int64    `json:"revision"`
	Objects  []Object `json:"objects"`
}

// Event is a change seen by a watch.
type Event struct {
	Deleted bool   `json:"deleted"`
	Object  Object `json:"object"`
}

// Changes are the events after a revision; an empty list means that the wait ended without a change.
type Changes struct {
	Revision int64   `json:"revision"`
	Events   []Event `json:"events"`
	// Reset means that the store no longer has the history since the asked revision: the watcher must list again.
	Reset bool `json:"reset"`
}

// Store is the object API as the rest of the system sees it.
type Store interface {
	// Get returns the object or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// List returns all objects whose key has the prefix.
	List(ctx context.Context, prefix string) (Listing, error)
	// Put writes value if the object has the expected version (Absent, Any or a version). It returns ErrConflict,
	// ErrUnavailable (not written) or ErrUnsettled.
	Put(ctx context.Context, key string, value any, expectedVersion int64) (Object, error)
	// Delete removes the object if it has the expected version.
	Delete(ctx context.Context, key string, expectedVersion int64) error
	// Watch waits for changes after the revision, for a bounded time.
	Watch(ctx context.Context, prefix string, afterRevision int64) (Changes, error)
}

// PutBody is the body of a PUT request.
type PutBody struct {
	Expected int64           `json:"expected"`
	Token    string          `json:"token"`
	Value    json.RawMessage `json:"value"`
}
