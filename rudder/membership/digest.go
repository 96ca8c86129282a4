package membership

import (
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"chestnutrudder.example/rudder/peer/peerpb"
)

// digestTTL is how long a neighbour's digests are included in the aggregate that is sent to other failure domains.
const digestTTL = 5 * time.Second

// receivedDigests holds the load digests that a neighbour sent last.
type receivedDigests struct {
	digests    []*peerpb.LoadDigest
	receivedAt time.Time
}

// digestsFor returns the digests to send to a node of a failure domain: this node's own digests for neighbours, an aggregate
// over this node's failure domain for others.
func (e *Exchanger) digestsFor(domain string) []*peerpb.LoadDigest {
	if e.LocalDigests == nil || domain == "" {
		return nil
	}
	local := e.LocalDigests()
	if domain == e.Table.Self().FailureDomain {
		return local
	}
	now := e.Table.now()
	all := append([]*peerpb.LoadDigest(nil), local...)
	e.mu.Lock()
	for _, received := range e.digests {
		age := now.Sub(received.receivedAt)
		if age > digestTTL {
			continue
		}
		for _, d := range received.digests {
			clone := proto.Clone(d).(*peerpb.LoadDigest)
			clone.AgeMs += age.Milliseconds()
			all = append(all, clone)
		}
	}
	e.mu.Unlock()
	return aggregateDigests(e.Table.Self().FailureDomain, all)
}

// storeDigests stores the digests of a neighbour for the aggregate, and passes those of any known sender to HandleDigests.
func (e *Exchanger) storeDigests(sender Node, digests []*peerpb.LoadDigest) {
	if len(digests) == 0 || sender.Name == "" {
		return
	}
	if sender.FailureDomain == e.Table.Self().FailureDomain {
		e.mu.Lock()
		e.digests[sender.Name] = receivedDigests{digests: digests, receivedAt: e.Table.now()}
		e.mu.Unlock()
	}
	if e.HandleDigests != nil {
		e.HandleDigests(digests)
	}
}

// aggregateDigests returns one digest for each deployment, sorted by deployment. Counts are summed, wait and price are means
// weighted by runners, and the age is the highest one.
func aggregateDigests(domain string, digests []*peerpb.LoadDigest) []*peerpb.LoadDigest {
	aggregates := map[string]*peerpb.LoadDigest{}
	for _, d := range digests {
		a, found := aggregates[d.Deployment]
		if !found {
			a = &peerpb.LoadDigest{FailureDomain: domain, Deployment: d.Deployment}
			aggregates[d.Deployment] = a
		}
		if runners := int64(a.Runners + d.Runners); runners > 0 {
			a.PredictedWaitMs = (a.PredictedWaitMs*int64(a.Runners) + d.PredictedWaitMs*int64(d.Runners)) / runners
			a.PriceMicrosPerHour = (a.PriceMicrosPerHour*int64(a.Runners) + d.PriceMicrosPerHour*int64(d.Runners)) / runners
		}
		a.Runners += d.Runners
		a.FreeSlots += d.FreeSlots
		a.Slots += d.Slots
		a.QueuedTokens += d.QueuedTokens
		a.ReclaimableRunners += d.ReclaimableRunners
		a.AgeMs = max(a.AgeMs, d.AgeMs)
	}
	sorted := make([]*peerpb.LoadDigest, 0, len(aggregates))
	for _, a := range aggregates {
		sorted = append(sorted, a)
	}
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Deployment < sorted[j].Deployment })
	return sorted
}
