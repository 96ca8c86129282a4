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
	// taskWatchNodes is the matter in which one node acts for its failure domain.
	taskWatchNodes   = "watch-nodes"
	objectRetryDelay = 2 * time.Second
	// deadObjectRetention is how long a node is dead before a neighbour deletes its object.
	deadObjectRetention = 10 * time.Minute
)

// syncNodeObjects keeps this node's object written and, if this node acts for its failure domain, follows those of others.
func (e *Exchanger) syncNodeObjects(ctx context.Context) {
	isRegistered := false
	afterRevision := int64(-1)
	for ctx.Err() == nil {
		select {
		case <-e.reregister:
			isRegistered = false
		default:
		}
		switch {
		case !isRegistered:
			isRegistered = e.registerSelf(ctx)
			if isRegistered && afterRevision < 0 {
				afterRevision = e.listNodeObjects(ctx)
			}
			if !isRegistered {
				wait(ctx, objectRetryDelay, nil)
			}
		case !e.Table.IsResponsibleFor(taskWatchNodes):
			afterRevision = -1
			wait(ctx, heartbeatInterval, e.reregister)
			isRegistered = isRegistered && len(e.reregister) == 0
		case afterRevision < 0:
			afterRevision = e.listNodeObjects(ctx)
			if afterRevision < 0 {
				wait(ctx, objectRetryDelay, nil)
			}
		default:
			afterRevision = e.watchNodeObjects(ctx, afterRevision)
			e.deleteDeadNodeObjects(ctx)
		}
	}
}

func (e *Exchanger) registerSelf(ctx context.Context) bool {
	self := e.Table.Self()
	e.mu.Lock()
	hasLeft := e.hasLeft
	e.mu.Unlock()
	if hasLeft {
		return true
	}
	if _, err := e.Store.Put(ctx, nodeObjectPrefix+self.Name, self, objectapi.Any); err != nil {
		e.Log.Warn("Node could not be registered.", "error", err)
		return false
	}
	return true
}

// listNodeObjects takes the nodes in the object API and returns the position to watch from, -1 on an error.
func (e *Exchanger) listNodeObjects(ctx context.Context) int64 {
	listing, err := e.Store.List(ctx, nodeObjectPrefix)
	if err != nil {
		e.Log.Warn("Nodes could not be read.", "error", err)
		return -1
	}
	for _, o := range listing.Objects {
		e.mergeNodeObject(o)
	}
	return listing.Revision
}

func (e *Exchanger) watchNodeObjects(ctx context.Context, after int64) int64 {
	changes, err := e.Store.Watch(ctx, nodeObjectPrefix, after)
	if err != nil {
		wait(ctx, objectRetryDelay, nil)
		return after
	}
	if changes.Reset {
		return -1
	}
	for _, event := range changes.Events {
		if !event.Deleted {
			e.mergeNodeObject(event.Object)
		}
	}
	return changes.Revision
}

func (e *Exchanger) mergeNodeObject(o objectapi.Object) {
	var n Node
	if json.Unmarshal(o.Value, &n) != nil || n.Name == e.Table.Self().Name {
		return
	}
	e.Records.mergeFrom(&peerpb.Record{Key: RecordNode + n.Name, Version: n.version(), Value: o.Value}, nodeObjectPrefix)
}

// deleteDeadNodeObjects deletes the objects of nodes of the own failure domain that have been dead for long. A node that comes back
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
			e.Log.Info("Object of a dead node deleted.", "about", n.Name)
		}
	}
}

// Leave declares this node gone and deletes its object, so that others need not wait for its silence.
func (e *Exchanger) Leave(ctx context.Context) {
	e.SetState(StateDead)
	for _, n := range e.Table.Live() {
		if n.FailureDomain == e.Table.Self().FailureDomain {
			_, _ = e.exchange(ctx, n)
		}
	}
	if err := e.Store.Delete(ctx, nodeObjectPrefix+e.Table.Self().Name, objectapi.Any); err != nil {
		e.Log.Warn("Node object could not be deleted.", "error", err)
	}
}
