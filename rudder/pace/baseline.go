package pace

import (
	"math"
	"time"
)

// Kind is a kind of measured time. Times of different kinds are not compared.
type Kind int

// The kinds of measured times.
const (
	ShortPrompt   Kind = iota // to the first byte of a generation request of which little has to be prefilled
	LongPrompt                // to the first byte of another generation request
	EventInterval             // between two events of a stream
	PlainResponse             // to the first byte of a plain request
	kindCount
)

// LongPromptTokens is the number of tokens to prefill from which on a prompt is a LongPrompt.
const LongPromptTokens = 2500

// Weights of samples. The time between events depends on the server and on the slots in use, which are known; the time to the
// first byte depends on prompts of other nodes as well, of which this node hears too late, and a faster server has more of them.
// The work of plain requests differs from request to request.
const (
	WeightEventInterval   = 1.0
	WeightPrompt          = 0.1
	WeightContendedPrompt = 0.02
	WeightPlainResponse   = 0.1
)

const (
	// baselineSamples is the number of samples after which a baseline is used.
	baselineSamples = 4
	// firstBaselineStep is the step of the second sample, divided by the number of samples until it is baselineStep.
	firstBaselineStep = 1.0
	baselineStep      = 0.03
)

// baseline follows the median of the samples of all servers, with their paces taken out. The median, and not the mean, since a
// few slow servers must not move it.
type baseline struct {
	value   float64 // log of a ratio
	samples int
}

func (b *baseline) observe(sample float64) {
	b.samples++
	if b.samples == 1 {
		b.value = sample
		return
	}
	distance := sample - b.value
	step := max(firstBaselineStep/float64(b.samples), baselineStep)
	b.value += math.Copysign(min(step, math.Abs(distance)), distance)
}

// Sample is a measured time of a request.
type Sample struct {
	Kind   Kind
	Level  int     // load of the server, see Level
	Ratio  float64 // of the time to that expected from the median server; to any constant where nothing can be expected
	Pace   float64 // of the server, that was in use for the request
	Weight float64
}

// Observe adds a sample of a server of the service to what is known of the server and of the service.
func (g *Group) Observe(e *Estimator, s Sample, now time.Time) {
	if !(s.Ratio > 0) || math.IsInf(s.Ratio, 0) {
		return
	}
	b := &g.baselines[s.Kind][s.Level]
	ratio := math.Log(s.Ratio)
	if b.samples >= baselineSamples {
		residual := min(max(ratio-b.value, -maxResidual), maxResidual)
		e.observe(s.Level, s.Weight, residual, now)
	}
	b.observe(ratio - math.Log(s.Pace))
}
