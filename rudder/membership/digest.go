package membership

import (
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"chestnutrudder.example/rudder/peer/peerpb"
)

// digestLife is how long the digests of a neighbour count in the sum for other failure domains.
const digestLife = 5 * time.Second

// heardDigests are the load digests of a neighbour.
type heardDigests struct {
	digests []*peerpb.LoadDigest
	at      time.Time
}

// digestsFor returns this node's digests for a neighbour, and the sum of the own failure domain for other nodes.
func (e *Exchanger) digestsFor(domain string) []*peerpb.LoadDigest {
	if e.Digests == nil || domain == "" {
		return nil
	}
	own := e.Digests()
	if domain == e.Table.Self().FailureDomain {
		return own
	}
	now := e.Table.now()
	all := append([]*peerpb.LoadDigest(nil), own...)
	e.mu.Lock()
	for _, heard := range e.digests {
		age := now.Sub(heard.at)
		if age > digestLife {
			continue
		}
		for _, d := range heard.digests {
			aged := proto.Clone(d).(*peerpb.LoadDigest)
			aged.AgeMs += age.Milliseconds()
			all = append(all, aged)
		}
	}
	e.mu.Unlock()
	return sumDigests(e.Table.Self().FailureDomain, all)
}

// takeDigests keeps the digests of a neighbour and passes all on.
func (e *Exchanger) takeDigests(from Node, digests []*peerpb.LoadDigest) {
	if len(digests) == 0 || from.Name == "" {
		return
	}
	if from.FailureDomain == e.Table.Self().FailureDomain {
		e.mu.Lock()
		e.digests[from.Name] = heardDigests{digests: digests, at: e.Table.now()}
		e.mu.Unlock()
	}
	if e.TakeDigests != nil {
		e.TakeDigests(digests)
	}
}

// sumDigests returns one digest for each deployment. Wait and price are means over the runners; the age is the highest.
func sumDigests(domain string, digests []*peerpb.LoadDigest) []*peerpb.LoadDigest {
	sums := map[string]*peerpb.LoadDigest{}
	for _, d := range digests {
		s, found := sums[d.Deployment]
		if !found {
			s = &peerpb.LoadDigest{FailureDomain: domain, Deployment: d.Deployment}
			sums[d.Deployment] = s
		}
		if runners := int64(s.Runners + d.Runners); runners > 0 {
			s.PredictedWaitMs = (s.PredictedWaitMs*int64(s.Runners) + d.PredictedWaitMs*int64(d.Runners)) / runners
			s.PriceMicrosPerHour = (s.PriceMicrosPerHour*int64(s.Runners) + d.PriceMicrosPerHour*int64(d.Runners)) / runners
		}
		s.Runners += d.Runners
		s.FreeSlots += d.FreeSlots
		s.Slots += d.Slots
		s.QueuedTokens += d.QueuedTokens
		s.ReclaimableRunners += d.ReclaimableRunners
		s.AgeMs = max(s.AgeMs, d.AgeMs)
	}
	total := make([]*peerpb.LoadDigest, 0, len(sums))
	for _, s := range sums {
		total = append(total, s)
	}
	sort.Slice(total, func(i, j int) bool { return total[i].Deployment < total[j].Deployment })
	return total
}
