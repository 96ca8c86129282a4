// Package revision turns written objects into immutable numbered snapshots (Acceptor, on the node that holds the lease)
// and keeps the newest one in force on every node (Follower). The daemon runs both; the request path reads Current for
// every request.
package revision

import (
	"sync/atomic"

	"chestnutrudder.example/rudder/object"
)

// Keys in the object API. A snapshot's key is SnapshotPrefix, its number and a suffix that is unique for each write, so
// that a snapshot left by an acceptor that died before it moved the pointer is in nobody's way.
const (
	CurrentKey     = "revision/current"
	SnapshotPrefix = "revision/"
)

// maxRetainedSnapshots is the number of snapshots that stay in the object API, the newest included. A reader that is slower
// than that finds its snapshot deleted and reads the pointer again.
const maxRetainedSnapshots = 5

// Pointer names the newest accepted snapshot. It is only written on its present version.
type Pointer struct {
	Number       int64  `json:"number"`
	SnapshotKey  string `json:"key"`   // of the snapshot; empty before the first one
	Node         string `json:"node"`  // of the acceptor that wrote the snapshot; other nodes get the changes there
	FencingToken int64  `json:"fence"` // fencing token of the acceptor that wrote it
	// RetainedKeys are the keys of the newest snapshots, the newest last.
	RetainedKeys []string `json:"kept"`
}

// Snapshot is one accepted configuration. It is never changed after it was written.
type Snapshot struct {
	Number  int64           `json:"number"`
	Objects []object.Object `json:"objects"` // sorted by kind and name
}

// Index is a snapshot prepared for look-ups by name.
type Index struct {
	Number        int64
	Organisations map[string]object.OrganisationSpec
	ModelVersions map[string]object.ModelVersionSpec
	Deployments   map[string]object.DeploymentSpec
	Routes        map[string]object.RouteSpec
	Snapshot      Snapshot

	routeNames map[routeKey]string // name of the route
}

// routeKey is what a route is found by; an empty organisation stands for all.
type routeKey struct{ organisation, model, service string }

// NewIndex prepares a snapshot for look-ups.
func NewIndex(snapshot Snapshot) *Index {
	index := &Index{
		Number:        snapshot.Number,
		Organisations: map[string]object.OrganisationSpec{},
		ModelVersions: map[string]object.ModelVersionSpec{},
		Deployments:   map[string]object.DeploymentSpec{},
		Routes:        map[string]object.RouteSpec{},
		Snapshot:      snapshot,
		routeNames:    map[routeKey]string{},
	}
	for _, o := range snapshot.Objects {
		switch {
		case o.Organisation != nil:
			index.Organisations[o.Name] = *o.Organisation
		case o.ModelVersion != nil:
			index.ModelVersions[o.Name] = *o.ModelVersion
		case o.Deployment != nil:
			index.Deployments[o.Name] = *o.Deployment
		case o.Route != nil:
			index.Routes[o.Name] = *o.Route
			index.addRoute(o.Name, *o.Route)
		}
	}
	return index
}

// addRoute makes a route findable. Accepted routes do not overlap; of two that do, the first by name is used.
func (x *Index) addRoute(name string, r object.RouteSpec) {
	organisations := r.Organisations
	if len(organisations) == 0 {
		organisations = []string{""}
	}
	for _, o := range organisations {
		key := routeKey{o, r.Model, r.Service}
		if existing, isTaken := x.routeNames[key]; !isTaken || name < existing {
			x.routeNames[key] = name
		}
	}
}

// RouteFor returns the route of an organisation for a model or service name. A route that names the organisation goes
// before one for all.
func (x *Index) RouteFor(organisation, model, service string) (name string, spec object.RouteSpec, found bool) {
	name, found = x.routeNames[routeKey{organisation, model, service}]
	if !found {
		name, found = x.routeNames[routeKey{"", model, service}]
	}
	return name, x.Routes[name], found
}

// Current holds the snapshot in force on this node. It only moves up.
type Current struct {
	index atomic.Pointer[Index]
}

// Index returns the snapshot in force; its number is 0 before the first one.
func (c *Current) Index() *Index {
	if index := c.index.Load(); index != nil {
		return index
	}
	return NewIndex(Snapshot{})
}

// SetIfNewer puts a snapshot in force if it is newer than the present one and reports whether it did.
func (c *Current) SetIfNewer(snapshot Snapshot) bool {
	next := NewIndex(snapshot)
	for {
		previous := c.index.Load()
		if previous != nil && previous.Number >= next.Number {
			return false
		}
		if c.index.CompareAndSwap(previous, next) {
			return true
		}
	}
}
