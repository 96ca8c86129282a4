package oracle

import (
	"reflect"
	"slices"
	"testing"

	"chestnutrudder.example/standin/engine"
	"chestnutrudder.example/standin/service"
)

const prompt = "user: a cap\n"

func effects(ids ...string) []service.Effect {
	var all []service.Effect
	for _, id := range ids {
		all = append(all, service.Effect{Body: `{"id":"` + id + `"}`})
	}
	return all
}

func reply(id string) string { return `{"effect":1,"body":"{\"id\":\"` + id + `\"}"}` }

// TestJudgeDetects guards against an oracle that misses a kind of violation or blames what is allowed.
func TestJudgeDetects(t *testing.T) {
	answer := engine.Answer(prompt, 4)
	ran := []engine.RunRecord{{PromptHash: engine.PromptHash(prompt), ComputedTokens: 3, DecodedTokens: 4}}
	model := func(told Told, tokens []string) func(o *Oracle) {
		return func(o *Oracle) {
			o.Ask(Request{ID: "m", Kind: Model, Prompt: prompt, Tokens: 4}).Send().Answer(told, tokens)
		}
	}
	call := func(kind Kind, told ...Told) func(o *Oracle) {
		return func(o *Oracle) {
			h := o.Ask(Request{ID: "c", Kind: kind})
			for _, t := range told {
				body := ""
				if t == Done {
					body = reply("c")
				}
				h.Send().Reply(t, body)
			}
		}
	}
	tests := []struct {
		name    string
		ask     func(o *Oracle)
		runs    []engine.RunRecord
		effects []service.Effect
		want    Verdict
	}{
		{"whole", model(Done, answer), ran, nil, Verdict{Whole: 1}},
		{"refused", model(NotRun, nil), nil, nil, Verdict{Refused: 1}},
		{"false not run", model(NotRun, nil), ran, nil, Verdict{FalseNotRun: 1}},
		{"lost without an end", model(Nothing, answer[:2]), ran, nil, Verdict{Lost: 1}},
		{"lost as unknown", model(Unknown, nil), nil, nil, Verdict{Lost: 1}},
		{"cut", model(Done, answer[:3]), ran, nil, Verdict{Cut: 1}},
		{"doubled in the middle", model(Done, []string{answer[0], answer[1], answer[1], answer[2], answer[3]}), ran, nil, Verdict{Doubled: 1}},
		{"doubled at the end", model(Done, append(slices.Clone(answer), answer[3])), ran, nil, Verdict{Doubled: 1}},
		{"foreign", model(Done, engine.Answer("user: another\n", 4)), ran, nil, Verdict{Foreign: 1}},
		{"foreign without an end", model(Nothing, []string{"x"}), ran, nil, Verdict{Foreign: 1}},
		{"crashing request", func(o *Oracle) {
			o.Ask(Request{ID: "m", Kind: Model, Prompt: prompt, Tokens: 4, Crashes: true}).Send().Answer(Unknown, nil)
		}, ran, nil, Verdict{Crashing: 1}},
		{"unasked prompt", func(*Oracle) {}, ran, nil, Verdict{Unasked: 1}},
		{"recomputed", model(Done, answer), append(slices.Clone(ran), engine.RunRecord{PromptHash: ran[0].PromptHash, ComputedTokens: 2, DecodedTokens: 1}), nil, Verdict{Whole: 1, Recomputed: 3}},
		{"write", call(Write, Done), nil, effects("c"), Verdict{Whole: 1}},
		{"write retried", call(Write, NotRun, Done), nil, effects("c"), Verdict{Whole: 1}},
		{"write twice", call(Write, Done), nil, effects("c", "c"), Verdict{EffectTwice: 1}},
		{"write unknown", call(Write, Nothing), nil, effects("c"), Verdict{Unknown: 1}},
		{"write false not run", call(Write, NotRun, NotRun), nil, effects("c"), Verdict{FalseNotRun: 1}},
		{"write without effect", call(Write, Done), nil, nil, Verdict{FalseDone: 1}},
		{"read twice is allowed", call(Read, Done), nil, effects("c", "c"), Verdict{Whole: 1}},
		{"read lost", call(Read, Unknown), nil, nil, Verdict{Lost: 1}},
		{"foreign reply", func(o *Oracle) { o.Ask(Request{ID: "c", Kind: Read}).Send().Reply(Done, reply("d")) }, nil, effects("c"), Verdict{Foreign: 1}},
		{"unasked call", func(*Oracle) {}, nil, effects("d"), Verdict{Unasked: 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			o := &Oracle{}
			test.ask(o)
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
