package capacity

import (
	"time"

	"github.com/cenkalti/backoff/v5"

	"chestnutrudder.example/rudder/cloud"
)

const (
	firstRefusalPause = 5 * time.Second
	lastRefusalPause  = 5 * time.Minute
	// recentReclaims is the time over which reclaims are counted for a failure domain's rate.
	recentReclaims = time.Hour
)

// refusals remembers which kinds of host the cloud refused, each with a growing pause before the next try.
type refusals struct {
	pauses map[Kind]*refusal
}

type refusal struct {
	pause *backoff.ExponentialBackOff
	until time.Time
}

func newRefusals() *refusals { return &refusals{pauses: map[Kind]*refusal{}} }

// refused starts the next pause of a kind.
func (r *refusals) refused(k Kind, now time.Time) {
	known := r.pauses[k]
	if known == nil {
		pause := backoff.NewExponentialBackOff()
		pause.InitialInterval = firstRefusalPause
		pause.MaxInterval = lastRefusalPause
		known = &refusal{pause: pause}
		r.pauses[k] = known
	}
	known.until = now.Add(known.pause.NextBackOff())
}

// started ends the pauses of a kind.
func (r *refusals) started(k Kind) { delete(r.pauses, k) }

// open returns the offers that may be tried now and that the deployment allows.
func (r *refusals) open(offers []cloud.Offer, failureDomains, classes map[string]bool, now time.Time) []cloud.Offer {
	var left []cloud.Offer
	for _, o := range offers {
		known := r.pauses[Kind{o.FailureDomain, o.Class, o.Reclaimable}]
		if known != nil && now.Before(known.until) || !failureDomains[o.FailureDomain] || !classes[o.Class] {
			continue
		}
		left = append(left, o)
	}
	return left
}

// reclaims counts reclaimed hosts by failure domain.
type reclaims struct {
	at map[string][]time.Time
}

func newReclaims() *reclaims { return &reclaims{at: map[string][]time.Time{}} }

func (r *reclaims) add(failureDomain string, now time.Time) {
	r.at[failureDomain] = append(r.at[failureDomain], now)
}

// perHour returns the reclaims per host and hour for a number of reclaimable hosts in each failure domain.
func (r *reclaims) perHour(hosts map[string]int, now time.Time) map[string]float64 {
	rates := map[string]float64{}
	for domain, times := range r.at {
		kept := times[:0]
		for _, at := range times {
			if now.Sub(at) < recentReclaims {
				kept = append(kept, at)
			}
		}
		r.at[domain] = kept
		rates[domain] = float64(len(kept)) / float64(max(hosts[domain], 1)) / recentReclaims.Hours()
	}
	return rates
}
