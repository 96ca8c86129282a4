package capacity

import (
	"time"

	"github.com/cenkalti/backoff/v5"

	"chestnutrudder.example/rudder/cloud"
)

const (
	initialRefusalBackoff = 5 * time.Second
	maxRefusalBackoff     = 5 * time.Minute
	// reclaimRateWindow is the time over which the reclaims in a failure domain are counted for its rate.
	reclaimRateWindow = time.Hour
)

// refusalBackoffs holds an exponential backoff for each kind of host that the cloud refused to start.
type refusalBackoffs struct {
	byKind map[HostKind]*kindBackoff
}

type kindBackoff struct {
	policy  *backoff.ExponentialBackOff
	retryAt time.Time // no start of the kind is tried before
}

func newRefusalBackoffs() *refusalBackoffs {
	return &refusalBackoffs{byKind: map[HostKind]*kindBackoff{}}
}

// recordRefusal sets when a refused kind may be tried again; the delay grows with each refusal.
func (r *refusalBackoffs) recordRefusal(k HostKind, now time.Time) {
	state := r.byKind[k]
	if state == nil {
		policy := backoff.NewExponentialBackOff()
		policy.InitialInterval = initialRefusalBackoff
		policy.MaxInterval = maxRefusalBackoff
		state = &kindBackoff{policy: policy}
		r.byKind[k] = state
	}
	state.retryAt = now.Add(state.policy.NextBackOff())
}

// reset ends the backoff of a kind after a successful start.
func (r *refusalBackoffs) reset(k HostKind) { delete(r.byKind, k) }

// eligibleOffers returns the offers in the failure domains and classes of the deployment whose kind is not in backoff.
func (r *refusalBackoffs) eligibleOffers(offers []cloud.Offer, failureDomains, classes map[string]bool, now time.Time) []cloud.Offer {
	var eligible []cloud.Offer
	for _, o := range offers {
		state := r.byKind[HostKind{o.FailureDomain, o.Class, o.Reclaimable}]
		if state != nil && now.Before(state.retryAt) || !failureDomains[o.FailureDomain] || !classes[o.Class] {
			continue
		}
		eligible = append(eligible, o)
	}
	return eligible
}

// reclaimHistory holds the times of the reclaims in each failure domain.
type reclaimHistory struct {
	byFailureDomain map[string][]time.Time
}

func newReclaimHistory() *reclaimHistory {
	return &reclaimHistory{byFailureDomain: map[string][]time.Time{}}
}

func (r *reclaimHistory) record(failureDomain string, now time.Time) {
	r.byFailureDomain[failureDomain] = append(r.byFailureDomain[failureDomain], now)
}

// ratesPerHour returns the reclaims per host and hour in each failure domain, given the number of reclaimable hosts in
// each. It drops reclaims that are older than reclaimRateWindow.
func (r *reclaimHistory) ratesPerHour(reclaimableHosts map[string]int, now time.Time) map[string]float64 {
	rates := map[string]float64{}
	for failureDomain, times := range r.byFailureDomain {
		kept := times[:0]
		for _, at := range times {
			if now.Sub(at) < reclaimRateWindow {
				kept = append(kept, at)
			}
		}
		r.byFailureDomain[failureDomain] = kept
		rates[failureDomain] = float64(len(kept)) / float64(max(reclaimableHosts[failureDomain], 1)) / reclaimRateWindow.Hours()
	}
	return rates
}
