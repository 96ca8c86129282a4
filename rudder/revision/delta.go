package revision

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/object"
	"chestnutrudder.example/rudder/peer/peerpb"
)

// historyLength is the number of recent revisions from which a node can compute a delta. At the design size, a revision
// comes every few seconds and neighbours poll every second.
const historyLength = 16

// delta holds the changes from one snapshot to a later one.
type delta struct {
	Base    int64           `json:"base"`
	Number  int64           `json:"number"`
	Changed []object.Object `json:"changed"`
	Removed []string        `json:"removed"` // object IDs
	Hash    uint64          `json:"hash"`    // xxHash of the later snapshot as JSON
}

// history holds the newest snapshot and the object hashes of recent ones, so that a node can send its neighbours a
// delta in place of a whole snapshot.
type history struct {
	number  int64  // of the newest snapshot; 0 if there is none
	encoded []byte // newest snapshot as JSON
	newest  Snapshot
	hashes  []objectHashes   // of recent snapshots, oldest first
	deltas  map[int64][]byte // as JSON, by base; nil where a delta is not smaller than the snapshot
}

// objectHashes holds the hash of each object of one snapshot.
type objectHashes struct {
	number int64
	byID   map[string]uint64
}

// add adds a snapshot to the history. It ignores a snapshot that is not newer than the newest one.
func (h *history) add(snapshot Snapshot) error {
	raw, err := json.Marshal(snapshot)
	if err != nil {
		return errors.Wrap(err, "encode snapshot")
	}
	if snapshot.Number <= h.number {
		return nil
	}
	entry := objectHashes{number: snapshot.Number, byID: map[string]uint64{}}
	for _, o := range snapshot.Objects {
		encoded, err := json.Marshal(o)
		if err != nil {
			return errors.Wrapf(err, "encode object %s", o.ID())
		}
		entry.byID[o.ID()] = xxhash.Sum64(encoded)
	}
	h.number, h.encoded, h.newest, h.deltas = snapshot.Number, raw, snapshot, map[int64][]byte{}
	h.hashes = append(h.hashes, entry)
	if surplus := len(h.hashes) - historyLength; surplus > 0 {
		h.hashes = append([]objectHashes(nil), h.hashes[surplus:]...)
	}
	return nil
}

// encodedDelta returns the delta from a base revision to the newest snapshot as JSON. It returns nil if the history
// does not contain the base any more, or if the delta is not smaller than the snapshot.
func (h *history) encodedDelta(base int64) []byte {
	if encoded, found := h.deltas[base]; found {
		return encoded
	}
	for _, old := range h.hashes {
		if old.number != base {
			continue
		}
		encoded, err := json.Marshal(h.deltaSince(old))
		if err != nil || len(encoded) >= len(h.encoded) {
			encoded = nil
		}
		h.deltas[base] = encoded
		return encoded
	}
	return nil
}

func (h *history) deltaSince(old objectHashes) delta {
	newest := h.hashes[len(h.hashes)-1]
	d := delta{Base: old.number, Number: h.number, Hash: xxhash.Sum64(h.encoded)}
	for _, o := range h.newest.Objects {
		if hash, found := old.byID[o.ID()]; !found || hash != newest.byID[o.ID()] {
			d.Changed = append(d.Changed, o)
		}
	}
	for id := range old.byID {
		if _, found := newest.byID[id]; !found {
			d.Removed = append(d.Removed, id)
		}
	}
	return d
}

// snapshotFromReply returns the snapshot of a response, applying it to base if it is a delta. For a response that is
// empty because there is nothing newer, it returns base.
func snapshotFromReply(reply *peerpb.SnapshotResponse, base Snapshot) (Snapshot, error) {
	switch {
	case len(reply.Delta) > 0:
		var d delta
		if err := json.Unmarshal(reply.Delta, &d); err != nil {
			return base, errors.Wrap(err, "decode delta")
		}
		return d.apply(base)
	case len(reply.Snapshot) > 0:
		var snapshot Snapshot
		err := json.Unmarshal(reply.Snapshot, &snapshot)
		return snapshot, errors.Wrap(err, "decode snapshot")
	}
	return base, nil
}

// apply returns the later snapshot. It fails if base is not the snapshot from which the delta was computed.
func (d delta) apply(base Snapshot) (Snapshot, error) {
	if base.Number != d.Base {
		return base, errors.Errorf("apply delta: its base is revision %d, the given snapshot is revision %d", d.Base, base.Number)
	}
	set := object.NewSet(base.Objects)
	for _, id := range d.Removed {
		delete(set, id)
	}
	for _, o := range d.Changed {
		set[o.ID()] = o
	}
	snapshot := Snapshot{Number: d.Number, Objects: set.List()}
	raw, err := json.Marshal(snapshot)
	if err != nil {
		return base, errors.Wrap(err, "encode snapshot")
	}
	if hash := xxhash.Sum64(raw); hash != d.Hash {
		return base, errors.Errorf("apply delta: revision %d has hash %x, want %x", d.Number, hash, d.Hash)
	}
	return snapshot, nil
}
