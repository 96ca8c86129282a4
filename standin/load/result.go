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
	FirstTokenTarget    = 680 * time.Millisecond
	BetweenTokensTarget = 27 * time.Millisecond
)

// Result sums up what callers saw.
type Result struct {
	mu sync.Mutex

	Asked     int // all requests
	Answers   int // model answers that ended
	Within    int // of these, within the latency target
	Refused   int // requests that ended with "not run"
	Failed    int // requests that ended otherwise
	Generated int64
	Reported  int64 // recomputed tokens as the system reports them
	// FirstToken and BetweenTokens hold microseconds: one value for each answer; the second is the mean of the answer.
	FirstToken    *hdrhistogram.Histogram
	BetweenTokens *hdrhistogram.Histogram
}

func newResult() *Result {
	return &Result{
		FirstToken:    hdrhistogram.New(1, time.Minute.Microseconds(), 3),
		BetweenTokens: hdrhistogram.New(1, time.Minute.Microseconds(), 3),
	}
}

func (r *Result) asked() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Asked++
}

func (r *Result) ended(told oracle.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch told {
	case oracle.Done:
	case oracle.NotRun:
		r.Refused++
	default:
		r.Failed++
	}
}

// answered notes a model's answer. An answer that needed a second sending is not within the target: its caller waited
// for the first one too.
func (r *Result) answered(a caller.Answer, first bool) {
	between := time.Duration(0)
	if len(a.Tokens) > 1 {
		between = (a.LastToken - a.FirstToken) / time.Duration(len(a.Tokens)-1)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Answers++
	r.Generated += int64(len(a.Tokens))
	r.Reported += a.Usage.RecomputedTokens
	_ = r.FirstToken.RecordValue(max(1, a.FirstToken.Microseconds()))
	_ = r.BetweenTokens.RecordValue(max(1, between.Microseconds()))
	if first && a.FirstToken <= FirstTokenTarget && between <= BetweenTokensTarget {
		r.Within++
	}
}

// WithinShare returns the share of answers within the target, of all model requests that were answered.
func (r *Result) WithinShare() float64 {
	if r.Answers == 0 {
		return 0
	}
	return float64(r.Within) / float64(r.Answers)
}

// Judge asks the cloud stand-in at a base URL what its backend servers ran and judges.
func Judge(o *oracle.Oracle, cloud string) (oracle.Verdict, error) {
	var runs []engine.RunRecord
	var effects []service.Effect
	if err := process.DoJSON(http.MethodGet, cloud+"/control/runs", nil, &runs); err != nil {
		return oracle.Verdict{}, errors.Wrap(err, "read run ledger")
	}
	if err := process.DoJSON(http.MethodGet, cloud+"/control/effects", nil, &effects); err != nil {
		return oracle.Verdict{}, errors.Wrap(err, "read effects")
	}
	var late []engine.LateRun
	if err := process.DoJSON(http.MethodGet, cloud+"/control/late-offers", nil, &late); err != nil {
		return oracle.Verdict{}, errors.Wrap(err, "read late offers")
	}
	verdict := o.Judge(runs, effects)
	verdict.AddLateOffers(late)
	return verdict, nil
}
