package relay

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutrudder.example/rudder/backend"
	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/rollout"
)

// VersionObserver counts the requests at the software versions of services.
type VersionObserver interface {
	// CountArrival counts a request for a service.
	CountArrival(service string)
	// CountSend counts a request that is about to be sent to a server, and CountEnd how it ended there.
	CountSend(service, version, route string)
	CountEnd(service, version, route string, r rollout.Result)
}

// minPredictedTime is the least predicted time that the time of a response is related to. Below it, the delays of this process
// count for more than those of the server.
const minPredictedTime = 10 * time.Millisecond

func (a *attempt) countSend() {
	if v := a.server.Versions; v != nil {
		v.CountSend(a.call.service, a.placement.SoftwareVersion, a.call.route.Name)
	}
}

// countEnd counts what the end of the attempt shows of the server's software version.
func (a *attempt) countEnd(r attemptResult) {
	v := a.server.Versions
	if v == nil || !r.isSent {
		return
	}
	if result, isConclusive := a.versionResult(r, boottime.Now()); isConclusive {
		v.CountEnd(a.call.service, a.placement.SoftwareVersion, a.call.route.Name, result)
	}
}

// assumedPrefillTime returns the time for the prompt tokens that are only assumed to be cached at the server. New servers do not
// have them cached yet, which is no fault of their version.
func (a *attempt) assumedPrefillTime() time.Duration {
	if a.placement.AssumedTokens <= 0 {
		return 0
	}
	return time.Duration(float64(a.placement.AssumedTokens) / a.server.Backends.PrefillRate(a.call.service) * float64(time.Millisecond))
}

// versionResult returns what the end of the attempt shows. It is not conclusive if the server refused the request, it leaves, or
// the caller left before the response was late.
func (a *attempt) versionResult(r attemptResult, now boottime.Instant) (rollout.Result, bool) {
	result := rollout.Result{Server: xxhash.Sum64String(a.placement.ID)}
	// The prediction for the median server: that for this one has learnt how slow it is, which may be the fault of its version.
	predicted := max(a.placement.MedianFirstByte()+a.assumedPrefillTime(), minPredictedTime)
	switch r.backendResult {
	case backend.ResultServerFailure:
		result.IsFailed = true
		return result, true
	case backend.ResultConnectionFailure:
		result.IsFailed = true
		return result, !a.placement.IsLeaving()
	case backend.ResultCompleted:
		respondedAt := now
		if a.firstEventAt > 0 {
			respondedAt = a.firstEventAt
			result.StreamTime = now.Sub(a.firstEventAt)
		}
		result.Ratio = respondedAt.Sub(a.sentAt).Seconds() / predicted.Seconds()
		return result, true
	case backend.ResultInconclusive:
		// A server that hangs lets deadlines pass.
		result.Ratio = now.Sub(a.sentAt).Seconds() / predicted.Seconds()
		return result, a.headAt == 0 && result.Ratio > rollout.SlowRatio && !a.placement.IsLeaving()
	}
	return rollout.Result{}, false
}
