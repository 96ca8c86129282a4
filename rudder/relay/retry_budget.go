package relay

import (
	"time"

	"chestnutrudder.example/rudder/limit"
)

// SetNodeCount sets the number of nodes that share the retry budgets; values below 1 count as 1.
func (s *Server) SetNodeCount(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.retryBudgets {
		b.SetBurst(s.RetryRate.Burst / float64(max(n, 1)))
	}
	s.nodeCount = max(n, 1)
}

// retryBudget returns the retry budget of a service. The caller must hold s.mu.
func (s *Server) retryBudget(service string) *limit.RetryBudget {
	if s.retryBudgets == nil {
		s.retryBudgets = map[string]*limit.RetryBudget{}
	}
	b, found := s.retryBudgets[service]
	if !found {
		rate := s.RetryRate
		rate.Burst /= float64(max(s.nodeCount, 1))
		b = limit.NewRetryBudgetWithRate(rate, time.Now())
		s.retryBudgets[service] = b
	}
	return b
}

// recordFirstSend credits the retry budget of a service for a request that is not a retry.
func (s *Server) recordFirstSend(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryBudget(service).RecordFirstAttempt(time.Now())
}

// takeRetry deducts a retry from the budget of a service. It returns false if the budget is exhausted.
func (s *Server) takeRetry(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retryBudget(service).TakeRetry(time.Now())
}

// returnRetry credits a retry that was taken from the budget of a service and not used.
func (s *Server) returnRetry(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryBudget(service).ReturnRetry()
}

// retriesLeft returns the level of the retry budget of a service.
func (s *Server) retriesLeft(service string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retryBudget(service).Level(time.Now())
}
