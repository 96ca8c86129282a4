package backend

import "time"

const (
	// demandHalf is half of the time over which demand is averaged.
	demandHalf = 2 * time.Second
	// decodeMillis is what one generated token adds to a runner's work in milliseconds. A step is shared by the tokens of
	// all requests in the batch and goes on beside the reading of prompts.
	decodeMillis = 0.04
)

// demand measures the work that requests bring, as the number of runners that it keeps busy.
type demand struct {
	millis, before float64
	since          time.Time
	known          bool // a whole period was measured
}

func (d *demand) add(millis float64, now time.Time) {
	d.roll(now)
	d.millis += millis
}

// roll begins a new period when the present one is over.
func (d *demand) roll(now time.Time) {
	if d.since.IsZero() {
		d.since = now
		return
	}
	if age := now.Sub(d.since); age >= demandHalf {
		d.before, d.known = d.millis, true
		if age >= 2*demandHalf {
			d.before = 0
		}
		d.millis, d.since = 0, now
	}
}

// busy returns the runners kept busy over the last whole period and the present one.
func (d *demand) busy(now time.Time) float64 {
	d.roll(now)
	span := now.Sub(d.since)
	if d.known {
		span += demandHalf
	}
	if span < demandHalf/2 {
		return 0
	}
	return (d.before + d.millis) / float64(span.Milliseconds())
}

// Demand returns by service the runners that the requests to this node keep busy, refused requests included.
func (t *Table) Demand() map[string]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	rates := map[string]float64{}
	for service, d := range t.demands {
		if rate := d.busy(now); rate > 0 {
			rates[service] = rate
		}
	}
	return rates
}

// countDemand counts a request that arrives. The caller holds the lock.
func (t *Table) countDemand(r Request, uncached int, m *engineModel, now time.Time) {
	if !r.IsGeneration || len(r.Exclude) > 0 {
		return
	}
	d, found := t.demands[r.Service]
	if !found {
		d = &demand{}
		t.demands[r.Service] = d
	}
	d.add(float64(uncached)/m.prefill+decodeMillis*float64(r.OutputTokens), now)
}

// PrefillRate returns the prompt tokens that a runner of the service reads in a millisecond, as measured.
func (t *Table) PrefillRate(service string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.model(service).prefill
}
