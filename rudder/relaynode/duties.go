package relaynode

import (
	"context"
	"encoding/json"
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
	// dutyLeaseName names the lease of the duties.
	dutyLeaseName = "duties"
	// maxContenders is how many nodes look at the lease when nobody seems to hold it; the others cost no calls.
	maxContenders = 3
	// leaseHolderTimeout is how long the last word of the holder counts. A successor has to see the lease unchanged for longer
	// than its duration before it may take it, and begins to look only then.
	leaseHolderTimeout = 1300 * time.Millisecond
	// nodeRecordPrefix is the prefix of the nodes' own records in the object API, from which nodes find each other.
	nodeRecordPrefix = "rudder-nodes/"
	// nodeDiscoveryInterval is how often a node that hears too few others lists the records.
	nodeDiscoveryInterval = 5 * time.Second
	// unregisterTimeout bounds the deletion of a stopping node's record; the node stops without it too.
	unregisterTimeout = 300 * time.Millisecond
)

// isLeaseContender reports whether this node should look at the lease.
func (n *node) isLeaseContender(string) bool {
	return !n.draining.Load() && shouldContend(n.settings.Node, n.mesh.ReachableMembers(), boottime.Now())
}

// shouldContend reports whether a node should look at the lease: no peer said lately that it holds it, and the node is among the
// first by name. Nodes that are not ready count too: the time that they have to see the lease unchanged passes meanwhile,
// and while the object API is down no node is ready.
func shouldContend(node string, peers []mesh.Member, now boottime.Instant) bool {
	precedingNodes := 0
	for _, m := range peers {
		if m.HoldsDutyLease && now.Sub(m.SentAt) < leaseHolderTimeout {
			return false
		}
		if m.State != mesh.Draining && m.Node < node {
			precedingNodes++
		}
	}
	return precedingNodes < maxContenders
}

// runDuties runs the duties while the lease is held.
func (n *node) runDuties(ctx context.Context, dutyLease *lease.Lease) {
	n.holdsLease.Store(true)
	defer n.holdsLease.Store(false)
	group, ctx := errgroup.WithContext(ctx)
	if n.settings.ReportsUsage {
		reporter := &usage.Reporter{
			Counter: n.usageCounter, Store: n.platform.Store, Send: n.platform.SendUsage, Late: n.settings.UsageReportDeadline, Now: n.mesh.MedianTime,
			Log: n.logger.Part("usage"),
		}
		group.Go(func() error { reporter.Run(ctx, dutyLease); return lease.ErrLost })
	}
	if n.settings.OrdersCapacity {
		group.Go(func() error { n.runCapacityPlanner(ctx, dutyLease); return lease.ErrLost })
	}
	_ = group.Wait()
}

// nodeRecord is a node's record in the object API.
type nodeRecord struct {
	MeshAddress string `json:"mesh_address"`
}

func decodeNodeRecord(o objectapi.Object) (nodeRecord, error) {
	var record nodeRecord
	return record, errors.Wrapf(json.Unmarshal(o.Value, &record), "decode %s", o.Key)
}

// registerAndDiscover writes this node's record and reads those of others while it hears few of them.
func (n *node) registerAndDiscover(ctx context.Context) {
	isRegistered := false
	for ctx.Err() == nil {
		if !isRegistered {
			_, err := n.platform.Store.Put(ctx, nodeRecordPrefix+n.settings.Node, nodeRecord{MeshAddress: n.settings.MeshAddress}, objectapi.Any)
			isRegistered = err == nil
			if err != nil {
				n.log.Warn("Node could not be registered.", "error", err)
			}
		}
		reachable, known := n.mesh.CountNodes()
		if reachable == 1 || 2*reachable < known {
			n.discoverNodes(ctx)
		}
		sleep.For(ctx, nodeDiscoveryInterval)
	}
}

// unregister deletes the node's record, so that starting nodes do not send to an address that nobody has.
func (n *node) unregister() {
	ctx, cancel := context.WithTimeout(context.Background(), unregisterTimeout)
	defer cancel()
	err := n.platform.Store.Delete(ctx, nodeRecordPrefix+n.settings.Node, objectapi.Any)
	if err != nil && !errors.Is(err, objectapi.ErrNotFound) {
		n.log.Warn("Node record could not be deleted.", "error", err)
	}
}

// discoverNodes learns the addresses of the nodes that have a record.
func (n *node) discoverNodes(ctx context.Context) {
	listing, err := n.platform.Store.List(ctx, nodeRecordPrefix)
	if err != nil {
		n.log.Warn("Nodes could not be listed.", "error", err)
		return
	}
	var addresses []string
	for _, o := range listing.Objects {
		record, err := decodeNodeRecord(o)
		if err != nil {
			n.log.Warn("Node record cannot be read.", "key", o.Key, "error", err)
			continue
		}
		addresses = append(addresses, record.MeshAddress)
	}
	n.mesh.AddAddresses(addresses)
}
