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
	// dutyLease names the lease of the duties.
	dutyLease = "duties"
	// contenders is how many nodes look at the lease when nobody seems to hold it; the others cost no calls.
	contenders = 3
	// holderSilence is how long the last word of the holder counts. A successor has to see the lease unchanged for longer
	// than its duration before it may take it, and begins to look only then.
	holderSilence = 1300 * time.Millisecond
	// nodesPrefix is the prefix of the nodes' own records in the object API, from which nodes find each other.
	nodesPrefix = "rudder-nodes/"
	// nodesInterval is how often a node that hears too few others lists the records.
	nodesInterval = 5 * time.Second
	// unregisterTimeout bounds the deletion of a stopping node's record; the node stops without it too.
	unregisterTimeout = 300 * time.Millisecond
)

// contends reports whether this node should look at the lease.
func (n *node) contends(string) bool {
	return !n.draining.Load() && contends(n.settings.Node, n.mesh.Members(), boottime.Now())
}

// contends reports whether a node should look at the lease: no peer said lately that it holds it, and the node is among the
// first by name. Nodes that are not ready count too: the time that they have to see the lease unchanged passes meanwhile,
// and while the object API is down no node is ready.
func contends(node string, peers []mesh.Member, now boottime.Instant) bool {
	before := 0
	for _, m := range peers {
		if m.HoldsLease && now.Sub(m.SentAt) < holderSilence {
			return false
		}
		if m.State != mesh.Draining && m.Node < node {
			before++
		}
	}
	return before < contenders
}

// doDuties runs the duties while the lease is held.
func (n *node) doDuties(ctx context.Context, held *lease.Lease) {
	n.holdsLease.Store(true)
	defer n.holdsLease.Store(false)
	group, ctx := errgroup.WithContext(ctx)
	if n.settings.ReportsUsage {
		reporter := &usage.Reporter{
			Counter: n.counter, Store: n.outside.Store, Send: n.outside.SendUsage, OverdueAfter: n.settings.UsageLate, Now: n.mesh.Time,
			Log: n.logger.Part("usage"),
		}
		group.Go(func() error { reporter.Run(ctx, held); return lease.ErrLost })
	}
	if n.settings.OrdersCapacity {
		group.Go(func() error { n.orderCapacity(ctx, held); return lease.ErrLost })
	}
	_ = group.Wait()
}

// nodeRecord is a node's record in the object API.
type nodeRecord struct {
	MeshAddress string `json:"mesh_address"`
}

func decodeNode(o objectapi.Object) (nodeRecord, error) {
	var record nodeRecord
	return record, errors.Wrapf(json.Unmarshal(o.Value, &record), "decode %s", o.Key)
}

// register writes this node's record and reads those of others while it hears few of them.
func (n *node) register(ctx context.Context) {
	registered := false
	for ctx.Err() == nil {
		if !registered {
			_, err := n.outside.Store.Put(ctx, nodesPrefix+n.settings.Node, nodeRecord{MeshAddress: n.settings.MeshAddress}, objectapi.Any)
			registered = err == nil
			if err != nil {
				n.log.Warn("Node could not be registered.", "error", err)
			}
		}
		heard, known := n.mesh.Reach()
		if heard == 1 || 2*heard < known {
			n.readNodes(ctx)
		}
		sleep.For(ctx, nodesInterval)
	}
}

// unregister deletes the node's record, so that starting nodes do not send to an address that nobody has.
func (n *node) unregister() {
	ctx, cancel := context.WithTimeout(context.Background(), unregisterTimeout)
	defer cancel()
	err := n.outside.Store.Delete(ctx, nodesPrefix+n.settings.Node, objectapi.Any)
	if err != nil && !errors.Is(err, objectapi.ErrNotFound) {
		n.log.Warn("Node record could not be deleted.", "error", err)
	}
}

// readNodes learns the addresses of the nodes that have a record.
func (n *node) readNodes(ctx context.Context) {
	listing, err := n.outside.Store.List(ctx, nodesPrefix)
	if err != nil {
		n.log.Warn("Nodes could not be listed.", "error", err)
		return
	}
	var addresses []string
	for _, o := range listing.Objects {
		record, err := decodeNode(o)
		if err != nil {
			n.log.Warn("Node record cannot be read.", "key", o.Key, "error", err)
			continue
		}
		addresses = append(addresses, record.MeshAddress)
	}
	n.mesh.Add(addresses)
}
