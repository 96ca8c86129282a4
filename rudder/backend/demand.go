package backend

import "time"

const (
	// demandPeriod is the length of one measuring period. Demand is averaged over the last whole period and the current one.
	demandPeriod = 2 * time.Second
	// decodeMillisPerToken is the work that one generated token adds to a runner, in milliseconds. A decode step is shared by
	// all requests in the batch and runs alongside prefill.
	decodeMillisPerToken = 0.04
)

// demand measures the work that requests cause, in runner milliseconds, and converts it to the number of busy runners.
type demand struct {
	currentMillis, previousMillis float64
	periodStart                   time.Time
	hasPrevious                   bool // whether a whole period was measured before the current one
}

func (d *demand) add(millis float64, now time.Time) {
	d.advance(now)
	d.currentMillis += millis
}

// advance starts a new period if the current one is over.
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

// busyRunners returns the average number of runners kept busy over the last whole period and the current one. It is 0 until
// half a period was measured.
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

// Demand returns, by service, the average number of runners that the generation requests to this node keep busy, refused
// requests included. Services without demand are left out.
func (t *Table) Demand() map[string]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	busyRunners := map[string]float64{}
	for service, d := range t.demands {
		if runners := d.busyRunners(now); runners > 0 {
			busyRunners[service] = runners
		}
	}
	return busyRunners
}

// countDemand adds the predicted work of a generation request to the demand of its service. Requests that another server
// has had already are not counted again. The caller holds the lock.
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

// PrefillRate returns the measured prefill rate of a service's runners, in prompt tokens per millisecond.
func (t *Table) PrefillRate(service string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.model(service).prefillRate
}
