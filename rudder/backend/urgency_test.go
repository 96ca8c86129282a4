package backend

import (
	"testing"
	"testing/synctest"
	"time"
)

// Load: a flood of short requests of low urgency fills all servers, while long urgent streams go on arriving. Guards against
// urgent requests being refused because all slots are taken by less urgent ones.
func TestFloodOfLowUrgencyLeavesRoomForUrgentStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTestTable(6, 16)
		refused := map[int]int{}
		place := func(urgency, tokens int, held time.Duration) {
			p, refusal := table.Place(Request{Service: "m", IsGeneration: true, PromptTokens: tokens, MaxOutputTokens: 24, Urgency: urgency, Objective: 1500 * time.Millisecond}, 0)
			if refusal != nil {
				refused[urgency]++
				if urgency == 2 && refusal.MoreUrgentLevels != 1 {
					t.Errorf("refusal of low urgency names %d more urgent levels, want 1", refusal.MoreUrgentLevels)
				}
				return
			}
			time.AfterFunc(held/4, p.RecordFirstByte)
			time.AfterFunc(held, func() { p.Release(ResultCompleted) })
		}
		for tick := range 600 { // of 10 ms
			if tick%3 == 0 {
				place(0, 6000, 1200*time.Millisecond) // 40 of 96 slots
			}
			if tick > 200 {
				for range 6 {
					place(2, 1500, 300*time.Millisecond) // 180 slots, if all were admitted
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		if refused[0] > 0 {
			t.Errorf("%d of 200 urgent requests were refused, and %d others", refused[0], refused[2])
		}
		if refused[2] == 0 {
			t.Error("no request of low urgency was refused: the load is too low to show anything")
		}
	})
}

// Guards against a stream that broke off being cut because slots are kept free for more urgent requests.
func TestContinuationUsesReservedSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTestTable(1, 4)
		urgent, _ := table.Place(Request{Service: "m", IsGeneration: true, PromptTokens: 10}, 0)
		time.Sleep(time.Second)
		urgent.Release(ResultCompleted)
		r := Request{Service: "m", IsGeneration: true, PromptTokens: 10, Urgency: 2}
		for i := range 4 {
			_, refusal := table.Place(r, 0)
			if isReserved := i == 3; isReserved != (refusal != nil) {
				t.Fatalf("request %d: refusal %+v, want the last of 4 slots kept free", i, refusal)
			}
		}
		r.Exclude = map[string]bool{"another": true}
		if _, refusal := table.Place(r, 0); refusal != nil {
			t.Errorf("continuation was refused: %s", refusal.Reason)
		}
	})
}
