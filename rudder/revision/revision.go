// Package revision turns accepted objects into immutable numbered snapshots and holds the snapshot that is in force on
// a node. The daemon keeps it current; the request path reads it for every request.
package revision

import (
	"sort"
	"sync/atomic"

	"chestnutrudder.example/rudder/object"
)

// Keys in the object API.
const (
	CurrentKey     = "revision/current"
	SnapshotPrefix = "revision/"
)

// Pointer names the newest accepted snapshot.
type Pointer struct {
	Number int64 `json:"number"`
}

// Snapshot is one accepted configuration. It is never changed after it was written.
type Snapshot struct {
	Number  int64           `json:"number"`
	Objects []object.Object `json:"objects"`
}

// Index is a snapshot prepared for look-ups by name.
type Index struct {
	Number        int64
	Organisations map[string]object.OrganisationSpec
	ModelVersions map[string]object.ModelVersionSpec
	Deployments   map[string]object.DeploymentSpec
	Routes        map[string]object.RouteSpec
	Snapshot      Snapshot
}

// NewIndex prepares a snapshot for look-ups.
func NewIndex(snapshot Snapshot) *Index {
	index := &Index{
		Number:        snapshot.Number,
		Organisations: map[string]object.OrganisationSpec{},
		ModelVersions: map[string]object.ModelVersionSpec{},
		Deployments:   map[string]object.DeploymentSpec{},
		Routes:        map[string]object.RouteSpec{},
		Snapshot:      snapshot,
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
		}
	}
	return index
}

// RouteFor returns the route of an organisation for a model or service name. A route that names the organisation goes
// before one for all.
func (x *Index) RouteFor(organisation, model, service string) (name string, spec object.RouteSpec, found bool) {
	names := make([]string, 0, len(x.Routes))
	for n := range x.Routes {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		r := x.Routes[n]
		if r.Model != model || r.Service != service {
			continue
		}
		if len(r.Organisations) == 0 {
			if !found {
				name, spec, found = n, r, true
			}
			continue
		}
		for _, o := range r.Organisations {
			if o == organisation {
				return n, r, true
			}
		}
	}
	return name, spec, found
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

// Adopt puts a snapshot in force if it is newer than the present one and reports whether it did.
func (c *Current) Adopt(snapshot Snapshot) bool {
	next := NewIndex(snapshot)
	for {
		present := c.index.Load()
		if present != nil && present.Number >= next.Number {
			return false
		}
		if c.index.CompareAndSwap(present, next) {
			return true
		}
	}
}
