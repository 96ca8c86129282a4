package limit

import "time"

// FirstTokenLimit returns the longest permitted time to the first token. It is the deadline, unless an idle backend server
// takes longer (idleFirstToken) for the prompt: then it is that time plus one deadline for waiting, since the request would
// otherwise always be refused.
func FirstTokenLimit(deadline, idleFirstToken time.Duration) time.Duration {
	if idleFirstToken > deadline {
		return idleFirstToken + deadline
	}
	return deadline
}

// MeetsDeadline reports whether the predicted time to the first token is within FirstTokenLimit. A deadline of 0 means none.
func MeetsDeadline(predicted, deadline, idleFirstToken time.Duration) bool {
	return deadline <= 0 || predicted <= FirstTokenLimit(deadline, idleFirstToken)
}

// DispatcherLimit returns the part of an organisation's maxInProgress that one dispatcher admits: in proportion to its share
// of the deployment's runners, rounded up, so that the sum over all dispatchers exceeds the limit by less than their number.
// 0 means no limit.
func DispatcherLimit(maxInProgress, ownRunners, allRunners int) int {
	if maxInProgress <= 0 || allRunners <= 0 {
		return maxInProgress
	}
	ownRunners = min(ownRunners, allRunners)
	return max(1, (maxInProgress*ownRunners+allRunners-1)/allRunners)
}
