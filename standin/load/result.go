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

// The latency target.
const (
	TimeToFirstTokenTarget  = 680 * time.Millisecond
	TimeBetweenTokensTarget = 27 * time.Millisecond
)

// Result sums up what callers saw.
type Result struct {
	mu sync.Mutex

	RequestCount             int // all requests
	AnswerCount              int // model answers that ended
	WithinTargetCount        int // of these, within the latency target
	NotRunCount              int // requests that ended with "not run"
	FailedCount              int // requests that ended otherwise
	GeneratedTokens          int64
	ReportedRecomputedTokens int64 // recomputed tokens as the system reports them
	// TimeToFirstToken and TimeBetweenTokens hold microseconds: one value for each answer; the second is the mean of the answer.
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

func (r *Result) recordOutcome(outcome oracle.Told) {
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

// recordAnswer notes a model's answer. An answer that needed a second sending is not within the target: its caller waited
// for the first one too.
func (r *Result) recordAnswer(a caller.Answer, isFirst bool) {
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
	if isFirst && a.TimeToFirstToken <= TimeToFirstTokenTarget && timeBetweenTokens <= TimeBetweenTokensTarget {
		r.WithinTargetCount++
	}
}

// WithinTargetShare returns the share of answers within the target, of all model requests that were answered.
func (r *Result) WithinTargetShare() float64 {
	if r.AnswerCount == 0 {
		return 0
	}
	return float64(r.WithinTargetCount) / float64(r.AnswerCount)
}

// Evaluate asks the cloud stand-in at a base URL what its backend servers ran and judges.
func Evaluate(o *oracle.Oracle, cloudURL string) (oracle.Verdict, error) {
	var runs []engine.RunRecord
	var effects []service.Effect
	if err := process.Control(http.MethodGet, cloudURL+"/control/runs", nil, &runs); err != nil {
		return oracle.Verdict{}, errors.Wrap(err, "read run ledger")
	}
	if err := process.Control(http.MethodGet, cloudURL+"/control/effects", nil, &effects); err != nil {
		return oracle.Verdict{}, errors.Wrap(err, "read effects")
	}
	var lateOffers []engine.LateOffer
	if err := process.Control(http.MethodGet, cloudURL+"/control/late-offers", nil, &lateOffers); err != nil {
		return oracle.Verdict{}, errors.Wrap(err, "read late offers")
	}
	verdict := o.Judge(runs, effects)
	verdict.AddLate(lateOffers)
	return verdict, nil
}
