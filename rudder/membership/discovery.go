package membership

import (
	"context"
	"encoding/json"
	"time"

	"chestnutrudder.example/rudder/objectapi"
	"chestnutrudder.example/rudder/peer/peerpb"
)

const (
	nodeObjectPrefix = "nodes/"
	// taskWatchNodes names the task that one node does for its failure domain: watching the node objects.
	taskWatchNodes   = "watch-nodes"
	objectRetryDelay = 2 * time.Second
	// deadObjectRetention is how long a node has been dead before a neighbour deletes its object.
	deadObjectRetention = 10 * time.Minute
)

// syncNodeObjects registers this node as an object in the object API and reads the objects of the others once. While this
// node is responsible for its failure domain, it also watches those objects and deletes the ones of dead neighbours.
func (e *Exchanger) syncNodeObjects(ctx context.Context) {
	isRegistered := false
	afterRevision := objectapi.UnknownRevision
	for ctx.Err() == nil {
		select {
		case <-e.reregister:
			isRegistered = false
		default:
		}
		switch {
		case !isRegistered:
			isRegistered = e.registerSelf(ctx)
			if isRegistered && afterRevision == objectapi.UnknownRevision {
				afterRevision = e.listNodeObjects(ctx)
			}
			if !isRegistered {
				wait(ctx, objectRetryDelay, nil)
			}
		case !e.Table.IsResponsibleFor(taskWatchNodes):
			afterRevision = objectapi.UnknownRevision
			isRegistered = !wait(ctx, heartbeatInterval, e.reregister)
		case afterRevision == objectapi.UnknownRevision:
			afterRevision = e.listNodeObjects(ctx)
			if afterRevision == objectapi.UnknownRevision {
				wait(ctx, objectRetryDelay, nil)
			}
		default:
			afterRevision = e.watchNodeObjects(ctx, afterRevision)
			e.deleteDeadNodeObjects(ctx)
		}
	}
}

// registerSelf writes this node's object, unless the node has left, and reports whether the node needs no retry.
func (e *Exchanger) registerSelf(ctx context.Context) bool {
	self := e.Table.Self()
	e.mu.Lock()
	hasLeft := e.hasLeft
	e.mu.Unlock()
	if hasLeft {
		return true
	}
	if _, err := e.Store.Put(ctx, nodeObjectPrefix+self.Name, self, objectapi.AnyVersion); err != nil {
		e.Log.Warn("Failed to register this node in the object API; retrying.", "error", err)
		return false
	}
	return true
}

// listNodeObjects merges the nodes that are registered in the object API and returns the revision to watch from, or
// objectapi.UnknownRevision on an error.
func (e *Exchanger) listNodeObjects(ctx context.Context) objectapi.Version {
	listing, err := e.Store.List(ctx, nodeObjectPrefix)
	if err != nil {
		e.Log.Warn("Failed to list the nodes in the object API.", "error", err)
		return objectapi.UnknownRevision
	}
	for _, o := range listing.Objects {
		e.mergeNodeObject(o)
	}
	return listing.Revision
}

// watchNodeObjects waits for changes of node objects after a revision and merges them. It returns the revision to watch from
// next, or objectapi.UnknownRevision if the objects must be listed again.
func (e *Exchanger) watchNodeObjects(ctx context.Context, after objectapi.Version) objectapi.Version {
	changes, err := e.Store.Watch(ctx, nodeObjectPrefix, after)
	if err != nil {
		wait(ctx, objectRetryDelay, nil)
		return after
	}
	if changes.Reset {
		return objectapi.UnknownRevision
	}
	for _, event := range changes.Events {
		if !event.Deleted {
			e.mergeNodeObject(event.Object)
		}
	}
	return changes.Revision
}

// mergeNodeObject merges the record of another node from its object and ignores objects that cannot be decoded. The record
// counts as received, with nodeObjectPrefix as its sender, not as put on this node.
func (e *Exchanger) mergeNodeObject(o objectapi.Object) {
	var n Node
	if json.Unmarshal(o.Value, &n) != nil || n.Name == e.Table.Self().Name {
		return
	}
	e.Records.mergeFrom(&peerpb.Record{Key: RecordNode + n.Name, Version: n.version(), Value: o.Value}, nodeObjectPrefix)
}

// deleteDeadNodeObjects deletes the objects of neighbours that have been dead for deadObjectRetention. A node that returns
// later writes its object again when it refutes its death.
func (e *Exchanger) deleteDeadNodeObjects(ctx context.Context) {
	self := e.Table.Self()
	for _, n := range e.Table.deadFor(deadObjectRetention) {
		if n.FailureDomain != self.FailureDomain {
			continue
		}
		o, err := e.Store.Get(ctx, nodeObjectPrefix+n.Name)
		if err != nil {
			continue
		}
		if err := e.Store.Delete(ctx, nodeObjectPrefix+n.Name, o.Version); err == nil {
			e.Log.Info("Deleted the object of a dead node.", "about", n.Name)
		}
	}
}

// Leave declares this node dead, sends that to its neighbours and deletes its object, so that the other nodes need not wait
// for the heartbeat timeout.
func (e *Exchanger) Leave(ctx context.Context) {
	e.SetState(StateDead)
	for _, n := range e.Table.Live() {
		if n.FailureDomain == e.Table.Self().FailureDomain {
			_, _ = e.exchange(ctx, n)
		}
	}
	if err := e.Store.Delete(ctx, nodeObjectPrefix+e.Table.Self().Name, objectapi.AnyVersion); err != nil {
		e.Log.Warn("Failed to delete the object of this node.", "error", err)
	}
}
