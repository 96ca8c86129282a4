package limit

import "time"

const (
	// retryFraction is the number of retries allowed for each fresh request.
	retryFraction = 0.2
	// retryBurst and retryPerSecond let a dispatcher with few fresh requests take retries that others refused.
	retryBurst     = 10.0
	retryPerSecond = 2.0
)

// RetryBudget bounds attempts that follow a refusal to a fraction of fresh requests, so that refusals under overload do
// not multiply the load. It is a token bucket that fresh requests fill. It is not safe for concurrent use.
type RetryBudget struct {
	rate       RetryRate
	tokens     float64
	refilledAt time.Time
}

// RetryRate says how a budget fills.
type RetryRate struct {
	Fraction  float64 // retries for each fresh request
	Burst     float64 // retries saved at most
	PerSecond float64 // retries that do not depend on fresh requests
}

// NewRetryBudget returns a full budget.
func NewRetryBudget(now time.Time) *RetryBudget {
	return NewRetryBudgetWithRate(RetryRate{Fraction: retryFraction, Burst: retryBurst, PerSecond: retryPerSecond}, now)
}

// NewRetryBudgetWithRate returns a full budget that fills at the given rate.
func NewRetryBudgetWithRate(rate RetryRate, now time.Time) *RetryBudget {
	return &RetryBudget{rate: rate, tokens: rate.Burst, refilledAt: now}
}

// SetBurst changes what is saved at most. A node's part of a burst that all nodes share changes with their number.
func (b *RetryBudget) SetBurst(burst float64) {
	b.rate.Burst = burst
	b.tokens = min(b.tokens, burst)
}

func (b *RetryBudget) refill(now time.Time) {
	b.tokens = min(b.rate.Burst, b.tokens+max(0, now.Sub(b.refilledAt).Seconds())*b.rate.PerSecond)
	b.refilledAt = now
}

// RecordFirstAttempt counts a first attempt.
func (b *RetryBudget) RecordFirstAttempt(now time.Time) {
	b.refill(now)
	b.tokens = min(b.rate.Burst, b.tokens+b.rate.Fraction)
}

// TakeRetry takes one retry and reports whether the budget allows it.
func (b *RetryBudget) TakeRetry(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
