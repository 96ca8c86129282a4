package dispatch

import (
	"log/slog"
	"testing"

	"chestnutrudder.example/rudder/cloud"
	"chestnutrudder.example/rudder/engine"
	"chestnutrudder.example/rudder/fleet"
	"chestnutrudder.example/rudder/membership"
	"chestnutrudder.example/rudder/object"
	"chestnutrudder.example/rudder/peer/peerpb"
)

// TestApplyChunk guards against an answer with a gap, one that ends early, and a cancelled run that appears complete.
func TestApplyChunk(t *testing.T) {
	d := New(membership.NewTable(membership.Node{Name: "n"}), fleet.NewTable(), slog.New(slog.DiscardHandler))
	for _, c := range []struct {
		name   string
		chunks []engine.Chunk
		ended  bool // with End
		broken bool
	}{
		{"whole", []engine.Chunk{{Offset: 1, Tokens: []string{"b"}}, {Offset: 2, Tokens: []string{"c"}, End: true}}, true, false},
		{"repeated chunk", []engine.Chunk{{Offset: 1, Tokens: []string{"b"}}, {Offset: 1, Tokens: []string{"b"}}, {Offset: 2, End: true}}, true, false},
		{"gap", []engine.Chunk{{Offset: 2, Tokens: []string{"c"}}}, false, true},
		{"end with tokens missing", []engine.Chunk{{Offset: 1, Tokens: []string{"b"}}, {Offset: 3, End: true}}, false, true},
		{"cancelled", []engine.Chunk{{Offset: 1, Tokens: []string{"b"}}, {Offset: 2, End: true, Cancelled: true}}, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			task := newTask(newRun("r", "o", "r.1", 1), &peerpb.RunRequest{Generated: []string{"a"}}, 1, testNow)
			task.backend = newBackend(cloud.Host{Name: "h", Backend: object.BackendModel})
			var lastEvent *peerpb.RunEvent
			for _, chunk := range c.chunks {
				if lastEvent != nil {
					t.Fatal("run ended before the last chunk")
				}
				lastEvent = d.applyChunk(task, chunk)
			}
			if (lastEvent.GetEnd() != nil) != c.ended || (lastEvent.GetBroken() != nil) != c.broken {
				t.Errorf("unexpected last event %v", lastEvent)
			}
			if c.ended && lastEvent.GetEnd().Offset != int64(task.run.answerLength()) {
				t.Errorf("End event has offset %d, the answer has %d tokens", lastEvent.GetEnd().Offset, task.run.answerLength())
			}
		})
	}
}

// TestRecomputedTokens guards against recomputed tokens that are counted for a first attempt or missed for a later one.
func TestRecomputedTokens(t *testing.T) {
	for _, c := range []struct {
		computedBefore, computed int64
		want                     int64
	}{{0, 100, 0}, {120, 20, 20}, {50, 80, 50}} {
		request := &peerpb.RunRequest{ComputedTokens: c.computedBefore}
		task := newTask(newRun("r", "o", "r.2", 0), request, 1, testNow)
		task.backend = newBackend(cloud.Host{Name: "h", Backend: object.BackendModel})
		accepted := newAccepted(task, engine.Chunk{Started: true, ComputedTokens: int(c.computed)})
		if accepted.RecomputedTokens != c.want {
			t.Errorf("%d computed before, %d now: %d recomputed, expected %d", c.computedBefore, c.computed, accepted.RecomputedTokens, c.want)
		}
	}
}
