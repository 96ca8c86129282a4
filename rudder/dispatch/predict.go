package dispatch

import (
	"math"
	"sort"
	"time"

	"chestnutrudder.example/rudder/limit"
)

// forecast is a prediction for a request that is not placed yet.
type forecast struct {
	wait  time.Duration // for a slot
	first time.Duration // from placement to the first token
	idle  time.Duration // to the first token on an idle runner
}

// predict forecasts the first token of a ticket that would join the queue now.
func (s *scheduler) predict(t *ticket, now time.Time) forecast {
	first, idle := math.Inf(1), math.Inf(1)
	free := 0
	for _, b := range s.backends {
		if b.Engine == nil || b.loadAt.IsZero() {
			continue
		}
		c := b.candidate(t.blocks, s.betweenTokens(), now)
		free += c.free
		first = min(first, firstToken(c, t.tokens))
		c.backlog, c.reportAge = 0, 0
		c.stepMillis = b.steps.millis(1)
		idle = min(idle, firstToken(c, t.tokens))
	}
	if math.IsInf(first, 1) {
		return forecast{}
	}
	return forecast{
		wait:  s.slotWait(t.item, free, now),
		first: time.Duration(first * float64(time.Millisecond)),
		idle:  time.Duration(idle * float64(time.Millisecond)),
	}
}

// slotWait predicts when a slot is free for an item: when as many runs have ended as requests go before it. Beyond that
// the tokens ahead are divided by the rate at which all slots make tokens.
func (s *scheduler) slotWait(i *limit.Item, free int, now time.Time) time.Duration {
	count, tokens := s.queue.Ahead(i)
	if i.Class == limit.ClassLong {
		free = min(free, max(0, s.roomForLong(now)))
	}
	if count < free {
		return 0
	}
	remaining, rate := s.remaining()
	if at := count - free; at < len(remaining) {
		return remaining[at]
	}
	wait := time.Duration(0)
	if len(remaining) > 0 {
		wait = remaining[len(remaining)-1]
	}
	if rate <= 0 {
		return wait
	}
	return wait + time.Duration(float64(tokens)/rate*float64(time.Second))
}

// remaining returns when the runs in progress end, the earliest first, and the decode rate of all runners in tokens per
// second.
func (s *scheduler) remaining() (ends []time.Duration, rate float64) {
	for _, b := range s.backends {
		running := len(b.tickets) + b.foreign
		step := b.steps.millis(max(1, running))
		if step <= 0 {
			continue
		}
		rate += float64(b.slots(s.betweenTokens())) / step * 1000
		for t := range b.tickets {
			left := s.answers.expected(t.item.Class, int(t.request.MaxTokens)-t.length())
			ends = append(ends, time.Duration(left*step*float64(time.Millisecond)))
		}
	}
	sort.Slice(ends, func(i, j int) bool { return ends[i] < ends[j] })
	return ends, rate
}

// answerLengths learns for each class how much of the allowed length answers take.
type answerLengths map[limit.Class]float64

// answerWeight is the weight of one answer in the moving average.
const answerWeight = 0.05

// expected returns the expected number of tokens of those that are allowed.
func (a answerLengths) expected(class limit.Class, allowed int) float64 {
	part, found := a[class]
	if !found {
		part = 1
	}
	return part * float64(max(0, allowed))
}

// learn takes the length of a whole answer.
func (a answerLengths) learn(class limit.Class, length, allowed int) {
	if allowed <= 0 {
		return
	}
	part := float64(length) / float64(allowed)
	if before, found := a[class]; found {
		part = before + answerWeight*(part-before)
	}
	a[class] = part
}

// length returns the tokens of the answer so far.
func (t *ticket) length() int {
	if t.run == nil {
		return len(t.request.Generated)
	}
	return t.run.length()
}
