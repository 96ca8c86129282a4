package limit

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chestnutrudder.example/rudder/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, "seed=20261204") }

var start = time.Unix(1000, 0)

func item(organisation string, share int, class Class, tokens int, at time.Duration) *Item {
	return &Item{Organisation: organisation, Share: share, Class: class, Tokens: tokens, EnqueuedAt: start.Add(at), AgeAfter: 340 * time.Millisecond}
}

// TestTokensFollowShares guards against an organisation that gets more than its share of tokens by sending more or larger
// requests.
func TestTokensFollowShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue()
		organisations := rapid.IntRange(2, 5).Draw(t, "organisations")
		shares, largest := 0, 0
		share := make([]int, organisations)
		for o := range share {
			share[o] = rapid.IntRange(1, 8).Draw(t, "share")
			shares += share[o]
			for range 60 {
				tokens := rapid.IntRange(1, 400).Draw(t, "tokens")
				largest = max(largest, tokens)
				q.Push(item(fmt.Sprint(o), share[o], ClassShort, tokens, 0))
			}
		}
		taken := make(map[string]int)
		waiting := organisations * 60
		for range waiting / 4 { // few enough that most organisations still have waiting requests
			i := q.Peek(start)
			q.Take(i)
			taken[i.Organisation] += i.Tokens
		}
		// In start-time fair queueing, the normalised service of two backlogged flows differs by at most one largest request of
		// each.
		for a := range share {
			for b := range share {
				if q.flows[fmt.Sprint(a)] == nil || len(q.flows[fmt.Sprint(a)].short) == 0 || len(q.flows[fmt.Sprint(b)].short) == 0 {
					continue
				}
				gap := float64(taken[fmt.Sprint(a)])/float64(share[a]) - float64(taken[fmt.Sprint(b)])/float64(share[b])
				if bound := float64(largest)/float64(share[a]) + float64(largest)/float64(share[b]); gap > bound {
					t.Fatalf("shares %d and %d: normalised service differs by %.0f, want at most %.0f", share[a], share[b], gap, bound)
				}
			}
		}
	})
}

// TestQueueOrder guards against a wrong order of classes, resumed runs and aged requests.
func TestQueueOrder(t *testing.T) {
	resumed := item("a", 1, ClassLong, 10, 300*time.Millisecond)
	resumed.Resumed = true
	for _, c := range []struct {
		name  string
		items []*Item
		at    time.Duration
		first int
	}{
		{"short before long", []*Item{item("a", 1, ClassLong, 10, 0), item("b", 1, ClassShort, 10, 100*time.Millisecond)}, 200 * time.Millisecond, 1},
		{"aged long before younger short", []*Item{item("a", 1, ClassLong, 10, 0), item("b", 1, ClassShort, 10, 100*time.Millisecond)}, 340 * time.Millisecond, 0},
		{"own short before own long", []*Item{item("a", 1, ClassLong, 10, 0), item("a", 1, ClassShort, 10, 0)}, 0, 1},
		{"resumed before all", []*Item{item("a", 1, ClassShort, 10, 0), resumed}, time.Second, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := NewQueue()
			for _, i := range c.items {
				q.Push(i)
			}
			if got := q.Peek(start.Add(c.at)); got != c.items[c.first] {
				t.Errorf("first request is %+v, want item %d", got, c.first)
			}
		})
	}
}

// TestLongRequestIsNotStarved guards against a long request that is never taken under a continuous load of short ones.
func TestLongRequestIsNotStarved(t *testing.T) {
	q := NewQueue()
	long := item("a", 1, ClassLong, 500, 0)
	q.Push(long)
	for step := range 100 {
		at := time.Duration(step) * 100 * time.Millisecond
		q.Push(item("a", 1, ClassShort, 50, at))
		q.Push(item("b", 8, ClassShort, 50, at))
		i := q.Peek(start.Add(at))
		q.Take(i)
		if i == long {
			return
		}
	}
	t.Error("the long request was not taken within 10 s of short requests")
}

// TestQueueKeepsEveryRequest guards against requests that are lost, returned twice or miscounted.
func TestQueueKeepsEveryRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue()
		var waiting []*Item
		now := start
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				class := rapid.SampledFrom([]Class{ClassShort, ClassLong}).Draw(t, "class")
				i := item(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "organisation"), 2, class, rapid.IntRange(1, 90).Draw(t, "tokens"), now.Sub(start))
				i.Resumed = rapid.IntRange(0, 9).Draw(t, "resumed") == 0
				q.Push(i)
				waiting = append(waiting, i)
			},
			"take": func(t *rapid.T) {
				i := q.Peek(now)
				if (i == nil) != (len(waiting) == 0) || (i != nil && !slices.Contains(waiting, i)) {
					t.Fatalf("Peek returned %v with %d requests waiting", i, len(waiting))
				}
				if i != nil {
					q.Take(i)
					at := slices.Index(waiting, i)
					waiting = slices.Delete(waiting, at, at+1)
				}
			},
			"remove": func(t *rapid.T) {
				if len(waiting) == 0 {
					t.Skip()
				}
				at := rapid.IntRange(0, len(waiting)-1).Draw(t, "at")
				if !q.Remove(waiting[at]) || q.Remove(waiting[at]) {
					t.Fatal("Remove of a waiting request must succeed exactly once")
				}
				waiting = slices.Delete(waiting, at, at+1)
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				tokens := 0
				for _, i := range waiting {
					tokens += i.Tokens
				}
				if q.Len() != len(waiting) || q.Tokens() != tokens || len(q.Items()) != len(waiting) {
					t.Fatalf("queue has %d requests with %d tokens, want %d with %d", q.Len(), q.Tokens(), len(waiting), tokens)
				}
			},
		})
	})
}

// TestRetryBudget guards against a budget that allows more retries than the fraction of first attempts and the burst, which
// would multiply the load under overload.
func TestRetryBudget(t *testing.T) {
	b := NewRetryBudget(start)
	allowed := 0
	for range 1000 {
		b.RecordFirstAttempt(start)
		if b.TakeRetry(start) {
			allowed++
		}
	}
	if most := 1000*retryFraction + retryBurst; float64(allowed) > most {
		t.Errorf("%d retries for 1000 first attempts, want at most %.0f", allowed, most)
	}
}

// TestDeadlineAndDispatcherLimit guards against the refusal of a request that can meet its deadline, against a long prompt
// that is refused on every attempt, and against a wrong part of an organisation's limit.
func TestDeadlineAndDispatcherLimit(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		predicted, deadline, idle time.Duration
		meets                     bool
	}{
		{600 * ms, 680 * ms, 50 * ms, true},
		{700 * ms, 680 * ms, 50 * ms, false},
		{900 * ms, 680 * ms, 900 * ms, true}, // an idle runner also takes longer than the deadline
		{1600 * ms, 680 * ms, 900 * ms, false},
		{time.Hour, 0, 0, true},
	} {
		if got := MeetsDeadline(c.predicted, c.deadline, c.idle); got != c.meets {
			t.Errorf("predicted %s, deadline %s, idle first token %s: MeetsDeadline returned %t", c.predicted, c.deadline, c.idle, got)
		}
	}
	for _, c := range []struct{ limit, own, all, share int }{{300, 3, 9, 100}, {10, 1, 3, 4}, {1, 1, 18, 1}, {0, 1, 3, 0}, {10, 3, 0, 10}} {
		if got := DispatcherLimit(c.limit, c.own, c.all); got != c.share {
			t.Errorf("limit %d, %d of %d runners: dispatcher limit %d, want %d", c.limit, c.own, c.all, got, c.share)
		}
	}
}
