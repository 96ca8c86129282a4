package route

import (
	"sync"
	"time"

	"chestnutrudder.example/rudder/membership"
	"chestnutrudder.example/rudder/peer/peerpb"
)

// forgetAfter: a digest of a dispatcher that was not heard for so long says nothing; the membership table declares the
// node dead after the same time.
const forgetAfter = 6 * time.Second

// Digest is the load of one dispatcher for one deployment, as known here.
type Digest struct {
	*peerpb.LoadDigest
	Age      time.Duration
	Assigned int // requests sent there since the digest was made
}

type stored struct {
	digest   *peerpb.LoadDigest
	madeAt   time.Time
	assigned []time.Time
}

type place struct{ node, deployment string }

// Digests holds the newest load digest of each dispatcher and deployment. It is safe for concurrent use.
type Digests struct {
	mu     sync.Mutex
	stored map[place]*stored
	now    func() time.Time
}

// NewDigests returns an empty store.
func NewDigests() *Digests {
	return &Digests{stored: map[place]*stored{}, now: time.Now}
}

// Update takes digests that have just arrived; one that was made before the known one is dropped.
func (d *Digests) Update(digests []*peerpb.LoadDigest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	for _, digest := range digests {
		key := place{digest.Node, digest.Deployment}
		if digest.Node == "" {
			key.node = domainKey(digest.FailureDomain)
		}
		madeAt := now.Add(-time.Duration(digest.AgeMs) * time.Millisecond)
		known := d.stored[key]
		if known == nil {
			known = &stored{}
			d.stored[key] = known
		} else if madeAt.Before(known.madeAt) {
			continue
		}
		known.digest, known.madeAt = digest, madeAt
		known.dropAssigned(madeAt)
	}
}

// dropAssigned forgets requests that the digest counts already.
func (s *stored) dropAssigned(before time.Time) {
	kept := s.assigned[:0]
	for _, at := range s.assigned {
		if at.After(before) {
			kept = append(kept, at)
		}
	}
	s.assigned = kept
}

// domainKey stands for a node in a digest that sums up the dispatchers of another failure domain.
func domainKey(failureDomain string) string { return "failure domain " + failureDomain }

// of returns the digest of a node, else that of its failure domain, else one without content.
func of(digests map[string]Digest, n membership.Node) Digest {
	if d, found := digests[n.Name]; found {
		return d
	}
	return digests[domainKey(n.FailureDomain)]
}

// Assign counts a request that was sent to a dispatcher, so that requests do not all follow the same digest.
func (d *Digests) Assign(n membership.Node, deployment string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.stored[place{n.Name, deployment}]
	if s == nil {
		s = d.stored[place{domainKey(n.FailureDomain), deployment}]
	}
	if s != nil {
		s.assigned = append(s.assigned, d.now())
	}
}

// For returns the digests of a deployment by node name. Digests older than forgetAfter are left out.
func (d *Digests) For(deployment string) map[string]Digest {
	d.mu.Lock()
	defer d.mu.Unlock()
	found := map[string]Digest{}
	now := d.now()
	for key, s := range d.stored {
		age := now.Sub(s.madeAt)
		if age > forgetAfter {
			delete(d.stored, key)
			continue
		}
		if key.deployment == deployment {
			found[key.node] = Digest{LoadDigest: s.digest, Age: age, Assigned: len(s.assigned)}
		}
	}
	return found
}
