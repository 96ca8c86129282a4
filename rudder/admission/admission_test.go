package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"chestnutrudder.example/rudder/internal/rapidtest"
)

func TestMain(m *testing.M) {
	rapidtest.Main(m, "seed=20261206", "checks=200")
}

// Load: a flood of short requests of low urgency beside long urgent streams, as measured by one node. Guards against the flood
// taking the last slots.
func TestFloodLeavesSlotsForUrgentRequests(t *testing.T) {
	var o Occupancy
	now := time.Unix(1000, 0)
	for range 600 { // 10 s
		now = now.Add(time.Second / 60)
		o.Add(2, 100*time.Millisecond, now)
		if now.Nanosecond() < int(100*time.Millisecond) {
			o.Add(0, 1500*time.Millisecond, now)
		}
	}
	share := o.MoreUrgentShare(2)
	if share < 0.4 || share > 0.8 {
		t.Fatalf("share of urgent requests %.2f", share)
	}
	if got := UsableSlots(16, share); got < 12 || got > 13 {
		t.Errorf("a request of low urgency may use %d of 16 slots, want 12 or 13", got)
	}
	if got := UsableSlots(16, o.MoreUrgentShare(0)); got != 16 {
		t.Errorf("an urgent request may use %d of 16 slots, want all", got)
	}
	if got := o.MoreUrgentLevels(2); got != 1 {
		t.Errorf("%d more urgent levels, want 1", got)
	}
}

// Guards against slots being kept free for requests that do not come any more.
func TestReserveEndsWithTheUrgentRequests(t *testing.T) {
	var o Occupancy
	now := time.Unix(1000, 0)
	o.Add(0, 20*time.Second, now)
	for range 60 {
		now = now.Add(500 * time.Millisecond)
		o.Add(2, time.Second, now)
	}
	if got := UsableSlots(16, o.MoreUrgentShare(2)); got != 16 {
		t.Errorf("%d of 16 slots 30 s after the last urgent request, want all", got)
	}
}

// Guards against a service with one urgency level being served differently.
func TestOneUrgencyLevelUsesAllSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var o Occupancy
		urgency := rapid.IntRange(0, Levels-1).Draw(t, "urgency")
		now := time.Unix(1000, 0)
		for range rapid.IntRange(0, 20).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "pause")) * time.Millisecond)
			o.Add(urgency, time.Second, now)
		}
		slots := rapid.IntRange(1, 64).Draw(t, "slots")
		if got := UsableSlots(slots, o.MoreUrgentShare(urgency)); got != slots {
			t.Fatalf("%d of %d slots usable", got, slots)
		}
	})
}

// Load: callers of one second that are refused together. Guards against them coming back together, and less urgent ones before
// more urgent ones.
func TestRefusedCallersReturnInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wait := time.Duration(rapid.IntRange(0, 5000).Draw(t, "wait")) * time.Millisecond
		levels := rapid.IntRange(0, Levels-1).Draw(t, "levels")
		fraction := rapid.Float64Range(0, 1).Draw(t, "fraction")
		got := RetryAfter(wait, levels, fraction)
		if got < minRetryAfter || got > time.Duration((1+spread)*float64(maxRetryAfter)) {
			t.Fatalf("Retry-After %s out of bounds", got)
		}
		if levels > 0 && got < RetryAfter(wait, levels-1, fraction) {
			t.Fatalf("a caller of lower urgency returns before one of higher urgency: %s", got)
		}
		if fraction > 0.5 && got <= RetryAfter(wait, levels, fraction-0.5) {
			t.Fatalf("callers are not spread: %s", got)
		}
	})
}
