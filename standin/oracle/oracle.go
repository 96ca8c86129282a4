// Package oracle is the test oracle for runs of the whole system. It checks the outcomes that callers saw for their
// requests against the work that the stand-ins for the backend servers recorded, and uses no other information. The load
// generator, the soak run, the benchmark and the slope measurements use it.
package oracle

import (
	"encoding/json"
	"sync"

	"chestnutrudder.example/standin/engine"
	"chestnutrudder.example/standin/service"
)

// RequestKind is the kind of a request.
type RequestKind int

// The request kinds.
const (
	ModelRequest RequestKind = iota // a request for a model's answer
	ReadCall                        // a service call that may be repeated
	WriteCall                       // a service call that may take effect at most once
)

// Request is a request of a caller. The caller may submit it several times.
type Request struct {
	ID           string // unique; contained in the body of a service call
	Kind         RequestKind
	Prompt       string // prompt of a model request; unique
	AnswerTokens int    // number of tokens in the complete answer to a model request
	// CrashesEngine means that the request crashes every engine that runs it, so that it does not have to be answered.
	CrashesEngine bool
}

// Outcome is the outcome of one submission of a request as the caller saw it.
type Outcome int

// The outcomes.
const (
	NoOutcome Outcome = iota // the connection broke or the caller's timeout expired before the response ended
	Done                     // an answer that ended regularly
	NotRun                   // an error that states that the request was not run
	Unknown                  // an error that states that the request may have been run
)

// requestRecord is a request with all its submissions.
type requestRecord struct {
	Request
	submissions []submissionRecord
}

// submissionRecord is what the caller received for one submission.
type submissionRecord struct {
	outcome Outcome
	tokens  []string // tokens of a model's answer, which may be incomplete
	body    string   // body of a service's reply
}

// Oracle records the requests of callers and their outcomes. The zero value is ready to use.
type Oracle struct {
	mu       sync.Mutex
	requests []*requestRecord
}

// Submission is one submission of a request. Its outcome is NoOutcome until it is recorded.
type Submission struct {
	oracle  *Oracle
	request *requestRecord
	index   int
}

// RequestHandle refers to a registered request.
type RequestHandle struct {
	oracle  *Oracle
	request *requestRecord
}

// Register records a request. It must be called before the request is submitted.
func (o *Oracle) Register(r Request) RequestHandle {
	o.mu.Lock()
	defer o.mu.Unlock()
	record := &requestRecord{Request: r}
	o.requests = append(o.requests, record)
	return RequestHandle{oracle: o, request: record}
}

// BeginSubmission records a submission of the request. It must be called before the request is sent.
func (h RequestHandle) BeginSubmission() Submission {
	h.oracle.mu.Lock()
	defer h.oracle.mu.Unlock()
	h.request.submissions = append(h.request.submissions, submissionRecord{})
	return Submission{oracle: h.oracle, request: h.request, index: len(h.request.submissions) - 1}
}

// RecordModelAnswer records the outcome of a model request and the tokens that the caller received.
func (s Submission) RecordModelAnswer(outcome Outcome, tokens []string) {
	s.setRecord(submissionRecord{outcome: outcome, tokens: tokens})
}

// RecordServiceReply records the outcome of a service call and the body of the reply.
func (s Submission) RecordServiceReply(outcome Outcome, body string) {
	s.setRecord(submissionRecord{outcome: outcome, body: body})
}

func (s Submission) setRecord(record submissionRecord) {
	s.oracle.mu.Lock()
	defer s.oracle.mu.Unlock()
	s.request.submissions[s.index] = record
}

// Verdict holds the number of requests with each result. Doubled and the counts after it are violations.
type Verdict struct {
	Asked      int   `json:"asked"`      // registered requests
	Whole      int   `json:"whole"`      // received the complete answer
	Refused    int   `json:"refused"`    // every submission was correctly reported as not run
	Unknown    int   `json:"unknown"`    // writes whose outcome the caller does not know, which is allowed
	Crashing   int   `json:"crashing"`   // requests that crash engines and were not answered, which is allowed
	Recomputed int64 `json:"recomputed"` // tokens that engines computed more than once

	Doubled     int `json:"doubled"`       // received some part of the answer twice
	Lost        int `json:"lost"`          // no complete answer and not reported as not run (writes: see Unknown)
	Foreign     int `json:"foreign"`       // received content that is not part of the answer
	Cut         int `json:"cut"`           // the answer ended regularly but was incomplete
	FalseNotRun int `json:"false_not_run"` // every submission was reported as not run, but a backend server ran the request
	FalseDone   int `json:"false_done"`    // a service call was answered but no backend server ran it
	EffectTwice int `json:"effect_twice"`  // a write took effect more than once
	Unasked     int `json:"unasked"`       // a backend server ran a request that no caller registered
	LateWork    int `json:"late_work"`     // a backend server got new work too late after a reclaim notice; see engine.LateRun

	// Examples describes the first maxExamples violations, each with the ID of its request, prompt hash or run.
	Examples []string `json:"examples,omitempty"`
}

const maxExamples = 20

// Violations returns the total number of violations.
func (v Verdict) Violations() int {
	return v.Doubled + v.Lost + v.Foreign + v.Cut + v.FalseNotRun + v.FalseDone + v.EffectTwice + v.Unasked + v.LateWork
}

// AddLateRuns adds a violation for each run that reached a leaving backend server too late.
func (v *Verdict) AddLateRuns(lateRuns []engine.LateRun) {
	for _, late := range lateRuns {
		v.addViolation(&v.LateWork, "late work on "+late.Host+", run", late.RunID)
	}
}

// addViolation increments one of the counts of v and adds an example unless there are enough.
func (v *Verdict) addViolation(count *int, violation, id string) {
	*count++
	if len(v.Examples) < maxExamples {
		v.Examples = append(v.Examples, violation+" "+id)
	}
}

// callBody is the body of a service call that the load tool sends.
type callBody struct {
	ID string `json:"id"`
}

// serviceReply is the reply of the service stand-in. Body is the body of the call.
type serviceReply struct {
	Body string `json:"body"`
}

// Judge compares the recorded outcomes with the runs and effects that the backend servers recorded.
func (o *Oracle) Judge(runs []engine.RunRecord, effects []service.Effect) Verdict {
	o.mu.Lock()
	defer o.mu.Unlock()
	v := Verdict{Asked: len(o.requests)}
	runsByPrompt := map[string][]engine.RunRecord{}
	for _, r := range runs {
		runsByPrompt[r.PromptHash] = append(runsByPrompt[r.PromptHash], r)
	}
	effectsByCall := map[string]int{}
	for _, e := range effects {
		effectsByCall[callID(e.Body)]++
	}
	for _, request := range o.requests {
		if request.Kind == ModelRequest {
			hash := engine.PromptHash(request.Prompt)
			v.judgeModelRequest(request, runsByPrompt[hash])
			delete(runsByPrompt, hash)
		} else {
			v.judgeServiceCall(request, effectsByCall[request.ID])
			delete(effectsByCall, request.ID)
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

// callID returns the ID in the body of a service call, or an empty string if the body is invalid.
func callID(requestBody string) string {
	var b callBody
	_ = json.Unmarshal([]byte(requestBody), &b)
	return b.ID
}

// judgeModelRequest adds one model request to the counts, given all runs with its prompt.
func (v *Verdict) judgeModelRequest(request *requestRecord, runs []engine.RunRecord) {
	v.Recomputed += RecomputedTokens(runs, request.AnswerTokens)
	expected := engine.Answer(request.Prompt, request.AnswerTokens)
	isWhole, allNotRun := false, true
	for _, s := range request.submissions {
		allNotRun = allNotRun && s.outcome == NotRun
		switch mismatch := compareAnswer(s.tokens, expected); {
		case mismatch == duplicated:
			v.addViolation(&v.Doubled, "doubled", request.ID)
			return
		case mismatch == foreign:
			v.addViolation(&v.Foreign, "foreign", request.ID)
			return
		case s.outcome == Done && mismatch == truncated:
			v.addViolation(&v.Cut, "cut", request.ID)
			return
		case s.outcome == Done:
			isWhole = true
		}
	}
	switch {
	case isWhole:
		v.Whole++
	case request.CrashesEngine:
		v.Crashing++
	case !allNotRun || len(request.submissions) == 0:
		v.addViolation(&v.Lost, "lost", request.ID)
	case len(runs) > 0:
		v.addViolation(&v.FalseNotRun, "false not run", request.ID)
	default:
		v.Refused++
	}
}

// judgeServiceCall adds one service call to the counts, given the number of its effects.
func (v *Verdict) judgeServiceCall(request *requestRecord, effects int) {
	isDone, allNotRun := false, true
	for _, s := range request.submissions {
		allNotRun = allNotRun && s.outcome == NotRun
		if s.outcome != Done {
			continue
		}
		var reply serviceReply
		if json.Unmarshal([]byte(s.body), &reply) != nil || callID(reply.Body) != request.ID {
			v.addViolation(&v.Foreign, "foreign reply", request.ID)
			return
		}
		isDone = true
	}
	switch {
	case request.Kind == WriteCall && effects > 1:
		v.addViolation(&v.EffectTwice, "effect twice", request.ID)
	case isDone && effects == 0:
		v.addViolation(&v.FalseDone, "answered without effect", request.ID)
	case isDone:
		v.Whole++
	case allNotRun && len(request.submissions) > 0 && effects > 0:
		v.addViolation(&v.FalseNotRun, "false not run", request.ID)
	case allNotRun && len(request.submissions) > 0:
		v.Refused++
	case request.Kind == WriteCall && len(request.submissions) > 0:
		v.Unknown++
	default:
		v.addViolation(&v.Lost, "lost", request.ID)
	}
}
