package route

import (
	"sync"
	"time"

	"chestnutrudder.example/rudder/membership"
	"chestnutrudder.example/rudder/peer/peerpb"
)

// digestTTL: a digest of a dispatcher that was not heard for so long says nothing; the membership table declares the
// node dead after the same time.
const digestTTL = 6 * time.Second

// Digest is the load of one dispatcher for one deployment, as known here.
type Digest struct {
	*peerpb.LoadDigest
	Age              time.Duration
	AssignedRequests int // requests sent there since the digest was made
}

type digestEntry struct {
	digest     *peerpb.LoadDigest
	createdAt  time.Time
	assignedAt []time.Time
}

type digestKey struct{ node, deployment string }

// DigestStore holds the newest load digest of each dispatcher and deployment. It is safe for concurrent use.
type DigestStore struct {
	mu      sync.Mutex
	entries map[digestKey]*digestEntry
	now     func() time.Time
}

// NewDigestStore returns an empty store.
func NewDigestStore() *DigestStore {
	return &DigestStore{entries: map[digestKey]*digestEntry{}, now: time.Now}
}

// Update takes digests that have just arrived; one that was made before the known one is dropped.
func (d *DigestStore) Update(digests []*peerpb.LoadDigest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	for _, digest := range digests {
		key := digestKey{digest.Node, digest.Deployment}
		if digest.Node == "" {
			key.node = domainKey(digest.FailureDomain)
		}
		createdAt := now.Add(-time.Duration(digest.AgeMs) * time.Millisecond)
		entry := d.entries[key]
		if entry == nil {
			entry = &digestEntry{}
			d.entries[key] = entry
		} else if createdAt.Before(entry.createdAt) {
			continue
		}
		entry.digest, entry.createdAt = digest, createdAt
		entry.dropAssignedBefore(createdAt)
	}
}

// dropAssignedBefore forgets requests that the digest counts already.
func (s *digestEntry) dropAssignedBefore(cutoff time.Time) {
	remaining := s.assignedAt[:0]
	for _, at := range s.assignedAt {
		if at.After(cutoff) {
			remaining = append(remaining, at)
		}
	}
	s.assignedAt = remaining
}

// domainKey stands for a node in a digest that sums up the dispatchers of another failure domain.
func domainKey(failureDomain string) string { return "failure domain " + failureDomain }

// digestFor returns the digest digestFor a node, else that digestFor its failure domain, else one without content.
func digestFor(digests map[string]Digest, n membership.Node) Digest {
	if d, found := digests[n.Name]; found {
		return d
	}
	return digests[domainKey(n.FailureDomain)]
}

// RecordAssignment counts a request that was sent to a dispatcher, so that requests do not all follow the same digest.
func (d *DigestStore) RecordAssignment(n membership.Node, deployment string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.entries[digestKey{n.Name, deployment}]
	if s == nil {
		s = d.entries[digestKey{domainKey(n.FailureDomain), deployment}]
	}
	if s != nil {
		s.assignedAt = append(s.assignedAt, d.now())
	}
}

// ForDeployment returns the digests of a deployment by node name. Digests older than forgetAfter are left out.
func (d *DigestStore) ForDeployment(deployment string) map[string]Digest {
	d.mu.Lock()
	defer d.mu.Unlock()
	byNode := map[string]Digest{}
	now := d.now()
	for key, s := range d.entries {
		age := now.Sub(s.createdAt)
		if age > digestTTL {
			delete(d.entries, key)
			continue
		}
		if key.deployment == deployment {
			byNode[key.node] = Digest{LoadDigest: s.digest, Age: age, AssignedRequests: len(s.assignedAt)}
		}
	}
	return byNode
}
