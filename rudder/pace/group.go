package pace

import (
	"math"
	"slices"
	"time"
)

const (
	// updateInterval is the pause between two updates of the paces in use.
	updateInterval = 250 * time.Millisecond
	// minMedianWeight is the weight of samples from which on a server counts for the median of its service.
	minMedianWeight = 4.0
)

// Group holds what is known of all servers of a service together. The zero value is a service of which nothing is known. It is
// not safe for concurrent use.
type Group struct {
	baselines [kindCount][LoadLevels]baseline
	updatedAt time.Time
	reference float64   // see Reference; 0 before the first update
	values    []float64 // see median
}

// Reference returns the pace that a quarter of the servers do not exceed. It is that of fast servers, but not of a single one.
func (g *Group) Reference() float64 {
	if g.reference == 0 {
		return 1
	}
	return g.reference
}

// IsUpdateDue reports whether Update should be called.
func (g *Group) IsUpdateDue(now time.Time) bool { return now.Sub(g.updatedAt) >= updateInterval }

// Update sets the paces in use of the servers of the service: relative to their median, so that a slow-down of all servers
// makes none of them slow. changed is called for each server whose pace at the lowest load level has changed.
func (g *Group) Update(estimators []*Estimator, now time.Time, changed func(i int, previous float64)) {
	g.updatedAt = now
	for _, e := range estimators {
		e.decay(now)
	}
	g.detectChanges(estimators, now)
	median := g.median(estimators, func(e *Estimator) mean { return e.all })
	var levelMedians [LoadLevels]float64
	for level := range LoadLevels {
		levelMedians[level] = g.median(estimators, func(e *Estimator) mean { return e.levels[level] })
	}
	g.values = g.values[:0]
	for i, e := range estimators {
		previous := e.Pace(0)
		e.update(median, levelMedians)
		if e.Pace(0) != previous {
			changed(i, previous)
		}
		g.values = append(g.values, e.Pace(0))
	}
	if len(g.values) > 0 {
		slices.Sort(g.values)
		g.reference = g.values[len(g.values)/4]
	}
}

// detectChanges makes servers whose pace has changed suddenly forget older samples. A change of all servers is none: it reaches
// their estimates at different times.
func (g *Group) detectChanges(estimators []*Estimator, now time.Time) {
	usual := g.median(estimators, func(e *Estimator) mean { return mean{weight: e.news.weight, total: e.news.weight * e.change()} })
	for _, e := range estimators {
		if e.news.weight >= minNewsWeight && math.Abs(e.change()-usual) >= newsDeviation {
			e.replaceByNews(now)
		}
	}
}

// median returns the median of the means of servers with enough samples, 0 if there are none.
func (g *Group) median(estimators []*Estimator, of func(*Estimator) mean) float64 {
	g.values = g.values[:0]
	for _, e := range estimators {
		if m := of(e); m.weight >= minMedianWeight {
			g.values = append(g.values, m.value())
		}
	}
	n := len(g.values)
	if n == 0 {
		return 0
	}
	slices.Sort(g.values)
	return (g.values[(n-1)/2] + g.values[n/2]) / 2
}

// update sets the paces in use. A server of which little is known is assumed to be as fast as the median.
func (e *Estimator) update(median float64, levelMedians [LoadLevels]float64) {
	deviation := e.all.value() - median
	prior := priorWeight
	if e.steps[0] != 0 {
		prior = knownPriorWeight
	}
	estimate := deviation * e.all.weight / (e.all.weight + prior)
	for level, m := range e.levels {
		excess := m.value() - levelMedians[level] - deviation
		estimateAtLevel := estimate + excess*m.weight/(m.weight+levelPriorWeight)
		hysteresis := stepHysteresis
		if e.steps[level] == 0 {
			hysteresis = medianHysteresis
		}
		if math.Abs(estimateAtLevel-float64(e.steps[level])*stepSize) > hysteresis {
			e.steps[level] = int8(math.Round(min(max(estimateAtLevel, math.Log(Min)), math.Log(Max)) / stepSize))
		}
		e.paces[level] = min(max(math.Exp(float64(e.steps[level])*stepSize), Min), Max)
	}
}
