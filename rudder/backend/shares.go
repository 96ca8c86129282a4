package backend

import (
	"cmp"
	"math"
	"slices"
)

// VersionShares divides the requests of a service among the software versions of its servers.
type VersionShares struct {
	Target string  // the version that is introduced
	Share  float64 // of the requests for it
	// IsOnlyTarget is true if other versions get no requests, even if no server of the target serves.
	IsOnlyTarget bool
	Excluded     []string // versions that get no requests, even if no other server serves
	Held         []string // versions that get no requests as long as others serve
}

const (
	// minTargetServers is the number of servers of the target that get requests at least: a fault of one of them must not be
	// taken for one of the version.
	minTargetServers = 3
	// targetServerFactor is the part of the target's servers that gets requests relative to its share of the requests. Few
	// servers have about the load that all will have, so that a version that fails only under load shows it early.
	targetServerFactor = 1.5
	roundingError      = 1e-9 // of floating-point products
)

// SetVersionShares divides the requests of a service. A request is assigned to a version by Request.VersionFraction, on all
// nodes alike.
func (t *Table) SetVersionShares(service string, s VersionShares) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.versionShares[service] = &s
}

// ClearVersionShares lets the requests of a service go to all versions.
func (t *Table) ClearVersionShares(service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.versionShares, service)
}

// SetAwaitsVersionShares tells whether it is not known yet which services have shares. Requests for services with several
// versions are refused meanwhile.
func (t *Table) SetAwaitsVersionShares(awaits bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.awaitsShares = awaits
}

func hasSeveralVersions(servers []*Server) bool {
	return slices.ContainsFunc(servers, func(s *Server) bool { return s.SoftwareVersion != servers[0].SoftwareVersion })
}

// mayGetRequests reports whether the shares allow any request to a version.
func (v *VersionShares) mayGetRequests(version string) bool {
	if v == nil || version == v.Target && !slices.Contains(v.Excluded, version) {
		return true
	}
	return !v.IsOnlyTarget && !slices.Contains(v.Excluded, version)
}

// divide returns those of the serving servers of a service that may take a request, after the shares of the versions. The caller
// holds the lock.
func (t *Table) divide(r *Request, serving []*Server) []*Server {
	v := t.versionShares[r.Service]
	if v == nil && t.awaitsShares && hasSeveralVersions(serving) {
		return nil
	}
	if v == nil {
		return serving
	}
	var target, others, held []*Server
	for _, s := range serving {
		switch {
		case !v.mayGetRequests(s.SoftwareVersion):
		case s.SoftwareVersion == v.Target:
			target = append(target, s)
		case slices.Contains(v.Held, s.SoftwareVersion):
			held = append(held, s)
		default:
			others = append(others, s)
		}
	}
	if r.SoftwareVersion != nil { // serving holds only this version
		return slices.Concat(target, others, held)
	}
	isForTarget := r.VersionFraction < v.Share
	switch {
	case len(target) > 0 && (isForTarget || len(others) == 0 && v.Share > 0):
		return v.firstTargets(target)
	case len(others) > 0:
		return others
	case len(held) > 0:
		return held
	}
	return target
}

// firstTargets returns the servers of the target that get its share of the requests, the same on all nodes.
func (v *VersionShares) firstTargets(target []*Server) []*Server {
	count := max(int(math.Ceil(targetServerFactor*v.Share*float64(len(target))-roundingError)), minTargetServers)
	if count >= len(target) {
		return target
	}
	slices.SortFunc(target, func(a, b *Server) int { return cmp.Or(cmp.Compare(a.idHash, b.idHash), cmp.Compare(a.ID, b.ID)) })
	return target[:count]
}

// CountVersion returns the number of serving servers of a service with and without a software version.
func (t *Table) CountVersion(service, version string) (with, others int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.servers {
		switch {
		case s.Service != service || !s.isServing():
		case s.SoftwareVersion == version:
			with++
		default:
			others++
		}
	}
	return with, others
}

// CountOwnRequests returns the number of this node's requests at servers of a service with another software version.
func (t *Table) CountOwnRequests(service, exceptVersion string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ownByVersion.count(service, exceptVersion)
}

// requestsByVersion counts requests from their placement to their release. Servers that have been replaced under the same name
// count too.
type requestsByVersion map[serviceVersion]int

type serviceVersion struct{ service, version string }

func (c requestsByVersion) add(service, version string, n int) {
	key := serviceVersion{service, version}
	if c[key] += n; c[key] <= 0 {
		delete(c, key)
	}
}

func (c requestsByVersion) count(service, exceptVersion string) int {
	sum := 0
	for key, n := range c {
		if key.service == service && key.version != exceptVersion {
			sum += n
		}
	}
	return sum
}
