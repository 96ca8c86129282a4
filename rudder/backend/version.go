package backend

import (
	"slices"
	"time"
)

// versionRetryAfter is when to try again a request whose software version has left. Its servers do not come back in a
// moment.
const versionRetryAfter = 2 * time.Second

// hasVersion reports whether the server has the given software version. Nil stands for any.
func (s *Server) hasVersion(version *string) bool {
	return version == nil || s.SoftwareVersion == *version
}

// servesVersion reports whether a server of a service serves that has the given software version. The caller holds the lock.
func (t *Table) servesVersion(service, version string) bool {
	for _, s := range t.servers {
		if s.Service == service && s.SoftwareVersion == version && s.isServing() && t.versionShares[service].mayGetRequests(version) {
			return true
		}
	}
	return false
}

// SoftwareVersions returns the software versions of all servers that are known, by service.
func (t *Table) SoftwareVersions() map[string][]string {
	t.mu.Lock()
	defer t.mu.Unlock()
	versions := map[string][]string{}
	for _, s := range t.servers {
		if !slices.Contains(versions[s.Service], s.SoftwareVersion) {
			versions[s.Service] = append(versions[s.Service], s.SoftwareVersion)
		}
	}
	return versions
}
