package pace

import (
	"math"
	"slices"
	"time"
)

const (
	// minUpdateInterval is the shortest pause between two updates of the paces in use, updateIntervalPerServer its part for each
	// server: an update takes some microseconds for each server.
	minUpdateInterval       = 500 * time.Millisecond
	updateIntervalPerServer = 2 * time.Millisecond
	// minMedianWeight is the weight of samples from which on a server counts for the median of its service, minCellWeight that of
	// its samples of one kind and load level from which on it counts for what is usual there.
	minMedianWeight = 4.0
	minCellWeight   = 0.5
	// minCellServers and minCellShare are the number and the share of the known servers whose samples tell what is usual.
	minCellServers = 2
	minCellShare   = 0.25
)

// usual is the log of the ratio that is usual for one kind of time and load level: that of the median server.
type usual struct {
	value   float64
	isKnown bool
}

// Group holds what is known of all servers of a service together. The zero value is a service of which nothing is known. It is
// not safe for concurrent use.
//
// A sample is taken as the sum (of logs) of what is usual for its kind and load level, the deviation of its server, and noise.
// Update finds what is usual as the median over the servers, which a few slow ones do not move, and the deviations as means.
type Group struct {
	usual     cells[usual]
	updatedAt time.Time
	reference float64   // see Reference; 0 before the first update
	servers   int       // at the latest update
	values    []float64 // scratch space for medians
}

// Reference returns the pace that a quarter of the servers do not exceed. It is that of fast servers, but not of a single one.
func (g *Group) Reference() float64 {
	if g.reference == 0 {
		return 1
	}
	return g.reference
}

// Observe adds a sample of this node to what is known of a server.
func (g *Group) Observe(e *Estimator, s Sample) {
	if !(s.Ratio > 0) || math.IsInf(s.Ratio, 0) {
		return
	}
	value := g.add(e, s.Kind, s.Level, s.Weight, math.Log(s.Ratio))
	e.unsent[s.Kind][s.Level].add(s.Weight, value)
}

// add adds samples of this node or of a peer, and returns their bounded value.
func (g *Group) add(e *Estimator, kind Kind, level int, weight, value float64) float64 {
	value = min(max(value, -maxLog), maxLog)
	if u := g.usual[kind][level]; u.isKnown {
		value = min(max(value, u.value-maxDeviation), u.value+maxDeviation)
		e.news.add(weight, value-u.value)
	}
	e.samples[kind][level].add(weight, value)
	return value
}

// IsUpdateDue reports whether Update should be called.
func (g *Group) IsUpdateDue(now time.Time) bool {
	return now.Sub(g.updatedAt) >= max(minUpdateInterval, time.Duration(g.servers)*updateIntervalPerServer)
}

// Update sets the paces in use of the servers of the service: relative to their median, so that a slow-down of all servers
// makes none of them slow. changed is called for each server whose pace at the lowest load level has changed.
func (g *Group) Update(estimators []*Estimator, now time.Time, changed func(i int, previous float64)) {
	g.updatedAt, g.servers = now, len(estimators)
	for _, e := range estimators {
		e.decay(now)
	}
	g.updateUsual(estimators)
	g.detectChanges(estimators, now)
	g.updateDeviations(estimators)
	g.values = g.values[:0]
	for i, e := range estimators {
		previous := e.Pace(0)
		e.updatePaces(g)
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

// updateUsual finds what is usual for each kind and load level, with the deviations of the servers taken out.
func (g *Group) updateUsual(estimators []*Estimator) {
	known := 0
	for _, e := range estimators {
		if e.weight >= minMedianWeight {
			known++
		}
	}
	for kind := range g.usual {
		for level := range g.usual[kind] {
			g.values = g.values[:0]
			for _, e := range estimators {
				if m := e.samples[kind][level]; m.weight >= minCellWeight {
					g.values = append(g.values, m.value()-e.deviation)
				}
			}
			servers := len(g.values)
			isKnown := servers >= minCellServers && float64(servers) >= minCellShare*float64(known)
			g.usual[kind][level] = usual{value: g.takeMedian(), isKnown: isKnown}
		}
	}
}

// detectChanges makes servers whose pace has changed suddenly forget older samples. A change of all servers is none: it reaches
// their estimates at different times.
func (g *Group) detectChanges(estimators []*Estimator, now time.Time) {
	g.values = g.values[:0]
	for _, e := range estimators {
		if e.news.weight >= minMedianWeight {
			g.values = append(g.values, e.change())
		}
	}
	common := g.takeMedian()
	for _, e := range estimators {
		if e.news.weight >= minNewsWeight && math.Abs(e.change()-common) >= newsDeviation {
			e.replaceByNews(now)
		}
	}
}

// updateDeviations sets the deviations of the servers such that their median is 0.
func (g *Group) updateDeviations(estimators []*Estimator) {
	g.values = g.values[:0]
	for _, e := range estimators {
		var deviation mean
		for level := range LoadLevels {
			m := e.atLevel(g, level)
			deviation.add(m.weight, m.value())
		}
		// What a peer told stands for samples that this node lacks, and may be based on some that it has.
		deviation.add(max(e.told.weight-deviation.weight, 0), e.told.value())
		e.weight, e.deviation = deviation.weight, deviation.value()
		if e.weight >= minMedianWeight {
			g.values = append(g.values, e.deviation)
		}
	}
	median := g.takeMedian()
	for _, e := range estimators {
		if e.weight > 0 {
			e.deviation -= median
		}
	}
}

// takeMedian sorts the scratch space and returns its median, 0 if it is empty.
func (g *Group) takeMedian() float64 {
	n := len(g.values)
	if n == 0 {
		return 0
	}
	slices.Sort(g.values)
	return (g.values[(n-1)/2] + g.values[n/2]) / 2
}

// atLevel returns the deviation of the samples of all kinds at a load level from what is usual.
func (e *Estimator) atLevel(g *Group, level int) mean {
	var deviation mean
	for kind := range e.samples {
		if u := g.usual[kind][level]; u.isKnown {
			m := e.samples[kind][level]
			deviation.add(m.weight, m.value()-u.value)
		}
	}
	return deviation
}

// updatePaces sets the paces in use. A server of which little is known is assumed to be as fast as the median.
func (e *Estimator) updatePaces(g *Group) {
	prior := priorWeight
	if e.steps[0] != 0 {
		prior = knownPriorWeight
	}
	estimate := e.deviation * e.weight / (e.weight + prior)
	for level := range LoadLevels {
		m := e.atLevel(g, level)
		atLevel := estimate + (m.value()-e.deviation)*m.weight/(m.weight+levelPriorWeight)
		hysteresis := stepHysteresis
		if e.steps[level] == 0 {
			hysteresis = medianHysteresis
		}
		if math.Abs(atLevel-float64(e.steps[level])*stepSize) > hysteresis {
			e.steps[level] = int8(math.Round(min(max(atLevel, math.Log(Min)), math.Log(Max)) / stepSize))
		}
		e.paces[level] = min(max(math.Exp(float64(e.steps[level])*stepSize), Min), Max)
	}
}
