package pace

import (
	"math"
	"time"
)

// Report is what a node tells its peers of the paces of servers: the samples that it took since its last report, which peers
// add to theirs, and for some servers all that it knows, which peers take over that know less.
type Report struct {
	_        struct{} `cbor:",toarray"`
	Sequence uint64   // of the reports of this start of the node; a report that arrives twice must not be added twice
	Servers  []ServerReport
}

// ServerReport is the part of a Report on one server.
type ServerReport struct {
	_      struct{} `cbor:",toarray"`
	Server uint64   // identifies the server's process
	// Samples holds three numbers for each load level with samples: the level, the weight in parts of weightUnit, and the mean of
	// the log of the ratios in parts of logUnit.
	Samples []int
	// KnownWeight and KnownMean are those of all samples that the node knows, in the same units; 0 if they are not told.
	KnownWeight, KnownMean int
}

const (
	weightUnit = 0.1
	logUnit    = 0.01
	// maxReportedWeight bounds the weight of the samples of one server in a report.
	maxReportedWeight = 200.0
	sampleFields      = 3
	// changeRetention is how long after a sudden change of a server nothing is taken over from peers.
	changeRetention = 2 * halfLife
)

// UnsentWeight returns the weight of the samples that peers have not been told.
func (e *Estimator) UnsentWeight() float64 {
	sum := 0.0
	for _, m := range e.unsent {
		sum += m.weight
	}
	return sum
}

// TakeReport returns the report on a server and marks its samples as told.
func (e *Estimator) TakeReport(server uint64, withKnown bool, now time.Time) ServerReport {
	r := ServerReport{Server: server}
	for level, m := range e.unsent {
		if weight := inUnits(m.weight, weightUnit); weight > 0 {
			r.Samples = append(r.Samples, level, weight, inUnits(m.value(), logUnit))
		}
	}
	e.unsent = [LoadLevels]mean{}
	if withKnown {
		e.decay(now)
		r.KnownWeight, r.KnownMean = inUnits(e.all.weight, weightUnit), inUnits(e.all.value(), logUnit)
	}
	return r
}

func inUnits(value, unit float64) int { return int(math.Round(value / unit)) }

// Merge adds a report of a peer. It ignores samples whose numbers are impossible.
func (e *Estimator) Merge(r ServerReport, now time.Time) {
	for samples := r.Samples; len(samples) >= sampleFields; samples = samples[sampleFields:] {
		level, weight, residual := samples[0], float64(samples[1])*weightUnit, float64(samples[2])*logUnit
		if level >= 0 && level < LoadLevels && weight > 0 && math.Abs(residual) <= maxResidual {
			e.add(level, min(weight, maxReportedWeight), residual, now)
		}
	}
	known, value := min(float64(r.KnownWeight)*weightUnit, maxWeight), float64(r.KnownMean)*logUnit
	e.decay(now)
	hasChanged := !e.replacedAt.IsZero() && now.Sub(e.replacedAt) < changeRetention // which the peer may not have found yet
	if !hasChanged && known > 2*max(e.all.weight, minMedianWeight) && math.Abs(value) <= maxResidual {
		e.adopt(mean{weight: known, total: known * value})
	}
}

// adopt replaces what is known by what a peer knows, which is much more.
func (e *Estimator) adopt(known mean) {
	change := known.value() - e.all.value()
	for i := range e.levels {
		e.levels[i].total += e.levels[i].weight * change
	}
	e.all = known
}
