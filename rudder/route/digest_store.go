package route

import (
	"sync"
	"time"

	"chestnutrudder.example/rudder/membership"
	"chestnutrudder.example/rudder/peer/peerpb"
)

// digestTTL is the age at which a load digest is discarded because it says nothing about the present load any more. The
// membership table declares a silent node dead after the same time.
const digestTTL = 6 * time.Second

// Digest is the load of one dispatcher for one deployment, as this node knows it.
type Digest struct {
	*peerpb.LoadDigest
	Age              time.Duration
	AssignedRequests int // requests that this node sent to the dispatcher since the digest was created
}

type digestEntry struct {
	digest     *peerpb.LoadDigest
	createdAt  time.Time
	assignedAt []time.Time // requests sent since createdAt
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

// Update stores digests that have just been received. A digest that is older than the stored one is ignored.
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

// dropAssignedBefore removes the requests sent up to cutoff, which the digest already includes.
func (e *digestEntry) dropAssignedBefore(cutoff time.Time) {
	remaining := e.assignedAt[:0]
	for _, at := range e.assignedAt {
		if at.After(cutoff) {
			remaining = append(remaining, at)
		}
	}
	e.assignedAt = remaining
}

// domainKey returns the key that takes the place of a node name for a digest that summarises another failure domain.
func domainKey(failureDomain string) string { return "failure domain " + failureDomain }

// digestFor returns the digest of a node, else the digest of its failure domain, else a Digest without a LoadDigest.
func digestFor(digests map[string]Digest, n membership.Node) Digest {
	if d, found := digests[n.Name]; found {
		return d
	}
	return digests[domainKey(n.FailureDomain)]
}

// RecordAssignment counts a request that is sent to a dispatcher. Without the count all requests would go to the dispatcher
// with the lowest load until its next digest arrives.
func (d *DigestStore) RecordAssignment(n membership.Node, deployment string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	entry := d.entries[digestKey{n.Name, deployment}]
	if entry == nil {
		entry = d.entries[digestKey{domainKey(n.FailureDomain), deployment}]
	}
	if entry != nil {
		entry.assignedAt = append(entry.assignedAt, d.now())
	}
}

// ForDeployment returns the digests of a deployment by node name; a digest of another failure domain has its domainKey.
// Digests older than digestTTL are removed from the store.
func (d *DigestStore) ForDeployment(deployment string) map[string]Digest {
	d.mu.Lock()
	defer d.mu.Unlock()
	byNode := map[string]Digest{}
	now := d.now()
	for key, entry := range d.entries {
		age := now.Sub(entry.createdAt)
		if age > digestTTL {
			delete(d.entries, key)
			continue
		}
		if key.deployment == deployment {
			byNode[key.node] = Digest{LoadDigest: entry.digest, Age: age, AssignedRequests: len(entry.assignedAt)}
		}
	}
	return byNode
}
