// Package oracle judges a run of the system from the outside. It knows what each caller asked, what each caller was
// told, and what the stand-ins of the backend servers ran, and nothing else. The load tool, the soak run, the benchmark
// and the integration tests use it.
package oracle

import (
	"encoding/json"
	"sync"

	"chestnutrudder.example/standin/engine"
	"chestnutrudder.example/standin/service"
)

// RequestKind says what a caller asked for.
type RequestKind int

// The kinds of request.
const (
	ModelRequest RequestKind = iota // a model's answer
	ReadCall                        // a service call that may be repeated
	WriteCall                       // a service call that may take effect at most once
)

// Request is what a caller asked. It may be sent several times.
type Request struct {
	ID           string // unique; in the body of a service call
	Kind         RequestKind
	Prompt       string // of a model request, unique
	AnswerTokens int    // length of the whole answer to a model request
	// CrashesEngine says that the request crashes each engine that runs it: it need not be answered.
	CrashesEngine bool
}

// Outcome says what a caller was told about one sending of a request.
type Outcome int

// What a caller can be told.
const (
	NoOutcome Outcome = iota // the connection broke or the time ran out before an end
	Done                     // an answer with its end
	NotRun                   // told that it was not run
	Unknown                  // told that it may have been run
)

type requestRecord struct {
	Request
	submissions []submissionRecord
}

type submissionRecord struct {
	outcome Outcome
	tokens  []string // of a model's answer, also of one without its end
	body    string   // of a service's answer
}

// Oracle collects what callers asked and were told.
type Oracle struct {
	mu       sync.Mutex
	requests []*requestRecord
}

// Submission is one sending of a request of which the caller has not been told anything yet.
type Submission struct {
	oracle  *Oracle
	request *requestRecord
	index   int
}

// RequestHandle is a request known to the oracle.
type RequestHandle struct {
	oracle  *Oracle
	request *requestRecord
}

// Register makes a request known before it is sent.
func (o *Oracle) Register(r Request) RequestHandle {
	o.mu.Lock()
	defer o.mu.Unlock()
	record := &requestRecord{Request: r}
	o.requests = append(o.requests, record)
	return RequestHandle{oracle: o, request: record}
}

// BeginSubmission notes that the request is about to be sent once more.
func (h RequestHandle) BeginSubmission() Submission {
	h.oracle.mu.Lock()
	defer h.oracle.mu.Unlock()
	h.request.submissions = append(h.request.submissions, submissionRecord{})
	return Submission{oracle: h.oracle, request: h.request, index: len(h.request.submissions) - 1}
}

// RecordModelAnswer notes the tokens that the caller received and what it was told at the end.
func (s Submission) RecordModelAnswer(outcome Outcome, tokens []string) {
	s.setRecord(submissionRecord{outcome: outcome, tokens: tokens})
}

// RecordServiceReply notes what the caller was told about a service call.
func (s Submission) RecordServiceReply(outcome Outcome, body string) {
	s.setRecord(submissionRecord{outcome: outcome, body: body})
}

func (s Submission) setRecord(record submissionRecord) {
	s.oracle.mu.Lock()
	defer s.oracle.mu.Unlock()
	s.request.submissions[s.index] = record
}

// Verdict counts requests. Violations are all counts from Doubled on.
type Verdict struct {
	Asked      int   `json:"asked"`
	Whole      int   `json:"whole"`      // got its whole answer
	Refused    int   `json:"refused"`    // told for each sending that it was not run, which is true
	Unknown    int   `json:"unknown"`    // writes that ended as unknown, which is allowed
	Crashing   int   `json:"crashing"`   // requests that crash engines; no answer is owed
	Recomputed int64 `json:"recomputed"` // tokens that engines computed again

	Doubled     int `json:"doubled"`       // got some part of its answer twice
	Lost        int `json:"lost"`          // ended without an answer and without a true "not run"
	Foreign     int `json:"foreign"`       // got something that belongs to no place of its answer
	Cut         int `json:"cut"`           // got an end before the whole answer
	FalseNotRun int `json:"false_not_run"` // told "not run" each time, and a backend server ran it
	FalseDone   int `json:"false_done"`    // a write was answered and had no effect
	EffectTwice int `json:"effect_twice"`  // a write took effect more than once
	Unasked     int `json:"unasked"`       // a backend server ran what nobody asked
	LateWork    int `json:"late_work"`     // new work reached a backend server too long after its notice

	// Examples names the request of each violation, up to a bound.
	Examples []string `json:"examples,omitempty"`
}

const maxExamples = 20

// Violations returns the number of violations.
func (v Verdict) Violations() int {
	return v.Doubled + v.Lost + v.Foreign + v.Cut + v.FalseNotRun + v.FalseDone + v.EffectTwice + v.Unasked + v.LateWork
}

// AddLateOffers counts new work that reached leaving backend servers too late.
func (v *Verdict) AddLateOffers(offers []engine.LateOffer) {
	for _, o := range offers {
		v.addViolation(&v.LateWork, "late work on "+o.Host+", run", o.Run)
	}
}

func (v *Verdict) addViolation(count *int, violation, id string) {
	*count++
	if len(v.Examples) < maxExamples {
		v.Examples = append(v.Examples, violation+" "+id)
	}
}

// callBody is the body of a service call as the load tool sends it.
type callBody struct {
	ID string `json:"id"`
}

// serviceReply is the answer of the service stand-in.
type serviceReply struct {
	Body string `json:"body"`
}

// Judge compares what callers were told with what the backend servers ran.
func (o *Oracle) Judge(runs []engine.RunRecord, effects []service.Effect) Verdict {
	o.mu.Lock()
	defer o.mu.Unlock()
	v := Verdict{Asked: len(o.requests)}
	runsByPrompt := map[string][]engine.RunRecord{}
	for _, r := range runs {
		runsByPrompt[r.Prompt] = append(runsByPrompt[r.Prompt], r)
	}
	effectsByCall := map[string]int{}
	for _, e := range effects {
		effectsByCall[callID(e.Body)]++
	}
	for _, a := range o.requests {
		if a.Kind == ModelRequest {
			hash := engine.PromptHash(a.Prompt)
			v.judgeModelRequest(a, runsByPrompt[hash])
			delete(runsByPrompt, hash)
		} else {
			v.judgeServiceCall(a, effectsByCall[a.ID])
			delete(effectsByCall, a.ID)
		}
	}
	for prompt := range runsByPrompt {
		v.addViolation(&v.Unasked, "unasked prompt", prompt)
	}
	for id := range effectsByCall {
		v.addViolation(&v.Unasked, "unasked call", id)
	}
	return v
}

func callID(requestBody string) string {
	var b callBody
	_ = json.Unmarshal([]byte(requestBody), &b)
	return b.ID
}

// judgeModelRequest judges one model request by all its sendings.
func (v *Verdict) judgeModelRequest(a *requestRecord, runs []engine.RunRecord) {
	v.Recomputed += RecomputedTokens(runs, a.AnswerTokens)
	expected := engine.Answer(a.Prompt, a.AnswerTokens)
	isWhole, allNotRun := false, true
	for _, s := range a.submissions {
		allNotRun = allNotRun && s.outcome == NotRun
		switch mismatch := compareAnswer(s.tokens, expected); {
		case mismatch == duplicated:
			v.addViolation(&v.Doubled, "doubled", a.ID)
			return
		case mismatch == foreign:
			v.addViolation(&v.Foreign, "foreign", a.ID)
			return
		case s.outcome == Done && mismatch == truncated:
			v.addViolation(&v.Cut, "cut", a.ID)
			return
		case s.outcome == Done:
			isWhole = true
		}
	}
	switch {
	case isWhole:
		v.Whole++
	case a.CrashesEngine:
		v.Crashing++
	case !allNotRun || len(a.submissions) == 0:
		v.addViolation(&v.Lost, "lost", a.ID)
	case len(runs) > 0:
		v.addViolation(&v.FalseNotRun, "false not run", a.ID)
	default:
		v.Refused++
	}
}

// judgeServiceCall judges one service call by all its sendings and its number of effects.
func (v *Verdict) judgeServiceCall(a *requestRecord, effects int) {
	isDone, allNotRun := false, true
	for _, s := range a.submissions {
		allNotRun = allNotRun && s.outcome == NotRun
		if s.outcome != Done {
			continue
		}
		var reply serviceReply
		if json.Unmarshal([]byte(s.body), &reply) != nil || callID(reply.Body) != a.ID {
			v.addViolation(&v.Foreign, "foreign reply", a.ID)
			return
		}
		isDone = true
	}
	switch {
	case a.Kind == WriteCall && effects > 1:
		v.addViolation(&v.EffectTwice, "effect twice", a.ID)
	case isDone && effects == 0:
		v.addViolation(&v.FalseDone, "answered without effect", a.ID)
	case isDone:
		v.Whole++
	case allNotRun && len(a.submissions) > 0 && effects > 0:
		v.addViolation(&v.FalseNotRun, "false not run", a.ID)
	case allNotRun && len(a.submissions) > 0:
		v.Refused++
	case a.Kind == WriteCall && len(a.submissions) > 0:
		v.Unknown++
	default:
		v.addViolation(&v.Lost, "lost", a.ID)
	}
}
