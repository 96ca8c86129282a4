package rollout

import (
	"testing"

	"pgregory.net/rapid"

	"chestnutrudder.example/rudder/objectapi"
)

// readOrder returns what a node reads of an order to a version at a revision.
func readOrder(to string, revision int64) Progress {
	v := objectapi.Version{Number: revision}
	return Progress{Order: TrafficOrder{Service: "s", To: to, DurationMillis: 12000, ID: v, Revision: v, StartedUnixMillis: revision}}
}

func withdrawn(p Progress, revision int64) Progress {
	p.Order.IsWithdrawn, p.Order.Revision = true, objectapi.Version{Number: revision}
	p.Phase = ""
	return p
}

func at(p Progress, phase Phase, share float64, fence int64) Progress {
	p.Phase, p.Share, p.Fence, p.Step = phase, share, fence, 1
	return p
}

// Guards against an order that begins again because this system wrote its status, one that goes on after another one or its
// withdrawal, and one that is taken for an earlier one with the same content.
func TestOrdersAreToldApart(t *testing.T) {
	first := readOrder("v2", 10)
	rolling := at(first, PhaseRolling, 0.1, 1)
	for name, c := range map[string]struct {
		known, read Progress
		wantTo      string
		wantPhase   Phase
		wantShare   float64
	}{
		"status was written":               {rolling, readOrder("v2", 12), "v2", PhaseRolling, 0.1},
		"older reading":                    {rolling, readOrder("v2", 9), "v2", PhaseRolling, 0.1},
		"second order":                     {rolling, readOrder("v3", 12), "v3", PhaseRolling, 0},
		"late news of the first order":     {at(readOrder("v3", 12), PhaseRolling, 0.2, 1), at(first, PhaseDone, 1, 5), "v3", PhaseRolling, 0.2},
		"later decision":                   {rolling, at(first, PhaseRolling, 1, 2), "v2", PhaseRolling, 1},
		"decision of a frozen holder":      {at(first, PhaseRolling, 0.1, 3), at(first, PhaseRolling, 1, 2), "v2", PhaseRolling, 0.1},
		"a node found it to be bad":        {at(first, PhaseRolling, 0.1, 3), at(first, PhaseReversing, 0, 1), "v2", PhaseReversing, 0},
		"a holder does not know that":      {at(first, PhaseReversing, 0, 1), at(first, PhaseRolling, 0.1, 3), "v2", PhaseReversing, 0},
		"withdrawn":                        {rolling, withdrawn(first, 12), "v2", PhaseRolling, 0.1},
		"written again after a withdrawal": {at(withdrawn(first, 12), PhaseReversed, 0, 1), readOrder("v2", 13), "v2", PhaseRolling, 0},
		"late news of a withdrawn order":   {at(withdrawn(first, 12), PhaseRolling, 0, 1), at(first, PhaseRolling, 1, 1), "v2", PhaseRolling, 0},
	} {
		got := c.known.merge(c.read)
		if got.Order.To != c.wantTo || got.Phase != c.wantPhase || got.Share != c.wantShare {
			t.Errorf("%s: version %s, phase %s, share %v, want %s, %s, %v", name, got.Order.To, got.Phase, got.Share, c.wantTo, c.wantPhase, c.wantShare)
		}
	}
	again := withdrawn(first, 12)
	again.Phase = PhaseReversed
	second := again.merge(readOrder("v2", 13))
	if got := second.merge(at(first, PhaseReversed, 0, 9)); got.Phase != PhaseRolling {
		t.Errorf("news of the first order about the second one with the same content: phase %s, want %s", got.Phase, PhaseRolling)
	}
}

// Guards against a version of an earlier, unfinished order that gets requests again, and one that is held although it is wanted.
func TestVersionsOfUnfinishedOrdersAreHeld(t *testing.T) {
	var p Progress
	p = p.merge(readOrder("v2", 10))
	p = p.merge(readOrder("v3", 12))
	if len(p.Held) != 1 || p.Held[0] != "v2" {
		t.Errorf("held versions %v, want v2", p.Held)
	}
	p = p.merge(readOrder("v2", 14))
	if len(p.Held) != 1 || p.Held[0] != "v3" {
		t.Errorf("held versions %v, want v3", p.Held)
	}
	p.Phase = PhaseDone
	if p = p.merge(readOrder("v4", 16)); len(p.Held) != 1 || p.Held[0] != "v3" {
		t.Errorf("held versions after a completed order %v, want v3", p.Held)
	}
}

// Guards against nodes that end with different orders because they heard of them in another sequence.
func TestMergeDoesNotDependOnTheSequence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var news []Progress
		revision := int64(10)
		for range rapid.IntRange(1, 5).Draw(t, "orders") {
			p := readOrder(rapid.SampledFrom([]string{"v2", "v3", "v4"}).Draw(t, "version"), revision)
			news = append(news, p, at(p, rapid.SampledFrom([]Phase{PhaseRolling, PhaseReversing, PhaseReversed, PhaseDone}).Draw(t, "phase"), 0.5, 1))
			if rapid.Bool().Draw(t, "is withdrawn") {
				revision++
				news = append(news, withdrawn(p, revision))
			}
			revision += 2
		}
		var inOrder, shuffled Progress
		for _, p := range news {
			inOrder = inOrder.merge(p)
		}
		for _, p := range rapid.Permutation(news).Draw(t, "sequence") {
			shuffled = shuffled.merge(p)
		}
		if inOrder.Order.To != shuffled.Order.To || inOrder.Order.IsWithdrawn != shuffled.Order.IsWithdrawn || inOrder.Order.Revision != shuffled.Order.Revision {
			t.Fatalf("in order %+v, shuffled %+v", inOrder.Order, shuffled.Order)
		}
	})
}
