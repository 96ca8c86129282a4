package pace

import (
	"math"
	"time"
)

// Report is what a node tells its peers of the paces of servers: the samples that it took since its last report, which peers
// add to theirs, and for some servers the estimate from all samples, which peers take over that know less.
type Report struct {
	_        struct{} `cbor:",toarray"`
	Sequence uint64   // of the reports of this start of the node; a report that arrives twice must not be added twice
	Servers  []ServerReport
}

// ServerReport is the part of a Report on one server.
type ServerReport struct {
	_      struct{} `cbor:",toarray"`
	Server uint64   // identifies the server's process
	// Samples holds three numbers for each kind and load level with samples: kind * LoadLevels + level, the weight in parts of
	// weightUnit, and the mean of the logs of the ratios in parts of logUnit.
	Samples []int
	// Weight and Deviation are those of the estimate from all samples, in the same units; 0 if they are not told.
	Weight, Deviation int
}

const (
	weightUnit = 0.1
	logUnit    = 0.01
	// maxReportedWeight bounds the weight of the samples of one kind and load level of a server in a report.
	maxReportedWeight = 200.0
	sampleFields      = 3
	// changeRetention is how long after a sudden change of a server no estimate is taken over from peers, which may not have
	// found the change yet.
	changeRetention = 2 * halfLife
)

// UnsentWeight returns the weight of the samples that peers have not been told.
func (e *Estimator) UnsentWeight() float64 {
	sum := 0.0
	for _, levels := range e.unsent {
		for _, m := range levels {
			sum += m.weight
		}
	}
	return sum
}

// TakeReport returns the report on a server and marks its samples as told. Samples of less than half a weightUnit stay for a
// later report.
func (e *Estimator) TakeReport(server uint64, withEstimate bool) ServerReport {
	r := ServerReport{Server: server}
	for kind := range e.unsent {
		for level := range e.unsent[kind] {
			m := &e.unsent[kind][level]
			if weight := inUnits(m.weight, weightUnit); weight > 0 {
				r.Samples = append(r.Samples, kind*LoadLevels+level, weight, inUnits(m.value(), logUnit))
				*m = mean{}
			}
		}
	}
	if withEstimate {
		r.Weight, r.Deviation = inUnits(e.weight, weightUnit), inUnits(e.deviation, logUnit)
	}
	return r
}

func inUnits(value, unit float64) int { return int(math.Round(value / unit)) }

// Merge adds the report of a peer on a server. It ignores impossible numbers.
func (g *Group) Merge(e *Estimator, r ServerReport, now time.Time) {
	for samples := r.Samples; len(samples) >= sampleFields; samples = samples[sampleFields:] {
		cell, weight, value := samples[0], float64(samples[1])*weightUnit, float64(samples[2])*logUnit
		if cell >= 0 && cell < int(kindCount)*LoadLevels && weight > 0 && math.Abs(value) <= maxLog {
			g.add(e, Kind(cell/LoadLevels), cell%LoadLevels, min(weight, maxReportedWeight), value)
		}
	}
	told := mean{weight: min(float64(r.Weight)*weightUnit, maxWeight)}
	told.total = told.weight * float64(r.Deviation) * logUnit
	hasChanged := !e.replacedAt.IsZero() && now.Sub(e.replacedAt) < changeRetention
	if !hasChanged && told.weight > 2*max(e.weight, e.told.weight, minMedianWeight) && math.Abs(told.value()) <= 2*maxDeviation {
		e.told = told
	}
}
