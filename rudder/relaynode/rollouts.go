package relaynode

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"chestnutrudder.example/rudder/backend"
	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/mesh"
	"chestnutrudder.example/rudder/objectapi"
	"chestnutrudder.example/rudder/rollout"
	"chestnutrudder.example/rudder/sleep"
	"chestnutrudder.example/rudder/telemetry"
)

const (
	// rolloutWatchers is the number of nodes that watch the orders and tell the others.
	rolloutWatchers = 2
	// rolloutWatchTimeout is how long a watch of the orders waits for a change.
	rolloutWatchTimeout = time.Second
	// rolloutMaxCallAge is the age of the last answered call of a watcher from which on other nodes watch themselves. Each node
	// that comes before adds rolloutCallAgeStep.
	rolloutMaxCallAge  = 2200 * time.Millisecond
	rolloutCallAgeStep = 25 * time.Millisecond
	// rolloutUpdateInterval is the pause between two comparisons of the counts of both versions.
	rolloutUpdateInterval = 200 * time.Millisecond
	// rolloutRestoreWait is how long an order stays that a restored object API lacks: its writer may write it again.
	rolloutRestoreWait = 5 * time.Second
)

// rolloutSync follows the operator's orders to move services to other software versions, and what peers tell of them.
type rolloutSync struct {
	node         *node
	log          *slog.Logger
	tracker      *rollout.TrafficTracker
	orderWatcher *objectapi.Watcher
	now          func() boottime.Instant

	mu          sync.Mutex
	lastCallAt  boottime.Instant            // when the last answered call was sent
	attemptedAt boottime.Instant            // when the last watch was sent, answered or not
	peerCallAt  boottime.Instant            // when the last answered call of a peer was sent
	hasLoaded   bool                        // the records of before the start of this node are known
	hasPeer     bool                        // a peer that is informed has told what it knows
	missing     map[string]boottime.Instant // services whose order a restored object API lacks, and since when
	hasNews     bool                        // peers have to be told before the next full digest
	lastShares  map[string]rollout.VersionShares
	fence       int64 // fencing token of the duty lease while this node holds it, else 0
}

func newRolloutSync(n *node) *rolloutSync {
	r := &rolloutSync{node: n, log: n.logger.Part("rollouts"), now: boottime.Now, missing: map[string]boottime.Instant{}, lastShares: map[string]rollout.VersionShares{}}
	r.tracker = rollout.NewTrafficTracker(r.log)
	r.tracker.CountServers, r.tracker.CountRunning, r.tracker.OnShares = n.backends.CountVersion, n.backends.CountOwnRequests, r.applyShares
	r.tracker.UnixNow, r.tracker.Incarnation = n.mesh.MedianTime, incarnationID(n.settings.Node, n.incarnation)
	r.orderWatcher = &objectapi.Watcher{
		Store: n.platform.Store, Prefix: n.platform.RolloutPrefix, Log: r.log,
		OnList: r.applyListing, OnChange: r.applyEvent, OnSync: r.recordAnswer,
		WatchTimeout: r.beginWatch, IsSuspended: r.isSuspended,
	}
	n.backends.SetAwaitsVersionShares(true)
	return r
}

// run reads the records and then follows the orders, until ctx ends.
func (r *rolloutSync) run(ctx context.Context) {
	for err := r.loadRecords(ctx); err != nil; err = r.loadRecords(ctx) {
		r.log.Warn("Reading the recorded rollouts failed; trying again.", "error", err)
		if !sleep.For(ctx, rolloutRecordInterval) {
			return
		}
	}
	r.orderWatcher.Run(ctx)
}

// update compares the counts of both versions, until ctx ends.
func (r *rolloutSync) update(ctx context.Context) {
	for sleep.For(ctx, rolloutUpdateInterval) {
		r.node.backends.SetAwaitsVersionShares(!r.isInformed())
		r.withdrawMissing()
		r.tracker.Update()
	}
}

// isInformed reports whether this node knows the orders: it has read them, or a peer that knows them has told.
func (r *rolloutSync) isInformed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hasPeer || r.hasLoaded && r.lastCallAt > 0
}

// applyShares passes the shares of a service to the table of backend servers. The tracker holds its lock meanwhile.
func (r *rolloutSync) applyShares(service string, s rollout.VersionShares, isDivided bool) {
	r.mu.Lock()
	last := r.lastShares[service]
	isOther := last.Target != s.Target || !slices.Equal(last.Excluded, s.Excluded)
	// Each change of a share is told by the holder. If all nodes passed it on at once, these would be many datagrams.
	r.hasNews = r.hasNews || r.fence > 0 || isOther
	r.lastShares[service] = s
	r.mu.Unlock()
	if !isDivided {
		r.node.backends.ClearVersionShares(service)
		return
	}
	r.node.backends.SetVersionShares(service, backend.VersionShares{
		Target: s.Target, Share: s.Share, IsOnlyTarget: s.IsOnlyTarget, Excluded: s.Excluded, Held: s.Held,
	})
}

// readings returns what the metrics tell of the orders.
func (r *rolloutSync) readings() []telemetry.RolloutReading {
	var list []telemetry.RolloutReading
	for _, reading := range r.tracker.Readings() {
		p := reading.Progress
		list = append(list, telemetry.RolloutReading{
			Service: p.Order.Service, Version: p.Order.To, Phase: string(p.Phase), Share: p.Share, Sent: reading.Sent, Bad: reading.Bad,
		})
	}
	return list
}

// beginWatch records that a watch is sent now and returns how long it waits for a change.
func (r *rolloutSync) beginWatch() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attemptedAt = r.now()
	return rolloutWatchTimeout
}

// recordAnswer records an answered call.
func (r *rolloutSync) recordAnswer(sentAt boottime.Instant, revision objectapi.Version) {
	r.node.storeHistory.note(revision.Epoch)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastCallAt = sentAt
}

// isSuspended reports whether this node need not watch the orders, because peers tell them, or because other nodes find out
// first that the object API is back.
func (r *rolloutSync) isSuspended() bool {
	preceding := r.node.countPrecedingByName()
	if preceding < rolloutWatchers {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.now().Sub(r.peerCallAt) <= rolloutMaxCallAge+time.Duration(preceding)*rolloutCallAgeStep {
		return true
	}
	return r.now().Sub(r.attemptedAt) < outageCallInterval(preceding)
}

// callAgeMillis returns what Digest.RolloutCallAgeMillis tells.
func (r *rolloutSync) callAgeMillis() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lastCallAt == 0 || !r.hasLoaded {
		return 0
	}
	return r.now().Sub(r.lastCallAt).Milliseconds() + 1
}

// reports returns what this node tells its peers.
func (r *rolloutSync) reports() []rollout.Report {
	r.mu.Lock()
	fence := r.fence
	r.mu.Unlock()
	return r.tracker.Reports(fence)
}

// takeNews returns the same as reports if a share or a phase has changed since the last call, else nil.
func (r *rolloutSync) takeNews() []rollout.Report {
	r.mu.Lock()
	hasNews := r.hasNews
	r.hasNews = false
	r.mu.Unlock()
	if !hasNews {
		return nil
	}
	return r.reports()
}

// applyDigest merges what a peer tells.
func (r *rolloutSync) applyDigest(m *mesh.Member) {
	r.tracker.ApplyReports(m.Node, incarnationID(m.Node, m.Incarnation), m.Rollouts)
	if m.IsUrgent || m.RolloutCallAgeMillis <= 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hasPeer = true
	if m.HasReliableSentAt {
		r.peerCallAt = max(r.peerCallAt, m.SentAt.Add(-time.Duration(m.RolloutCallAgeMillis)*time.Millisecond))
	}
}

// applyListing applies a listing of all orders. One that it lacks was withdrawn, unless the object API was restored from an older
// copy a moment ago.
func (r *rolloutSync) applyListing(listing objectapi.Listing, _ boottime.Instant) {
	listed := map[string]bool{}
	for _, o := range listing.Objects {
		if service, isOrder := r.applyOrder(o); isOrder {
			listed[service] = true
		}
	}
	for _, p := range r.tracker.Progresses() {
		switch {
		case listed[p.Order.Service] || p.Order.IsWithdrawn:
		case listing.Revision.Epoch > p.Order.Revision.Epoch:
			r.mu.Lock()
			if _, found := r.missing[p.Order.Service]; !found {
				r.missing[p.Order.Service] = r.now()
			}
			r.mu.Unlock()
		default:
			r.withdraw(p, listing.Revision)
		}
	}
}

// withdrawMissing withdraws the orders that a restored object API has lacked for rolloutRestoreWait.
func (r *rolloutSync) withdrawMissing() {
	epoch := r.node.storeHistory.latestEpoch()
	for _, p := range r.tracker.Progresses() {
		r.mu.Lock()
		since, isMissing := r.missing[p.Order.Service]
		isOver := isMissing && r.now().Sub(since) > rolloutRestoreWait
		if isOver || isMissing && p.Order.Revision.Epoch >= epoch {
			delete(r.missing, p.Order.Service)
		}
		r.mu.Unlock()
		if isOver && p.Order.Revision.Epoch < epoch {
			r.withdraw(p, objectapi.Version{Epoch: epoch})
		}
	}
}

// applyEvent applies the change of one order. One that was deleted or cannot be decoded any more is withdrawn.
func (r *rolloutSync) applyEvent(e objectapi.Event) {
	service := strings.TrimPrefix(e.Object.Key, r.node.platform.RolloutPrefix)
	if !e.Deleted {
		if _, isOrder := r.applyOrder(e.Object); isOrder {
			return
		}
	}
	for _, p := range r.tracker.Progresses() {
		if p.Order.Service == service && !p.Order.IsWithdrawn {
			r.withdraw(p, e.Object.Version)
		}
	}
}

// withdraw records that an order was withdrawn at a revision, or right after the last one that is known.
func (r *rolloutSync) withdraw(p rollout.Progress, revision objectapi.Version) {
	order := p.Order
	order.IsWithdrawn = true
	if revision.Compare(order.Revision) > 0 {
		order.Revision = revision
	} else {
		order.Revision.Number++
	}
	r.tracker.Apply(rollout.Progress{Order: order})
}

// applyOrder applies an order as the object API holds it. It returns the service, and false if the object names no order.
func (r *rolloutSync) applyOrder(o objectapi.Object) (service string, isOrder bool) {
	order, err := r.node.platform.DecodeRollout(o)
	if err != nil {
		r.log.Warn("Decoding an order of a rollout failed; it is left out.", "key", abbreviate(o.Key), "error", err)
		return "", false
	}
	p := rollout.Progress{
		Order: rollout.TrafficOrder{
			Service: order.Service, To: order.To, DurationMillis: order.Duration.Milliseconds(), ID: o.Version, Revision: o.Version,
			StartedUnixMillis: r.node.mesh.MedianTime().UnixMilli(),
		},
	}
	if order.Status.To == order.To {
		switch order.Status.State {
		case RolloutCompleted:
			p.Phase = rollout.PhaseDone
		case RolloutRolledBack:
			p.Phase = rollout.PhaseReversed
		}
	}
	r.tracker.Apply(p)
	return order.Service, true
}
