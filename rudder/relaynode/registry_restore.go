package relaynode

import (
	"time"

	"chestnutrudder.example/rudder/backend"
	"chestnutrudder.example/rudder/boottime"
)

const (
	// rewriteTimeout is how long after the object API was restored a server that the restored registry lacks is still used:
	// a live server has written its entry again by then.
	rewriteTimeout = 2 * time.Second
	// lapseTimeout is how long a departed server that the restored registry lists again is not used unless it writes its
	// entry. The registry drops the entry of a silent server before.
	lapseTimeout = 10 * time.Second
)

// unsettledEntry is a server about which the restored registry differs from what this node knew.
type unsettledEntry struct {
	entry     backend.Entry // to be put when settled; not used if isMissing
	isMissing bool          // the registry lacks the server, which is to be removed when settled
	settledAt boottime.Instant
}

// applyRestoredListing applies the first listing of a restored registry. Servers that it lacks and entries of servers that had
// departed before are remembered as unsettled. The caller holds the lock.
func (r *registrySync) applyRestoredListing(entries []backend.Entry) {
	unlisted, departed := r.node.backends.ReplaceAfterRestore(entries)
	now := boottime.Now()
	r.unsettled, r.lapsedAt = map[string]unsettledEntry{}, now.Add(lapseTimeout)
	for _, id := range unlisted {
		r.unsettled[id] = unsettledEntry{isMissing: true, settledAt: now.Add(rewriteTimeout)}
	}
	for _, e := range departed {
		r.unsettled[e.ID] = unsettledEntry{entry: e, settledAt: now.Add(lapseTimeout)}
	}
	if len(unlisted)+len(departed) > 0 {
		r.log.Info("Servers differ between the restored registry and the known one.", "unlisted", len(unlisted), "listed_again", len(departed))
	}
}

// applyListingAfterRestored applies a later listing of the same epoch. Unsettled servers stay so until the same time; other
// differences are changes since the restore. The caller holds the lock.
func (r *registrySync) applyListingAfterRestored(entries []backend.Entry) {
	unlisted, departed := r.node.backends.ReplaceAfterRestore(entries)
	previous := r.unsettled
	r.unsettled = map[string]unsettledEntry{}
	for _, id := range unlisted {
		if u, isUnsettled := previous[id]; isUnsettled && u.isMissing {
			r.unsettled[id] = u
			continue
		}
		r.node.backends.Remove(id)
	}
	for _, e := range departed {
		if u, isUnsettled := previous[e.ID]; isUnsettled && !u.isMissing {
			r.unsettled[e.ID] = unsettledEntry{entry: e, settledAt: u.settledAt}
			continue
		}
		r.node.backends.Put(e)
	}
}

// settleEntries applies what the restored registry says of servers that have not written their entries again in time. The
// caller holds the lock.
func (r *registrySync) settleEntries(now boottime.Instant) {
	for id, u := range r.unsettled {
		if now < u.settledAt {
			continue
		}
		delete(r.unsettled, id)
		if u.isMissing {
			r.node.backends.Remove(id)
		} else {
			r.node.backends.Put(u.entry)
		}
	}
}
