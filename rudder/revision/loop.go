package revision

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/object"
	"chestnutrudder.example/rudder/objectapi"
)

const retryDelay = 500 * time.Millisecond

// Follower keeps Current in step with the object API.
type Follower struct {
	Store   objectapi.Store
	Current *Current
	Log     *slog.Logger
}

// Run follows the pointer until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var after int64
	for ctx.Err() == nil {
		if err := f.fetch(ctx); err != nil {
			f.Log.Warn("Configuration could not be read.", "error", err)
			sleep(ctx, retryDelay)
			continue
		}
		changes, err := f.Store.Watch(ctx, CurrentKey, after)
		if err != nil {
			sleep(ctx, retryDelay)
			continue
		}
		after = changes.Revision
	}
}

// fetch reads the newest snapshot and puts it in force.
func (f *Follower) fetch(ctx context.Context) error {
	pointer, _, err := readPointer(ctx, f.Store)
	if err != nil {
		return err
	}
	if pointer.Number <= f.Current.Index().Number {
		return nil
	}
	o, err := f.Store.Get(ctx, snapshotKey(pointer.Number))
	if err != nil {
		return err
	}
	var snapshot Snapshot
	if err := json.Unmarshal(o.Value, &snapshot); err != nil {
		return errors.Wrapf(err, "decode snapshot %d", pointer.Number)
	}
	if f.Current.Adopt(snapshot) {
		f.Log.Info("Configuration is in force.", "revision", snapshot.Number, "objects", len(snapshot.Objects))
	}
	return nil
}

// Acceptor turns the written objects into new revisions.
type Acceptor struct {
	Store objectapi.Store
	Log   *slog.Logger
}

// Run accepts changes until ctx ends.
func (a *Acceptor) Run(ctx context.Context) {
	var after int64
	for ctx.Err() == nil {
		if err := a.accept(ctx); err != nil {
			a.Log.Warn("Configuration could not be accepted.", "error", err)
			sleep(ctx, retryDelay)
			continue
		}
		changes, err := a.Store.Watch(ctx, object.SpecPrefix, after)
		if err != nil {
			sleep(ctx, retryDelay)
			continue
		}
		after = changes.Revision
	}
}

// accept writes a new snapshot if the written objects differ from the accepted ones. The pointer moves by conditional
// update, so that of two acceptors one fails and reads again.
func (a *Acceptor) accept(ctx context.Context) error {
	pointer, version, err := readPointer(ctx, a.Store)
	if err != nil {
		return err
	}
	listing, err := a.Store.List(ctx, object.SpecPrefix)
	if err != nil {
		return err
	}
	next := Snapshot{Number: pointer.Number + 1}
	for _, o := range listing.Objects {
		var spec object.Object
		if err := json.Unmarshal(o.Value, &spec); err != nil {
			return errors.Wrapf(err, "decode %q", o.Key)
		}
		next.Objects = append(next.Objects, spec)
	}
	if pointer.Number == 0 && len(next.Objects) == 0 {
		return nil
	}
	if pointer.Number > 0 {
		same, err := a.unchanged(ctx, pointer.Number, next)
		if err != nil || same {
			return err
		}
	}
	if _, err := a.Store.Put(ctx, snapshotKey(next.Number), next, objectapi.Absent); err != nil {
		return err
	}
	_, err = a.Store.Put(ctx, CurrentKey, Pointer{Number: next.Number}, version)
	return err
}

func (a *Acceptor) unchanged(ctx context.Context, number int64, next Snapshot) (bool, error) {
	o, err := a.Store.Get(ctx, snapshotKey(number))
	if err != nil {
		return false, err
	}
	next.Number = number
	raw, err := json.Marshal(next)
	return err == nil && string(raw) == string(o.Value), errors.Wrap(err, "encode snapshot")
}

func readPointer(ctx context.Context, store objectapi.Store) (Pointer, int64, error) {
	var pointer Pointer
	o, err := store.Get(ctx, CurrentKey)
	if errors.Is(err, objectapi.ErrNotFound) {
		return pointer, objectapi.Absent, nil
	}
	if err != nil {
		return pointer, 0, err
	}
	return pointer, o.Version, errors.Wrap(json.Unmarshal(o.Value, &pointer), "decode revision pointer")
}

func snapshotKey(number int64) string { return fmt.Sprintf("%s%012d", SnapshotPrefix, number) }

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
