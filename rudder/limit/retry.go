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
	tokens float64
	at     time.Time
}

// NewRetryBudget returns a full budget.
func NewRetryBudget(now time.Time) *RetryBudget { return &RetryBudget{tokens: retryBurst, at: now} }

func (b *RetryBudget) fill(now time.Time) {
	b.tokens = min(retryBurst, b.tokens+max(0, now.Sub(b.at).Seconds())*retryPerSecond)
	b.at = now
}

// Fresh counts a first attempt.
func (b *RetryBudget) Fresh(now time.Time) {
	b.fill(now)
	b.tokens = min(retryBurst, b.tokens+retryFraction)
}

// Retry takes one retry and reports whether the budget allows it.
func (b *RetryBudget) Retry(now time.Time) bool {
	b.fill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
