package load

import (
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"chestnutrudder.example/standin/caller"
	"chestnutrudder.example/standin/engine"
	"chestnutrudder.example/standin/oracle"
	"chestnutrudder.example/standin/process"
	"chestnutrudder.example/standin/service"
)

// Latency targets of a model answer: the time to the first token, and the mean time between tokens.
const (
	TimeToFirstTokenTarget  = 680 * time.Millisecond
	TimeBetweenTokensTarget = 27 * time.Millisecond
)

// Result summarises what callers observed.
type Result struct {
	mu sync.Mutex

	RequestCount             int   // requests sent, each counted once
	AnswerCount              int   // complete model answers
	WithinTargetCount        int   // of these, answers within the latency targets
	NotRunCount              int   // requests that ended as not run
	FailedCount              int   // requests that ended without an answer in another way
	GeneratedTokens          int64 // of complete model answers
	ReportedRecomputedTokens int64 // as the system reports them
	// TimeToFirstToken and TimeBetweenTokens hold one value for each model answer, in microseconds; the latter is the mean of
	// the answer.
	TimeToFirstToken  *hdrhistogram.Histogram
	TimeBetweenTokens *hdrhistogram.Histogram
}

func newResult() *Result {
	return &Result{
		TimeToFirstToken:  hdrhistogram.New(1, time.Minute.Microseconds(), 3),
		TimeBetweenTokens: hdrhistogram.New(1, time.Minute.Microseconds(), 3),
	}
}

func (r *Result) recordRequest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.RequestCount++
}

func (r *Result) recordOutcome(outcome oracle.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch outcome {
	case oracle.Done:
	case oracle.NotRun:
		r.NotRunCount++
	default:
		r.FailedCount++
	}
}

// recordAnswer counts a complete model answer. An answer of a later attempt is not within the targets, since its caller
// also waited for the earlier attempts.
func (r *Result) recordAnswer(a caller.Answer, isFirstAttempt bool) {
	timeBetweenTokens := time.Duration(0)
	if len(a.Tokens) > 1 {
		timeBetweenTokens = (a.TimeToLastToken - a.TimeToFirstToken) / time.Duration(len(a.Tokens)-1)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.AnswerCount++
	r.GeneratedTokens += int64(len(a.Tokens))
	r.ReportedRecomputedTokens += a.Usage.RecomputedTokens
	_ = r.TimeToFirstToken.RecordValue(max(1, a.TimeToFirstToken.Microseconds()))
	_ = r.TimeBetweenTokens.RecordValue(max(1, timeBetweenTokens.Microseconds()))
	if isFirstAttempt && a.TimeToFirstToken <= TimeToFirstTokenTarget && timeBetweenTokens <= TimeBetweenTokensTarget {
		r.WithinTargetCount++
	}
}

// WithinTargetShare returns the share of complete model answers that are within the latency targets, from 0 to 1.
func (r *Result) WithinTargetShare() float64 {
	if r.AnswerCount == 0 {
		return 0
	}
	return float64(r.WithinTargetCount) / float64(r.AnswerCount)
}

// Evaluate fetches from the cloud stand-in at a base URL what its backend servers ran, and returns the oracle's verdict.
func Evaluate(o *oracle.Oracle, cloudURL string) (oracle.Verdict, error) {
	var runs []engine.RunRecord
	var effects []service.Effect
	if err := process.DoJSON(http.MethodGet, cloudURL+"/control/runs", nil, &runs); err != nil {
		return oracle.Verdict{}, errors.Wrap(err, "fetch run ledger of the cloud stand-in")
	}
	if err := process.DoJSON(http.MethodGet, cloudURL+"/control/effects", nil, &effects); err != nil {
		return oracle.Verdict{}, errors.Wrap(err, "fetch effects of the cloud stand-in")
	}
	var lateRuns []engine.LateRun
	if err := process.DoJSON(http.MethodGet, cloudURL+"/control/late-offers", nil, &lateRuns); err != nil {
		return oracle.Verdict{}, errors.Wrap(err, "fetch late runs of the cloud stand-in")
	}
	verdict := o.Judge(runs, effects)
	verdict.AddLateRuns(lateRuns)
	return verdict, nil
}
