package backend

import "time"

const (
	// demandPeriod is half of the time over which demand is averaged.
	demandPeriod = 2 * time.Second
	// decodeMillisPerToken is what one generated token adds to a runner's work in milliseconds. A step is shared by the tokens of
	// all requests in the batch and goes on beside the reading of prompts.
	decodeMillisPerToken = 0.04
)

// demand measures the work that requests bring, as the number of runners that it keeps busy.
type demand struct {
	currentMillis, previousMillis float64
	periodStart                   time.Time
	hasPrevious                   bool // a whole period was measured
}

func (d *demand) add(millis float64, now time.Time) {
	d.advance(now)
	d.currentMillis += millis
}

// advance begins a new period when the present one is over.
func (d *demand) advance(now time.Time) {
	if d.periodStart.IsZero() {
		d.periodStart = now
		return
	}
	if age := now.Sub(d.periodStart); age >= demandPeriod {
		d.previousMillis, d.hasPrevious = d.currentMillis, true
		if age >= 2*demandPeriod {
			d.previousMillis = 0
		}
		d.currentMillis, d.periodStart = 0, now
	}
}

// busyRunners returns the runners kept busy over the last whole period and the present one.
func (d *demand) busyRunners(now time.Time) float64 {
	d.advance(now)
	span := now.Sub(d.periodStart)
	if d.hasPrevious {
		span += demandPeriod
	}
	if span < demandPeriod/2 {
		return 0
	}
	return (d.previousMillis + d.currentMillis) / float64(span.Milliseconds())
}

// Demand returns by service the runners that the requests to this node keep busy, refused requests included.
func (t *Table) Demand() map[string]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	rates := map[string]float64{}
	for service, d := range t.demands {
		if rate := d.busyRunners(now); rate > 0 {
			rates[service] = rate
		}
	}
	return rates
}

// countDemand counts a request that arrives. The caller holds the lock.
func (t *Table) countDemand(r Request, uncachedTokens int, m *latencyModel, now time.Time) {
	if !r.IsGeneration || len(r.Exclude) > 0 {
		return
	}
	d, found := t.demands[r.Service]
	if !found {
		d = &demand{}
		t.demands[r.Service] = d
	}
	d.add(float64(uncachedTokens)/m.prefillRate+decodeMillisPerToken*float64(r.MaxOutputTokens), now)
}

// PrefillRate returns the prompt tokens that a runner of the service reads in a millisecond, as measured.
func (t *Table) PrefillRate(service string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.model(service).prefillRate
}
