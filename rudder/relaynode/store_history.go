package relaynode

import (
	"sync"
	"time"

	"chestnutrudder.example/rudder/boottime"
)

// storeHistory tells since when the object API has kept what it acknowledged. A restore from an older copy loses what was written
// since, so that a missing record shows nothing about the time before. A process that starts after a restore learns of it from
// the epochs in the records of the nodes: those that run write theirs again in each epoch.
type storeHistory struct {
	mu         sync.Mutex
	epoch      int64            // the latest one that this node or a peer has heard of; 0 if the object API has none
	heardAt    boottime.Instant // when this process first heard of that epoch
	recordedAt time.Time        // when another process did, as recorded; zero if none has recorded it
	isLoaded   bool             // the records of before the start of this process are known
}

// epochRecord is what a node records of the epoch in which it writes.
type epochRecord struct {
	Epoch           int64 `json:"epoch"`
	SinceUnixMillis int64 `json:"since_unix_ms"` // when a node first heard of it
}

// note records that the object API is in an epoch.
func (h *storeHistory) note(epoch int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if epoch > h.epoch {
		h.epoch, h.heardAt, h.recordedAt = epoch, boottime.Now(), time.Time{}
	}
}

// load records what nodes have recorded of the epoch in which their records were read. At the first start of the system there
// are no records, and there was nothing to lose.
func (h *storeHistory) load(epoch int64, records []epochRecord, isFirstStart bool) {
	h.note(epoch)
	h.mu.Lock()
	defer h.mu.Unlock()
	if isFirstStart && !h.isLoaded && len(records) == 0 {
		h.recordedAt = time.Unix(0, 0)
	}
	for _, r := range records {
		at := time.UnixMilli(r.SinceUnixMillis)
		if r.Epoch == h.epoch && (h.recordedAt.IsZero() || at.Before(h.recordedAt)) {
			h.recordedAt = at
		}
	}
	h.isLoaded = true
}

// latestEpoch returns the latest epoch of the object API that this node or a peer has heard of.
func (h *storeHistory) latestEpoch() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.epoch
}

// record returns what this node records of the present epoch. now is the time on which all nodes agree.
func (h *storeHistory) record(now time.Time) epochRecord {
	h.mu.Lock()
	defer h.mu.Unlock()
	return epochRecord{Epoch: h.epoch, SinceUnixMillis: h.epochBeganBy(now).UnixMilli()}
}

// keptSince returns the time since which the object API has lost nothing, as far as known. The second result is false until the
// records of the nodes were read. now is the time on which all nodes agree.
func (h *storeHistory) keptSince(now time.Time) (time.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.epoch == 0 {
		return time.Time{}, h.isLoaded
	}
	return h.epochBeganBy(now), h.isLoaded
}

// isSettled reports whether what operators, servers and nodes write again after a restore has been written since the present epoch
// began. now is the time on which all nodes agree.
func (h *storeHistory) isSettled(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case !h.isLoaded:
		return false
	case h.epoch == 0, boottime.Since(h.heardAt) >= settleTime:
		return true
	}
	return !h.recordedAt.IsZero() && now.Sub(h.recordedAt) >= settleTime+maxClockError
}

const (
	// settleTime is how long after a restore the object API may lack what is written again: two seconds for the entries of
	// servers, and the time in which nodes learn of the epoch.
	settleTime = rewriteTimeout + time.Second
	// maxClockError bounds the error of the agreed time at a node that has not heard of its peers yet.
	maxClockError = 10 * time.Second
)

// epochBeganBy returns the earliest time at which a node is known to have heard of the present epoch. The caller holds the lock.
func (h *storeHistory) epochBeganBy(now time.Time) time.Time {
	heardAt := now.Add(-boottime.Since(h.heardAt))
	if !h.recordedAt.IsZero() && h.recordedAt.Before(heardAt) {
		return h.recordedAt
	}
	return heardAt
}
