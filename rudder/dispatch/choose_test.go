package dispatch

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chestnutrudder.example/rudder/engine"
	"chestnutrudder.example/rudder/limit"
	"chestnutrudder.example/rudder/object"
	"chestnutrudder.example/rudder/peer/peerpb"
)

// TestChooseBackend guards against a runner that serves the request later, riskier or dearer than another one.
func TestChooseBackend(t *testing.T) {
	base := candidate{free: 4, prefillRate: 8000, stepMillis: 12}
	with := func(change func(*candidate)) candidate { c := base; change(&c); return c }
	risky := with(func(c *candidate) { c.reclaimable, c.price = true, 1 })
	safe := with(func(c *candidate) { c.price = 3 })
	for _, c := range []struct {
		name       string
		policy     string
		candidates []candidate
		p          placement
		want       int
	}{
		{"no slot", "predicted", []candidate{with(func(c *candidate) { c.free = 0 })}, placement{}, -1},
		{"no candidate", policyRoundRobin, nil, placement{}, -1},
		{"prefix cached", "predicted", []candidate{base, with(func(c *candidate) { c.cached = 800 })}, placement{promptTokens: 1000}, 1},
		{"backlog outweighs the prefix", "predicted", []candidate{base, with(func(c *candidate) { c.cached, c.backlog = 800, 900 })}, placement{promptTokens: 1000}, 0},
		{"late report", "predicted", []candidate{with(func(c *candidate) { c.reportAge = 2 * time.Second }), base}, placement{promptTokens: 100}, 1},
		{"smaller batch among equals", "predicted", []candidate{with(func(c *candidate) { c.running = 3 }), base}, placement{}, 1},
		{"long on a host that stays", "predicted", []candidate{risky, safe}, placement{class: limit.ClassLong, preference: object.Preference{RecomputedTokens: 0.7}}, 1},
		{"short on the cheap host", "predicted", []candidate{safe, risky}, placement{class: limit.ClassShort, preference: object.Preference{Cost: 0.7}}, 1},
		{"least loaded", policyLeastLoaded, []candidate{base, with(func(c *candidate) { c.free = 5 })}, placement{}, 1},
		{"round robin passes over full ones", policyRoundRobin, []candidate{with(func(c *candidate) { c.free = 0 }), base}, placement{}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got, reason := chooseBackend(c.policy, c.candidates, c.p, 0); got != c.want {
				t.Errorf("chose %d (%s), expected %d", got, reason, c.want)
			}
		})
	}
}

// TestNoHerd guards against requests that all follow one load report: 12 requests at once, with one runner that has just
// come back empty, have to spread as their prefill adds up.
func TestNoHerd(t *testing.T) {
	tl := newTimeline("predicted", 4, 64)
	for i := range 12 {
		ticket := newTicket(newRun("", "", "", 0), requestOf(i), 1, tl.now)
		tl.s.push(ticket, tl.now)
		if tl.s.next(tl.now) != ticket {
			t.Fatal("not placed")
		}
	}
	for _, b := range tl.s.backends {
		if len(b.tickets) != 3 {
			t.Errorf("%s got %d of 12 requests, expected 3", b.Host.Name, len(b.tickets))
		}
	}
}

func requestOf(i int) *peerpb.RunRequest {
	return &peerpb.RunRequest{Organisation: "a", Prompt: words(fmt.Sprintf("n%d-", i), 100), MaxTokens: 10, Attempt: 1}
}

// TestPrefixCopy guards against belief in blocks that the runner no longer holds.
func TestPrefixCopy(t *testing.T) {
	now := time.Unix(1000, 0)
	blocks := []uint64{1, 2, 3, 4}
	stored := func(sequence int64, blocks ...uint64) engine.CacheEvent {
		return engine.CacheEvent{Sequence: sequence, Stored: true, Blocks: blocks}
	}
	for _, c := range []struct {
		name   string
		change func(*prefixCopy)
		age    time.Duration
		tokens int
	}{
		{"stored", func(p *prefixCopy) { p.take(engine.CacheEvents{Events: []engine.CacheEvent{stored(1, 1, 2, 3)}}, now) }, 0, 48},
		{"evicted in the middle", func(p *prefixCopy) {
			p.take(engine.CacheEvents{Events: []engine.CacheEvent{stored(1, 1, 2, 3), {Sequence: 2, Blocks: []uint64{2}}}}, now)
		}, 0, 16},
		{"gap drops what was before", func(p *prefixCopy) {
			p.take(engine.CacheEvents{Events: []engine.CacheEvent{stored(1, 1, 2), stored(3, 3)}}, now)
		}, 0, 0},
		{"repeated events change nothing", func(p *prefixCopy) {
			p.take(engine.CacheEvents{Events: []engine.CacheEvent{stored(1, 1), {Sequence: 2, Blocks: []uint64{1}}, stored(1, 1)}}, now)
		}, 0, 0},
		{"belief halves", func(p *prefixCopy) { p.learn(blocks, now) }, prefixHalfLife, 32},
		{"started run", func(p *prefixCopy) { p.started(blocks, 16, now) }, 0, 64},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPrefixCopy()
			c.change(&p)
			if got := p.expected(blocks, now.Add(c.age)); got != c.tokens {
				t.Errorf("%d tokens expected to be cached, want %d", got, c.tokens)
			}
		})
	}
}

// TestPrefixCopyIsBounded guards against a copy that grows with each prompt.
func TestPrefixCopyIsBounded(t *testing.T) {
	p := newPrefixCopy()
	for i := range uint64(3 * maxPrefixBlocks) {
		p.learn([]uint64{i}, time.Unix(int64(i), 0))
	}
	if len(p.seen) > maxPrefixBlocks {
		t.Errorf("%d blocks, expected at most %d", len(p.seen), maxPrefixBlocks)
	}
}

// TestBatchBound guards against batches whose decode step misses the between-token target.
func TestBatchBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := rapid.Float64Range(1, 20).Draw(t, "base")
		slope := rapid.Float64Range(0.05, 3).Draw(t, "slope")
		var m stepModel
		for range 30 {
			batch := rapid.IntRange(1, 16).Draw(t, "batch")
			m.observe(batch, base+slope*float64(batch))
		}
		m.observe(1, base+slope)
		m.observe(16, base+slope*16)
		got := m.largestBatch(16, 27)
		if got < 1 || got > 16 || (got > 1 && base+slope*float64(got) > 27.01) || (got < 16 && base+slope*float64(got+1) < 26.99) {
			t.Fatalf("base %.2f, slope %.2f: batch %d", base, slope, got)
		}
	})
}

// TestBreaker guards against new work for a runner that fails, and against one that is never tried again.
func TestBreaker(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newBreaker()
	b.pause.RandomizationFactor = 0
	for range breakerFailures {
		if !b.allows(now) {
			t.Fatal("open before enough failures")
		}
		b.failed(now, false)
	}
	if b.allows(now) {
		t.Error("closed after enough failures")
	}
	later := now.Add(breakerLongest)
	if !b.allows(later) {
		t.Error("no probe after the back-off")
	}
	b.placed()
	if b.allows(later) {
		t.Error("second run beside the probe")
	}
	b.failed(later, false)
	if b.allows(later) || !b.allows(later.Add(breakerLongest)) {
		t.Error("a failed probe has to start another back-off")
	}
	b.succeeded()
	if !b.allows(later) {
		t.Error("open after a success")
	}
}

// TestAnswerLengths guards against refusals that expect every answer to be as long as the caller allows.
func TestAnswerLengths(t *testing.T) {
	a := answerLengths{}
	if got := a.expected(limit.ClassLong, 100); got != 100 {
		t.Errorf("expected %.0f tokens before the first answer, want all 100", got)
	}
	for range 200 {
		a.learn(limit.ClassLong, 25, 100)
	}
	if got := a.expected(limit.ClassLong, 400); got < 99 || got > 101 {
		t.Errorf("expected %.0f of 400 tokens after answers of a quarter, want 100", got)
	}
	if got := a.expected(limit.ClassShort, 40); got != 40 {
		t.Errorf("expected %.0f tokens of the other class, want all 40", got)
	}
}
