package limit

import "time"

// FirstTokenLimit returns how long a request may take to its first token: its deadline, or, for a prompt that an idle backend
// server cannot prefill within the deadline, that time plus a wait of one deadline. Otherwise such a request would be refused
// for ever.
func FirstTokenLimit(deadline, idleFirstToken time.Duration) time.Duration {
	if idleFirstToken > deadline {
		return idleFirstToken + deadline
	}
	return deadline
}

// MeetsDeadline reports whether a request with a predicted first token is admitted; 0 means no deadline.
func MeetsDeadline(predicted, deadline, idleFirstToken time.Duration) bool {
	return deadline <= 0 || predicted <= FirstTokenLimit(deadline, idleFirstToken)
}

// DispatcherLimit returns the part of an organisation's maxInProgress that a dispatcher admits by itself: in proportion to its
// runners of the deployment, rounded up, so that the sum over all dispatchers exceeds the limit by less than their number.
// 0 means no limit.
func DispatcherLimit(maxInProgress, ownRunners, allRunners int) int {
	if maxInProgress <= 0 || allRunners <= 0 {
		return maxInProgress
	}
	ownRunners = min(ownRunners, allRunners)
	return max(1, (maxInProgress*ownRunners+allRunners-1)/allRunners)
}
