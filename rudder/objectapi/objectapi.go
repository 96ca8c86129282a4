// Package objectapi is the client for the platform's object API, a versioned key-value store. It is the only durable
// storage of the nodes and the only place where they reach agreement. The control loops, the claims and the operator client
// use it through the Store interface.
package objectapi

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"
)

// MaxValueBytes is the size of the largest value that the object API accepts.
const MaxValueBytes = 1 << 20

// Special values of an expected version.
var (
	// AbsentVersion means that the key must not exist.
	AbsentVersion = Version{}
	// AnyVersion means that the write is unconditional.
	AnyVersion = Version{Number: -1}
)

// UnknownRevision stands for the revision to watch from while the objects must be listed first.
var UnknownRevision = Version{Number: -1}

// Errors of a Store. They may be wrapped.
var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("object does not exist")
	// ErrConflict means that the object does not have the expected version; nothing was written. It is also returned if the
	// expected version is of an earlier epoch: its number may have been given out again, and the write may then have replaced
	// what another writer wrote since. The object must be read again in any case.
	ErrConflict = errors.New("object has another version")
	// ErrUnavailable means that the object API could not be reached or rejected the call; a write did not take effect.
	ErrUnavailable = errors.New("object API is unavailable")
	// ErrOutcomeUnknown means that a write was sent and it is not known whether it took effect.
	ErrOutcomeUnknown = errors.New("write may have taken effect")
)

// Object is one versioned value.
type Object struct {
	Key     string          `json:"key"`
	Version Version         `json:"version"`
	Token   string          `json:"token"` // unique token of the last write
	Value   json.RawMessage `json:"value"`
	// Status is what is told beside the value of the progress of an object that another writer owns; nil if there is none.
	Status json.RawMessage `json:"-"`
	// Err is set if a listing or a watch holds the object but it could not be decoded. It then has no Version, Token and
	// Value, and the name in its Key is empty if that was not readable either.
	Err error `json:"-"`
}

// Decode decodes the value into out. It returns Err if the object could not be decoded.
func (o Object) Decode(out any) error {
	if o.Err != nil {
		return o.Err
	}
	return json.Unmarshal(o.Value, out)
}

// Listing is a consistent snapshot of objects at a revision of the store.
type Listing struct {
	Revision Version  `json:"revision"`
	Objects  []Object `json:"objects"`
}

// Event is the change or deletion of one object, as returned by a watch.
type Event struct {
	Deleted bool   `json:"deleted"`
	Object  Object `json:"object"`
}

// Changes holds the events after a revision; no events mean that the wait ended without a change.
type Changes struct {
	Revision Version `json:"revision"` // up to which the events are complete; pass it to the next watch
	Events   []Event `json:"events"`
	// Reset means that the changes are not known, since the store no longer has the history since the requested revision, was
	// restored from an older copy, or it is not readable which object has changed: the caller must list again.
	Reset bool `json:"reset"`
}

// Store gives access to the object API. Calls return ErrUnavailable if the object API cannot be reached.
type Store interface {
	// Get returns the object, or ErrNotFound with an object that holds nothing but the epoch in its version.
	Get(ctx context.Context, key string) (Object, error)
	// List returns all objects whose key starts with prefix.
	List(ctx context.Context, prefix string) (Listing, error)
	// Put writes value as JSON if the object has the expected version (AbsentVersion, AnyVersion or a version), and returns
	// the new object. It returns ErrConflict, ErrUnavailable (not written) or ErrOutcomeUnknown.
	Put(ctx context.Context, key string, value any, expectedVersion Version) (Object, error)
	// Delete removes the object if it has the expected version. It returns ErrNotFound or the errors of Put.
	Delete(ctx context.Context, key string, expectedVersion Version) error
	// Watch waits for changes after a revision to objects whose key starts with prefix, for a limited time.
	Watch(ctx context.Context, prefix string, afterRevision Version) (Changes, error)
}

// PutBody is the body of a PUT request.
type PutBody struct {
	Expected Version         `json:"expected"`
	Token    string          `json:"token"`
	Value    json.RawMessage `json:"value"`
}
