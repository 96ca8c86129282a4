package limit

import "time"

const (
	// retryFraction is the number of retries allowed per first attempt.
	retryFraction = 0.2
	// retryBurst and retryPerSecond let a dispatcher with few first attempts accept retries that other dispatchers refused.
	retryBurst     = 10.0
	retryPerSecond = 2.0
)

// RetryBudget limits retries after a refusal to a fraction of the first attempts, so that refusals under overload do not
// multiply the load. It is a token bucket that first attempts and time refill. It is not safe for concurrent use.
type RetryBudget struct {
	rate       RetryRate
	tokens     float64
	refilledAt time.Time
}

// RetryRate sets how a retry budget refills.
type RetryRate struct {
	Fraction  float64 // retries per first attempt
	Burst     float64 // capacity of the bucket, in retries
	PerSecond float64 // retries per second, independent of first attempts
}

// NewRetryBudget returns a full budget with the default rate.
func NewRetryBudget(now time.Time) *RetryBudget {
	return NewRetryBudgetWithRate(RetryRate{Fraction: retryFraction, Burst: retryBurst, PerSecond: retryPerSecond}, now)
}

// NewRetryBudgetWithRate returns a full budget that refills at the given rate.
func NewRetryBudgetWithRate(rate RetryRate, now time.Time) *RetryBudget {
	return &RetryBudget{rate: rate, tokens: rate.Burst, refilledAt: now}
}

// SetBurst changes the capacity of the bucket, in retries. Where all nodes share a burst, the part of each node changes with
// their number.
func (b *RetryBudget) SetBurst(burst float64) {
	b.rate.Burst = burst
	b.tokens = min(b.tokens, burst)
}

func (b *RetryBudget) refill(now time.Time) {
	b.tokens = min(b.rate.Burst, b.tokens+max(0, now.Sub(b.refilledAt).Seconds())*b.rate.PerSecond)
	b.refilledAt = now
}

// Level returns the number of retries that the budget allows at present.
func (b *RetryBudget) Level(now time.Time) float64 {
	b.refill(now)
	return b.tokens
}

// RecordFirstAttempt adds the retries that one first attempt allows.
func (b *RetryBudget) RecordFirstAttempt(now time.Time) {
	b.refill(now)
	b.tokens = min(b.rate.Burst, b.tokens+b.rate.Fraction)
}

// TakeRetry reports whether the budget allows a retry, and if so takes it from the budget.
func (b *RetryBudget) TakeRetry(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// ReturnRetry gives back a retry that was taken and not used.
func (b *RetryBudget) ReturnRetry() { b.tokens = min(b.rate.Burst, b.tokens+1) }
