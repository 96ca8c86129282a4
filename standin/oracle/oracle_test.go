package oracle

import (
	"reflect"
	"slices"
	"testing"

	"chestnutrudder.example/standin/engine"
	"chestnutrudder.example/standin/service"
)

const prompt = "user: a cap\n"

// effectsOf returns one effect for each call ID.
func effectsOf(ids ...string) []service.Effect {
	var all []service.Effect
	for _, id := range ids {
		all = append(all, service.Effect{Body: `{"id":"` + id + `"}`})
	}
	return all
}

func serviceReplyBody(id string) string { return `{"effect":1,"body":"{\"id\":\"` + id + `\"}"}` }

// TestJudge checks that the oracle detects every kind of violation and does not report allowed results as violations.
func TestJudge(t *testing.T) {
	answer := engine.Answer(prompt, 4)
	oneRun := []engine.RunRecord{{PromptHash: engine.PromptHash(prompt), ComputedTokens: 3, DecodedTokens: 4}}
	askModel := func(outcome Outcome, tokens []string) func(o *Oracle) {
		return func(o *Oracle) {
			o.Register(Request{ID: "m", Kind: ModelRequest, Prompt: prompt, AnswerTokens: 4}).BeginSubmission().RecordModelAnswer(outcome, tokens)
		}
	}
	callService := func(kind RequestKind, outcomes ...Outcome) func(o *Oracle) {
		return func(o *Oracle) {
			h := o.Register(Request{ID: "c", Kind: kind})
			for _, outcome := range outcomes {
				body := ""
				if outcome == Done {
					body = serviceReplyBody("c")
				}
				h.BeginSubmission().RecordServiceReply(outcome, body)
			}
		}
	}
	tests := []struct {
		name    string
		submit  func(o *Oracle)
		runs    []engine.RunRecord
		effects []service.Effect
		want    Verdict
	}{
		{"whole", askModel(Done, answer), oneRun, nil, Verdict{Whole: 1}},
		{"refused", askModel(NotRun, nil), nil, nil, Verdict{Refused: 1}},
		{"false not run", askModel(NotRun, nil), oneRun, nil, Verdict{FalseNotRun: 1}},
		{"lost without an end", askModel(NoOutcome, answer[:2]), oneRun, nil, Verdict{Lost: 1}},
		{"lost as unknown", askModel(Unknown, nil), nil, nil, Verdict{Lost: 1}},
		{"cut", askModel(Done, answer[:3]), oneRun, nil, Verdict{Cut: 1}},
		{"doubled in the middle", askModel(Done, []string{answer[0], answer[1], answer[1], answer[2], answer[3]}), oneRun, nil, Verdict{Doubled: 1}},
		{"doubled at the end", askModel(Done, append(slices.Clone(answer), answer[3])), oneRun, nil, Verdict{Doubled: 1}},
		{"foreign", askModel(Done, engine.Answer("user: another\n", 4)), oneRun, nil, Verdict{Foreign: 1}},
		{"foreign without an end", askModel(NoOutcome, []string{"x"}), oneRun, nil, Verdict{Foreign: 1}},
		{"crashing request", func(o *Oracle) {
			o.Register(Request{ID: "m", Kind: ModelRequest, Prompt: prompt, AnswerTokens: 4, CrashesEngine: true}).BeginSubmission().RecordModelAnswer(Unknown, nil)
		}, oneRun, nil, Verdict{Crashing: 1}},
		{"unasked prompt", func(*Oracle) {}, oneRun, nil, Verdict{Unasked: 1}},
		{"recomputed", askModel(Done, answer), append(slices.Clone(oneRun), engine.RunRecord{PromptHash: oneRun[0].PromptHash, ComputedTokens: 2, DecodedTokens: 1}), nil, Verdict{Whole: 1, Recomputed: 3}},
		{"write", callService(WriteCall, Done), nil, effectsOf("c"), Verdict{Whole: 1}},
		{"write retried", callService(WriteCall, NotRun, Done), nil, effectsOf("c"), Verdict{Whole: 1}},
		{"write twice", callService(WriteCall, Done), nil, effectsOf("c", "c"), Verdict{EffectTwice: 1}},
		{"write unknown", callService(WriteCall, NoOutcome), nil, effectsOf("c"), Verdict{Unknown: 1}},
		{"write false not run", callService(WriteCall, NotRun, NotRun), nil, effectsOf("c"), Verdict{FalseNotRun: 1}},
		{"write without effect", callService(WriteCall, Done), nil, nil, Verdict{FalseDone: 1}},
		{"read twice is allowed", callService(ReadCall, Done), nil, effectsOf("c", "c"), Verdict{Whole: 1}},
		{"read lost", callService(ReadCall, Unknown), nil, nil, Verdict{Lost: 1}},
		{"foreign reply", func(o *Oracle) {
			o.Register(Request{ID: "c", Kind: ReadCall}).BeginSubmission().RecordServiceReply(Done, serviceReplyBody("d"))
		}, nil, effectsOf("c"), Verdict{Foreign: 1}},
		{"unasked call", func(*Oracle) {}, nil, effectsOf("d"), Verdict{Unasked: 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			o := &Oracle{}
			test.submit(o)
			got := o.Judge(test.runs, test.effects)
			wantExamples := min(1, test.want.Violations())
			if len(got.Examples) != wantExamples {
				t.Errorf("examples are %v, expected %d", got.Examples, wantExamples)
			}
			got.Examples, got.Asked = nil, 0
			if !reflect.DeepEqual(got, test.want) {
				t.Errorf("verdict is %+v, expected %+v", got, test.want)
			}
		})
	}
}
