package membership

import (
	"context"
	"encoding/json"
	"time"

	"chestnutrudder.example/rudder/objectapi"
	"chestnutrudder.example/rudder/peer/peerpb"
)

const (
	nodePrefix = "nodes/"
	// matterNodes is the matter in which one node acts for its failure domain.
	matterNodes   = "watch-nodes"
	registerRetry = 2 * time.Second
	// deleteAfter is how long a node is dead before a neighbour deletes its object.
	deleteAfter = 10 * time.Minute
)

// followObjects keeps this node's object written and, if this node acts for its failure domain, follows those of others.
func (e *Exchanger) followObjects(ctx context.Context) {
	registered := false
	after := int64(-1)
	for ctx.Err() == nil {
		select {
		case <-e.register:
			registered = false
		default:
		}
		switch {
		case !registered:
			registered = e.writeObject(ctx)
			if registered && after < 0 {
				after = e.readObjects(ctx)
			}
			if !registered {
				wait(ctx, registerRetry, nil)
			}
		case !e.Table.Responsible(matterNodes):
			after = -1
			wait(ctx, heartbeatInterval, e.register)
			registered = registered && len(e.register) == 0
		case after < 0:
			after = e.readObjects(ctx)
			if after < 0 {
				wait(ctx, registerRetry, nil)
			}
		default:
			after = e.watchObjects(ctx, after)
			e.deleteDead(ctx)
		}
	}
}

func (e *Exchanger) writeObject(ctx context.Context) bool {
	self := e.Table.Self()
	e.mu.Lock()
	left := e.left
	e.mu.Unlock()
	if left {
		return true
	}
	if _, err := e.Store.Put(ctx, nodePrefix+self.Name, self, objectapi.AnyVersion); err != nil {
		e.Log.Warn("Node could not be registered.", "error", err)
		return false
	}
	return true
}

// readObjects takes the nodes in the object API and returns the position to watch from, -1 on an error.
func (e *Exchanger) readObjects(ctx context.Context) int64 {
	listing, err := e.Store.List(ctx, nodePrefix)
	if err != nil {
		e.Log.Warn("Nodes could not be read.", "error", err)
		return -1
	}
	for _, o := range listing.Objects {
		e.takeObject(o)
	}
	return listing.Revision
}

func (e *Exchanger) watchObjects(ctx context.Context, after int64) int64 {
	changes, err := e.Store.Watch(ctx, nodePrefix, after)
	if err != nil {
		wait(ctx, registerRetry, nil)
		return after
	}
	if changes.Reset {
		return -1
	}
	for _, event := range changes.Events {
		if !event.Deleted {
			e.takeObject(event.Object)
		}
	}
	return changes.Revision
}

func (e *Exchanger) takeObject(o objectapi.Object) {
	var n Node
	if json.Unmarshal(o.Value, &n) != nil || n.Name == e.Table.Self().Name {
		return
	}
	e.Records.mergeFrom(&peerpb.Record{Key: RecordNode + n.Name, Version: n.version(), Value: o.Value}, nodePrefix)
}

// deleteDead deletes the objects of nodes of the own failure domain that have been dead for long. A node that comes back
// later writes its object again when it refutes its death.
func (e *Exchanger) deleteDead(ctx context.Context) {
	self := e.Table.Self()
	for _, n := range e.Table.deadFor(deleteAfter) {
		if n.FailureDomain != self.FailureDomain {
			continue
		}
		o, err := e.Store.Get(ctx, nodePrefix+n.Name)
		if err != nil {
			continue
		}
		if err := e.Store.Delete(ctx, nodePrefix+n.Name, o.Version); err == nil {
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
	if err := e.Store.Delete(ctx, nodePrefix+e.Table.Self().Name, objectapi.AnyVersion); err != nil {
		e.Log.Warn("Node object could not be deleted.", "error", err)
	}
}
