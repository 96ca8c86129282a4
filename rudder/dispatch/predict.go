package dispatch

import (
	"math"
	"sort"
	"time"

	"chestnutrudder.example/rudder/limit"
)

// forecast is the predicted timing of a request that is not placed yet.
type forecast struct {
	slotWait       time.Duration // until a slot is free
	firstToken     time.Duration // from placement to the first token
	idleFirstToken time.Duration // from placement to the first token on an idle runner
}

// predict returns the forecast for a task if it were queued now, the zero forecast if no runner has reported its load.
func (s *scheduler) predict(t *task, now time.Time) forecast {
	firstTokenMillis, idleMillis := math.Inf(1), math.Inf(1)
	freeSlots := 0
	for _, b := range s.backends {
		if b.Engine == nil || b.loadRequestedAt.IsZero() {
			continue
		}
		c := b.candidate(t.blocks, s.betweenTokens(), now)
		freeSlots += c.freeSlots
		firstTokenMillis = min(firstTokenMillis, predictFirstTokenMillis(c, t.tokenCount))
		c.prefillBacklog, c.reportAge = 0, 0
		c.decodeStepMillis = b.decodeSteps.predictMillis(1)
		idleMillis = min(idleMillis, predictFirstTokenMillis(c, t.tokenCount))
	}
	if math.IsInf(firstTokenMillis, 1) {
		return forecast{}
	}
	return forecast{
		slotWait:       s.slotWait(t.item, freeSlots, now),
		firstToken:     time.Duration(firstTokenMillis * float64(time.Millisecond)),
		idleFirstToken: time.Duration(idleMillis * float64(time.Millisecond)),
	}
}

// slotWait predicts when a slot is free for an item: when as many runs have ended as requests are ahead of it. If the runs
// in progress are fewer, the tokens ahead are divided by the decode rate of all slots.
func (s *scheduler) slotWait(item *limit.Item, freeSlots int, now time.Time) time.Duration {
	requestsAhead, tokensAhead := s.queue.Ahead(item)
	if item.Class == limit.ClassLong {
		freeSlots = min(freeSlots, max(0, s.freeSlotsForLong(now)))
	}
	if requestsAhead < freeSlots {
		return 0
	}
	remaining, rate := s.remainingTimes()
	if position := requestsAhead - freeSlots; position < len(remaining) {
		return remaining[position]
	}
	wait := time.Duration(0)
	if len(remaining) > 0 {
		wait = remaining[len(remaining)-1]
	}
	if rate <= 0 {
		return wait
	}
	return wait + time.Duration(float64(tokensAhead)/rate*float64(time.Second))
}

// remainingTimes returns the predicted times until the runs in progress end, in ascending order, and the decode rate of all
// runners in tokens per second.
func (s *scheduler) remainingTimes() (remaining []time.Duration, rate float64) {
	for _, b := range s.backends {
		batch := len(b.tasks) + b.foreignRuns
		stepMillis := b.decodeSteps.predictMillis(max(1, batch))
		if stepMillis <= 0 {
			continue
		}
		rate += float64(b.maxRuns(s.betweenTokens())) / stepMillis * 1000
		for t := range b.tasks {
			remainingTokens := s.answerLengths.expectedTokens(t.item.Class, int(t.request.MaxTokens)-t.answerLength())
			remaining = append(remaining, time.Duration(remainingTokens*stepMillis*float64(time.Millisecond)))
		}
	}
	sort.Slice(remaining, func(i, j int) bool { return remaining[i] < remaining[j] })
	return remaining, rate
}

// answerLengthRatios is the moving average of the ratio of answer length to allowed length, by class.
type answerLengthRatios map[limit.Class]float64

// answerRatioWeight is the weight of one answer in the moving average.
const answerRatioWeight = 0.05

// expectedTokens returns how many of the allowed tokens an answer is expected to have.
func (a answerLengthRatios) expectedTokens(class limit.Class, allowed int) float64 {
	ratio, found := a[class]
	if !found {
		ratio = 1
	}
	return ratio * float64(max(0, allowed))
}

// observe adds the length of a complete answer to the average.
func (a answerLengthRatios) observe(class limit.Class, length, allowed int) {
	if allowed <= 0 {
		return
	}
	ratio := float64(length) / float64(allowed)
	if previous, found := a[class]; found {
		ratio = previous + answerRatioWeight*(ratio-previous)
	}
	a[class] = ratio
}

// answerLength returns the number of tokens of the answer so far.
func (t *task) answerLength() int {
	if t.run == nil {
		return len(t.request.Generated)
	}
	return t.run.answerLength()
}
