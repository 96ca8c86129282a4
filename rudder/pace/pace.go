// Package pace estimates how fast backend servers are relative to the median server of their service, and how many requests
// they handle well, from times at each level of load. All nodes share their samples; see report.go.
package pace

import (
	"math"
	"time"
)

const (
	// LoadLevels is the number of equal parts into which the share of slots in use is divided. A server that slows down before
	// its slots are full differs from the others at high levels only.
	LoadLevels = 4
	// Min and Max bound a pace, so that a server is never excluded by it.
	Min = 0.25
	Max = 4.0

	// halfLife is the time in which the weight of samples halves. At 7 samples per second of a server from all nodes together it
	// leaves about 150 samples, while the servers of a deployment may be replaced within a minute.
	halfLife = 15 * time.Second
	// newsHalfLife is that of the samples which show a sudden change. Servers that are slow for 600 ms at a time contribute a
	// fifth to their mean at most.
	newsHalfLife = 2 * time.Second
	// minNewsWeight and newsDeviation are the weight of recent samples, and their deviation from the mean (log of a ratio)
	// relative to that of the other servers, from which on older samples count no more.
	minNewsWeight = 10.0
	newsDeviation = 0.45
	// acceptedNewsWeight is the weight of the recent samples when older ones are forgotten. Most of them may be older than the
	// change, so that later samples must outweigh them soon.
	acceptedNewsWeight = 6.0
	// priorWeight is the weight of the assumption that a server is as fast as the median one, knownPriorWeight the same for a
	// server that has been found to differ, and levelPriorWeight that of the assumption that a server is as fast at one level
	// of load as at the others.
	priorWeight      = 12.0
	knownPriorWeight = 3.0
	levelPriorWeight = 32.0
	// maxWeight bounds the weight of all samples of a server.
	maxWeight = 500.0
	// maxDeviation bounds the deviation of one sample from the usual (log of a ratio): single requests wait for others that this
	// node does not know of. maxLog bounds the log of a ratio of which nothing is known.
	maxDeviation = 1.6
	maxLog       = 14.0
)

var (
	// stepSize is the ratio of successive paces in use (log). Estimates near the median count as the median, so that alike servers
	// are chosen as if nothing was known.
	stepSize = math.Log(1.3)
	// stepHysteresis is the distance from a step (log) from which on another one is used, medianHysteresis that from the median:
	// a fifth.
	stepHysteresis   = 0.6 * stepSize
	medianHysteresis = 0.8 * stepSize
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

// Sample is a measured time of a request.
type Sample struct {
	Kind   Kind
	Level  int     // load of the server, see Level
	Ratio  float64 // of the time to that expected from the median server; to any constant where nothing can be expected
	Weight float64
}

// mean is a weighted mean of logs of ratios.
type mean struct{ weight, total float64 }

func (m *mean) add(weight, value float64) {
	m.weight += weight
	m.total += weight * value
}

func (m *mean) scale(factor float64) {
	m.weight *= factor
	m.total *= factor
}

// value returns the mean, 0 without samples.
func (m mean) value() float64 {
	if m.weight == 0 {
		return 0
	}
	return m.total / m.weight
}

// cells holds one value for each kind and load level.
type cells[T any] [kindCount][LoadLevels]T

// Estimator holds what is known of the pace of one server. The zero value is a server of which nothing is known. It is not safe
// for concurrent use.
type Estimator struct {
	samples    cells[mean]
	told       mean // deviation that a peer told, see Group.Merge
	news       mean // deviations of recent samples, with newsHalfLife
	unsent     cells[mean]
	weight     float64 // of samples and told at the last update
	deviation  float64 // log of the time relative to the median server at the last update
	decayedAt  time.Time
	replacedAt time.Time           // when older samples were last forgotten because the pace had changed
	steps      [LoadLevels]int8    // paces in use, as powers of the step
	paces      [LoadLevels]float64 // 0 before the first update
}

// Level returns the load level of a server with the given numbers of requests and slots.
func Level(running, slots int) int {
	return min(max(running, 0)*LoadLevels/max(slots, 1), LoadLevels-1)
}

// Pace returns how many times longer than the median server of the service the server takes at a load level, between Min and
// Max. It changes in steps, and only when Group.Update is called.
func (e *Estimator) Pace(level int) float64 {
	if p := e.paces[level]; p != 0 {
		return p
	}
	return 1
}

// Weight returns the weight of all that is known at the last update.
func (e *Estimator) Weight() float64 { return e.weight }

// comfortStep is the number of steps by which the pace at a load level exceeds that at the lowest level when the server no
// longer handles so many requests well: 1.7 times.
const comfortStep = 2

// ComfortableSlots returns the number of requests that the server handles well, at least a quarter of its slots.
func (e *Estimator) ComfortableSlots(slots int) int {
	for level := 1; level < LoadLevels; level++ {
		if e.steps[level]-e.steps[0] >= comfortStep {
			return max(slots*level/LoadLevels, 1)
		}
	}
	return slots
}

// change returns the deviation of the recent samples from all samples.
func (e *Estimator) change() float64 { return e.news.value() - e.deviation }

// replaceByNews forgets all samples but the recent ones. The differences between load levels are kept.
func (e *Estimator) replaceByNews(now time.Time) {
	e.replacedAt = now
	change, factor := e.change(), acceptedNewsWeight/max(e.weight, acceptedNewsWeight)
	e.eachMean(func(m *mean) {
		m.total += m.weight * change
		m.scale(factor)
	})
}

// decay reduces the weight of the samples by their age.
func (e *Estimator) decay(now time.Time) {
	elapsed, isFirst := now.Sub(e.decayedAt), e.decayedAt.IsZero()
	if elapsed <= 0 {
		return
	}
	e.decayedAt = now
	if isFirst {
		return // the samples have no age yet
	}
	factor := math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
	if e.weight > maxWeight {
		factor *= maxWeight / e.weight
	}
	e.eachMean(func(m *mean) { m.scale(factor) })
	e.news.scale(math.Exp2(-elapsed.Seconds() / newsHalfLife.Seconds()))
}

// eachMean applies a function to all means that have halfLife.
func (e *Estimator) eachMean(apply func(*mean)) {
	for kind := range e.samples {
		for level := range e.samples[kind] {
			apply(&e.samples[kind][level])
		}
	}
	apply(&e.told)
}
