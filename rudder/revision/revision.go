// Package revision turns the objects that operators write into immutable, numbered configuration snapshots (Acceptor,
// on the node that holds the lease) and keeps the newest snapshot in force on every node (Follower). The daemon runs
// both; the request path reads CurrentSnapshot for every request.
package revision

import (
	"sync/atomic"

	"chestnutrudder.example/rudder/object"
)

// Keys in the object API. The key of a snapshot consists of SnapshotPrefix, the number of the snapshot and a suffix
// that is unique for each write. Because of the suffix, a snapshot left behind by an acceptor that died before it
// updated the pointer does not block the next write under the same number.
const (
	PointerKey     = "revision/current"
	SnapshotPrefix = "revision/"
)

// maxRetainedSnapshots is the number of snapshots that are retained in the object API, including the newest. A reader
// that is so slow that its snapshot has been deleted meanwhile reads the pointer again.
const maxRetainedSnapshots = 5

// Pointer is the value of PointerKey and names the newest accepted snapshot. It is written only on condition that its
// version is unchanged.
type Pointer struct {
	Number       int64  `json:"number"`
	SnapshotKey  string `json:"key"`   // empty before the first snapshot
	Node         string `json:"node"`  // node of the acceptor that wrote the snapshot; other nodes request the delta from it
	FencingToken int64  `json:"fence"` // of the acceptor that wrote the pointer
	// RetainedKeys are the keys of the retained snapshots, oldest first.
	RetainedKeys []string `json:"kept"`
}

// Snapshot is one accepted configuration. It is immutable once written.
type Snapshot struct {
	Number  int64           `json:"number"`
	Objects []object.Object `json:"objects"` // sorted by kind and name
}

// Index is a snapshot with tables for lookups by name.
type Index struct {
	Number        int64
	Organisations map[string]object.OrganisationSpec
	ModelVersions map[string]object.ModelVersionSpec
	Deployments   map[string]object.DeploymentSpec
	Routes        map[string]object.RouteSpec
	Snapshot      Snapshot

	routeNames map[routeKey]string
}

// routeKey is the key for the lookup of a route. An empty organisation stands for all organisations.
type routeKey struct{ organisation, model, service string }

// NewIndex builds the lookup tables of a snapshot.
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

// addRoute adds a route to the lookup table. Accepted routes do not overlap; of two that did, the one whose name sorts
// first would be used.
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

// RouteFor returns the route of an organisation for a model or service name. A route that names the organisation takes
// precedence over a route for all organisations.
func (x *Index) RouteFor(organisation, model, service string) (name string, spec object.RouteSpec, found bool) {
	name, found = x.routeNames[routeKey{organisation, model, service}]
	if !found {
		name, found = x.routeNames[routeKey{"", model, service}]
	}
	return name, x.Routes[name], found
}

// CurrentSnapshot holds the snapshot in force on this node. The number of that snapshot never decreases. The zero value
// is ready for use, and all methods are safe for concurrent use.
type CurrentSnapshot struct {
	index atomic.Pointer[Index]
}

// Index returns the snapshot in force. Before the first one, it returns an empty snapshot with number 0.
func (c *CurrentSnapshot) Index() *Index {
	if index := c.index.Load(); index != nil {
		return index
	}
	return NewIndex(Snapshot{})
}

// SetIfNewer puts a snapshot in force if its number is higher than that of the snapshot in force, and reports whether
// it did.
func (c *CurrentSnapshot) SetIfNewer(snapshot Snapshot) bool {
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
