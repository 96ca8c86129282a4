package relaynode

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/lease"
	"chestnutrudder.example/rudder/mesh"
	"chestnutrudder.example/rudder/objectapi"
	"chestnutrudder.example/rudder/sleep"
	"chestnutrudder.example/rudder/usage"
)

const (
	// dutyLeaseName is the name of the lease whose holder performs the duties: to report usage, to order runners and to
	// decide about rollouts of software versions.
	dutyLeaseName = "duties"
	// maxContenders is the number of nodes that read the lease while no node seems to hold it; the others make no calls.
	maxContenders = 3
	// leaseHolderTimeout is how long the last digest of the holder counts. A successor has to see the lease unchanged for
	// longer than its duration before it may take it, and begins to read it only after this time.
	leaseHolderTimeout = 1300 * time.Millisecond
	// nodeRecordPrefix is the key prefix of the records in the object API through which nodes find each other.
	nodeRecordPrefix = "rudder-nodes/"
	// nodeDiscoveryInterval is the pause between two listings of the records by a node that reaches too few others.
	nodeDiscoveryInterval = 5 * time.Second
	// registrationDelay is how long after its start a node decides whether it needs a record: by then it has heard from the
	// nodes that its seeds know.
	registrationDelay = 3 * time.Second
	// recordsPerFailureDomain is the number of nodes of a failure domain that have records.
	recordsPerFailureDomain = 3
	// unregisterTimeout bounds the deletion of a stopping node's record; the node stops without it too.
	unregisterTimeout = 300 * time.Millisecond
)

// isLeaseContender reports whether this node should contend for the duty lease. The first nodes by name may have lost the object
// API, unlike those that poll the configuration in their place. A node outside a majority leaves the duties to others: it cannot know
// what they have done.
func (n *node) isLeaseContender(string) bool {
	peers, now := n.mesh.ReachableMembers(), boottime.Now()
	if n.isDraining.Load() || hasLeaseHolder(peers, now) || !n.isInMajority() {
		return false
	}
	return isFirstContender(n.settings.Node, peers) || n.isConfigPoller()
}

// hasLeaseHolder reports whether a peer has told lately that it holds the duty lease.
func hasLeaseHolder(peers []*mesh.Member, now boottime.Instant) bool {
	return slices.ContainsFunc(peers, func(m *mesh.Member) bool { return m.HoldsDutyLease && now.Sub(m.SentAt) < leaseHolderTimeout })
}

// isFirstContender reports whether a node is among the first by name, which contend for the duty lease. Nodes that are not ready
// count too: the time for which they have to see the lease unchanged passes meanwhile, and while the object API is down no node is
// ready.
func isFirstContender(node string, peers []*mesh.Member) bool {
	return countPreceding(node, peers) < maxContenders
}

// runDuties performs the duties until the lease is lost, this node is isolated or ctx ends. The lease is released then.
func (n *node) runDuties(ctx context.Context, dutyLease *lease.Lease) {
	n.holdsDutyLease.Store(true)
	defer n.holdsDutyLease.Store(false)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { n.awaitIsolation(ctx); return lease.ErrLost })
	if n.settings.ReportsUsage {
		reporter := &usage.Reporter{
			Counter: n.usageCounter, Store: n.platform.Store, Send: n.platform.SendUsage, OverdueAfter: n.settings.UsageOverdueAfter, Now: n.mesh.MedianTime,
			Peers: usagePeers{n}, KeptSince: func() (time.Time, bool) { return n.storeHistory.keptSince(n.mesh.MedianTime()) }, Log: n.logger.Part("usage"),
		}
		group.Go(func() error { reporter.Run(ctx, dutyLease); return lease.ErrLost })
	}
	if n.settings.OrdersCapacity {
		group.Go(func() error { n.runCapacityPlanner(ctx, dutyLease); return lease.ErrLost })
	}
	if n.rollouts != nil {
		group.Go(func() error { n.rollouts.hold(ctx, dutyLease); return lease.ErrLost })
	}
	_ = group.Wait()
}

// nodeRecord is the value of a node's record in the object API.
type nodeRecord struct {
	MeshAddress string `json:"mesh_address"`
}

func decodeNodeRecord(o objectapi.Object) (nodeRecord, error) {
	var record nodeRecord
	return record, errors.Wrapf(o.Decode(&record), "decode node record %s", o.Key)
}

// registerAndDiscover keeps a record of this node if few others of its failure domain have one, and reads the records while
// this node reaches few others, until ctx ends.
func (n *node) registerAndDiscover(ctx context.Context) {
	pause := registrationDelay
	for ctx.Err() == nil {
		reachable, known := n.mesh.CountNodes()
		if reachable == 1 || 2*reachable < known {
			n.discoverNodes(ctx)
		}
		sleep.For(ctx, pause)
		pause = nodeDiscoveryInterval
		if needsRecord(n.settings.Node, n.settings.FailureDomain, n.mesh.ReachableMembers()) {
			n.register(ctx)
		}
	}
}

// needsRecord reports whether a node should have a record: fewer than recordsPerFailureDomain nodes of its failure domain
// come before it by name. A starting node needs to reach only one other.
func needsRecord(node, failureDomain string, peers []*mesh.Member) bool {
	preceding := 0
	for _, m := range peers {
		if m.FailureDomain == failureDomain && m.State != mesh.Draining && m.Node < node {
			preceding++
		}
	}
	return preceding < recordsPerFailureDomain
}

// register writes this node's record if it has none, or the object API has been restored since it was written, unless the node
// is stopping.
func (n *node) register(ctx context.Context) {
	n.recordMu.Lock()
	defer n.recordMu.Unlock()
	hasRecord := n.isRegistered && n.recordEpoch >= n.storeHistory.latestEpoch()
	if hasRecord || n.isDraining.Load() {
		return
	}
	key, record := nodeRecordPrefix+n.settings.Node, nodeRecord{MeshAddress: n.settings.MeshAddress}
	o, err := n.platform.Store.Put(ctx, key, record, objectapi.AbsentVersion)
	if errors.Is(err, objectapi.ErrConflict) { // left behind by an earlier start
		o, err = n.platform.Store.Put(ctx, key, record, objectapi.AnyVersion)
	}
	if err != nil {
		n.log.Warn("Writing the node record failed; trying again.", "error", err)
		return
	}
	n.isRegistered, n.recordEpoch = true, o.Version.Epoch
}

// unregister deletes this node's record if it has one, so that starting nodes do not send digests to an address that is no longer in
// use.
func (n *node) unregister() {
	n.recordMu.Lock()
	defer n.recordMu.Unlock()
	if !n.isRegistered {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), unregisterTimeout)
	defer cancel()
	err := n.platform.Store.Delete(ctx, nodeRecordPrefix+n.settings.Node, objectapi.AnyVersion)
	if err != nil && !errors.Is(err, objectapi.ErrNotFound) {
		n.log.Warn("Deleting the node record failed.", "error", err)
	}
}

// discoverNodes adds the mesh addresses of all nodes that have a record.
func (n *node) discoverNodes(ctx context.Context) {
	list := n.platform.Store.List
	if n.platform.ListStale != nil {
		list = n.platform.ListStale
	}
	listing, err := list(ctx, nodeRecordPrefix)
	if err != nil {
		n.log.Warn("Listing the node records failed.", "error", err)
		return
	}
	var addresses []string
	for _, o := range listing.Objects {
		record, err := decodeNodeRecord(o)
		if err != nil {
			n.log.Warn("Decoding a node record failed; it is left out.", "key", o.Key, "error", err)
			continue
		}
		addresses = append(addresses, record.MeshAddress)
	}
	n.mesh.AddAddresses(addresses)
}
