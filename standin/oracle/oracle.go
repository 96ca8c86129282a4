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

// Kind says what a caller asked for.
type Kind int

// The kinds of request.
const (
	Model Kind = iota // a model's answer
	Read              // a service call that may be repeated
	Write             // a service call that may take effect at most once
)

// Request is what a caller asked. It may be sent several times.
type Request struct {
	ID     string // unique; in the body of a service call
	Kind   Kind
	Prompt string // of a model request, unique
	Tokens int    // length of the whole answer to a model request
	// Crashes says that the request crashes each engine that runs it: it need not be answered.
	Crashes bool
}

// Told says what a caller was told about one sending of a request.
type Told int

// What a caller can be told.
const (
	Nothing Told = iota // the connection broke or the time ran out before an end
	Done                // an answer with its end
	NotRun              // told that it was not run
	Unknown             // told that it may have been run
)

type asked struct {
	Request
	sendings []sending
}

type sending struct {
	told   Told
	tokens []string // of a model's answer, also of one without its end
	body   string   // of a service's answer
}

// Oracle collects what callers asked and were told.
type Oracle struct {
	mu       sync.Mutex
	requests []*asked
}

// Sending is one sending of a request of which the caller has not been told anything yet.
type Sending struct {
	oracle *Oracle
	asked  *asked
	number int
}

// Handle is a request known to the oracle.
type Handle struct {
	oracle *Oracle
	asked  *asked
}

// Ask makes a request known before it is sent.
func (o *Oracle) Ask(r Request) Handle {
	o.mu.Lock()
	defer o.mu.Unlock()
	a := &asked{Request: r}
	o.requests = append(o.requests, a)
	return Handle{oracle: o, asked: a}
}

// Send notes that the request is about to be sent once more.
func (h Handle) Send() Sending {
	h.oracle.mu.Lock()
	defer h.oracle.mu.Unlock()
	h.asked.sendings = append(h.asked.sendings, sending{})
	return Sending{oracle: h.oracle, asked: h.asked, number: len(h.asked.sendings) - 1}
}

// Answer notes the tokens that the caller received and what it was told at the end.
func (s Sending) Answer(told Told, tokens []string) { s.set(sending{told: told, tokens: tokens}) }

// Reply notes what the caller was told about a service call.
func (s Sending) Reply(told Told, body string) { s.set(sending{told: told, body: body}) }

func (s Sending) set(to sending) {
	s.oracle.mu.Lock()
	defer s.oracle.mu.Unlock()
	s.asked.sendings[s.number] = to
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

// AddLate counts new work that reached leaving backend servers too late.
func (v *Verdict) AddLate(offers []engine.LateRun) {
	for _, o := range offers {
		v.blame(&v.LateWork, "late work on "+o.Host+", run", o.RunID)
	}
}

func (v *Verdict) blame(count *int, name, id string) {
	*count++
	if len(v.Examples) < maxExamples {
		v.Examples = append(v.Examples, name+" "+id)
	}
}

// callBody is the body of a service call as the load tool sends it.
type callBody struct {
	ID string `json:"id"`
}

// callReply is the answer of the service stand-in.
type callReply struct {
	Body string `json:"body"`
}

// Judge compares what callers were told with what the backend servers ran.
func (o *Oracle) Judge(runs []engine.RunRecord, effects []service.Effect) Verdict {
	o.mu.Lock()
	defer o.mu.Unlock()
	v := Verdict{Asked: len(o.requests)}
	ranPrompts := map[string][]engine.RunRecord{}
	for _, r := range runs {
		ranPrompts[r.PromptHash] = append(ranPrompts[r.PromptHash], r)
	}
	ranCalls := map[string]int{}
	for _, e := range effects {
		ranCalls[idOf(e.Body)]++
	}
	for _, a := range o.requests {
		if a.Kind == Model {
			hash := engine.PromptHash(a.Prompt)
			v.judgeModel(a, ranPrompts[hash])
			delete(ranPrompts, hash)
		} else {
			v.judgeCall(a, ranCalls[a.ID])
			delete(ranCalls, a.ID)
		}
	}
	for prompt := range ranPrompts {
		v.blame(&v.Unasked, "unasked prompt", prompt)
	}
	for id := range ranCalls {
		v.blame(&v.Unasked, "unasked call", id)
	}
	return v
}

func idOf(body string) string {
	var b callBody
	_ = json.Unmarshal([]byte(body), &b)
	return b.ID
}

// judgeModel judges one model request by all its sendings.
func (v *Verdict) judgeModel(a *asked, runs []engine.RunRecord) {
	v.Recomputed += Recomputed(runs, a.Tokens)
	expected := engine.Answer(a.Prompt, a.Tokens)
	whole, notRun := false, true
	for _, s := range a.sendings {
		notRun = notRun && s.told == NotRun
		switch fault := compare(s.tokens, expected); {
		case fault == doubled:
			v.blame(&v.Doubled, "doubled", a.ID)
			return
		case fault == foreign:
			v.blame(&v.Foreign, "foreign", a.ID)
			return
		case s.told == Done && fault == short:
			v.blame(&v.Cut, "cut", a.ID)
			return
		case s.told == Done:
			whole = true
		}
	}
	switch {
	case whole:
		v.Whole++
	case a.Crashes:
		v.Crashing++
	case !notRun || len(a.sendings) == 0:
		v.blame(&v.Lost, "lost", a.ID)
	case len(runs) > 0:
		v.blame(&v.FalseNotRun, "false not run", a.ID)
	default:
		v.Refused++
	}
}

// judgeCall judges one service call by all its sendings and its number of effects.
func (v *Verdict) judgeCall(a *asked, ran int) {
	done, notRun := false, true
	for _, s := range a.sendings {
		notRun = notRun && s.told == NotRun
		if s.told != Done {
			continue
		}
		var reply callReply
		if json.Unmarshal([]byte(s.body), &reply) != nil || idOf(reply.Body) != a.ID {
			v.blame(&v.Foreign, "foreign reply", a.ID)
			return
		}
		done = true
	}
	switch {
	case a.Kind == Write && ran > 1:
		v.blame(&v.EffectTwice, "effect twice", a.ID)
	case done && ran == 0:
		v.blame(&v.FalseDone, "answered without effect", a.ID)
	case done:
		v.Whole++
	case notRun && len(a.sendings) > 0 && ran > 0:
		v.blame(&v.FalseNotRun, "false not run", a.ID)
	case notRun && len(a.sendings) > 0:
		v.Refused++
	case a.Kind == Write && len(a.sendings) > 0:
		v.Unknown++
	default:
		v.blame(&v.Lost, "lost", a.ID)
	}
}
