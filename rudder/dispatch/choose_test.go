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

// TestChooseBackend guards against the choice of a runner that serves the request later, at a higher reclaim risk or at a
// higher price than another one.
func TestChooseBackend(t *testing.T) {
	base := candidate{freeSlots: 4, prefillRate: 8000, decodeStepMillis: 12}
	with := func(change func(*candidate)) candidate { c := base; change(&c); return c }
	risky := with(func(c *candidate) { c.reclaimable, c.priceMicrosPerHour = true, 1 })
	safe := with(func(c *candidate) { c.priceMicrosPerHour = 3 })
	for _, c := range []struct {
		name       string
		policy     string
		candidates []candidate
		p          placementRequest
		want       int
	}{
		{"no slot", "predicted", []candidate{with(func(c *candidate) { c.freeSlots = 0 })}, placementRequest{}, -1},
		{"no candidate", policyRoundRobin, nil, placementRequest{}, -1},
		{"prefix cached", "predicted", []candidate{base, with(func(c *candidate) { c.cachedTokens = 800 })}, placementRequest{promptTokens: 1000}, 1},
		{"backlog outweighs the prefix", "predicted", []candidate{base, with(func(c *candidate) { c.cachedTokens, c.prefillBacklog = 800, 900 })}, placementRequest{promptTokens: 1000}, 0},
		{"late report", "predicted", []candidate{with(func(c *candidate) { c.reportAge = 2 * time.Second }), base}, placementRequest{promptTokens: 100}, 1},
		{"smaller batch among equals", "predicted", []candidate{with(func(c *candidate) { c.runsInBatch = 3 }), base}, placementRequest{}, 1},
		{"long on a host that stays", "predicted", []candidate{risky, safe}, placementRequest{class: limit.ClassLong, preference: object.Preference{RecomputedTokens: 0.7}}, 1},
		{"short on the cheap host", "predicted", []candidate{safe, risky}, placementRequest{class: limit.ClassShort, preference: object.Preference{Cost: 0.7}}, 1},
		{"least loaded", policyLeastLoaded, []candidate{base, with(func(c *candidate) { c.freeSlots = 5 })}, placementRequest{}, 1},
		{"round robin passes over full ones", policyRoundRobin, []candidate{with(func(c *candidate) { c.freeSlots = 0 }), base}, placementRequest{}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got, reason := chooseBackend(c.policy, c.candidates, c.p, 0); got != c.want {
				t.Errorf("chose %d (%s), expected %d", got, reason, c.want)
			}
		})
	}
}

// TestSimultaneousRequestsSpread guards against requests that all go to the runner with the best load report, such as one
// that has just come back empty: 12 requests at once have to spread as their prefill backlog adds up.
func TestSimultaneousRequestsSpread(t *testing.T) {
	sim := newSimulation("predicted", 4, 64)
	for i := range 12 {
		task := newTask(newRun("", "", "", 0), newTestRequest(i), 1, sim.now)
		sim.s.enqueue(task, sim.now)
		if sim.s.placeNext(sim.now) != task {
			t.Fatal("request was not placed")
		}
	}
	for _, b := range sim.s.backends {
		if len(b.tasks) != 3 {
			t.Errorf("%s got %d of 12 requests, expected 3", b.Host.Name, len(b.tasks))
		}
	}
}

func newTestRequest(i int) *peerpb.RunRequest {
	return &peerpb.RunRequest{Organisation: "a", Prompt: words(fmt.Sprintf("n%d-", i), 100), MaxTokens: 10, Attempt: 1}
}

// TestPrefixCacheEstimate guards against counting blocks that the runner no longer holds.
func TestPrefixCacheEstimate(t *testing.T) {
	now := time.Unix(1000, 0)
	blocks := []uint64{1, 2, 3, 4}
	stored := func(sequence int64, blocks ...uint64) engine.CacheEvent {
		return engine.CacheEvent{Sequence: sequence, Stored: true, Blocks: blocks}
	}
	for _, c := range []struct {
		name   string
		change func(*prefixCacheEstimate)
		age    time.Duration
		tokens int
	}{
		{"stored", func(p *prefixCacheEstimate) {
			p.applyEvents(engine.CacheEvents{Events: []engine.CacheEvent{stored(1, 1, 2, 3)}}, now)
		}, 0, 48},
		{"evicted in the middle", func(p *prefixCacheEstimate) {
			p.applyEvents(engine.CacheEvents{Events: []engine.CacheEvent{stored(1, 1, 2, 3), {Sequence: 2, Blocks: []uint64{2}}}}, now)
		}, 0, 16},
		{"gap drops what was before", func(p *prefixCacheEstimate) {
			p.applyEvents(engine.CacheEvents{Events: []engine.CacheEvent{stored(1, 1, 2), stored(3, 3)}}, now)
		}, 0, 0},
		{"repeated events change nothing", func(p *prefixCacheEstimate) {
			p.applyEvents(engine.CacheEvents{Events: []engine.CacheEvent{stored(1, 1), {Sequence: 2, Blocks: []uint64{1}}, stored(1, 1)}}, now)
		}, 0, 0},
		{"belief halves", func(p *prefixCacheEstimate) { p.markCached(blocks, now) }, prefixHalfLife, 32},
		{"started run", func(p *prefixCacheEstimate) { p.applyRunStart(blocks, 16, now) }, 0, 64},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPrefixCacheEstimate()
			c.change(&p)
			if got := p.expectedCachedTokens(blocks, now.Add(c.age)); got != c.tokens {
				t.Errorf("%d tokens expected to be cached, want %d", got, c.tokens)
			}
		})
	}
}

// TestPrefixCacheEstimateIsBounded guards against an estimate that grows with each prompt.
func TestPrefixCacheEstimateIsBounded(t *testing.T) {
	p := newPrefixCacheEstimate()
	for i := range uint64(3 * maxPrefixBlocks) {
		p.markCached([]uint64{i}, time.Unix(int64(i), 0))
	}
	if len(p.lastSeen) > maxPrefixBlocks {
		t.Errorf("estimate holds %d blocks, expected at most %d", len(p.lastSeen), maxPrefixBlocks)
	}
}

// TestMaxBatchMeetsTarget guards against batches whose decode step misses the between-token target.
func TestMaxBatchMeetsTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := rapid.Float64Range(1, 20).Draw(t, "base")
		slope := rapid.Float64Range(0.05, 3).Draw(t, "slope")
		var m decodeStepModel
		for range 30 {
			batch := rapid.IntRange(1, 16).Draw(t, "batch")
			m.observe(batch, base+slope*float64(batch))
		}
		m.observe(1, base+slope)
		m.observe(16, base+slope*16)
		got := m.maxBatch(16, 27)
		if got < 1 || got > 16 || (got > 1 && base+slope*float64(got) > 27.01) || (got < 16 && base+slope*float64(got+1) < 26.99) {
			t.Fatalf("decode step of %.2f ms plus %.2f ms per run: maximum batch %d is not the largest one within 27 ms", base, slope, got)
		}
	})
}

// TestBreaker guards against new runs on a runner that fails, and against a runner that is never tried again.
func TestBreaker(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newBreaker()
	b.retryBackoff.RandomizationFactor = 0
	for range breakerFailureThreshold {
		if !b.allowsPlacement(now) {
			t.Fatal("breaker is open before the failure threshold")
		}
		b.recordFailure(now, false)
	}
	if b.allowsPlacement(now) {
		t.Error("breaker is closed at the failure threshold")
	}
	later := now.Add(breakerMaxBackoff)
	if !b.allowsPlacement(later) {
		t.Error("breaker allows no probe after the back-off")
	}
	b.recordPlacement()
	if b.allowsPlacement(later) {
		t.Error("breaker allows a second run during the probe")
	}
	b.recordFailure(later, false)
	if b.allowsPlacement(later) || !b.allowsPlacement(later.Add(breakerMaxBackoff)) {
		t.Error("failed probe did not start another back-off")
	}
	b.recordSuccess()
	if !b.allowsPlacement(later) {
		t.Error("breaker is open after a success")
	}
}

// TestAnswerLengthRatios guards against refusals that expect every answer to be as long as the caller allows.
func TestAnswerLengthRatios(t *testing.T) {
	a := answerLengthRatios{}
	if got := a.expectedTokens(limit.ClassLong, 100); got != 100 {
		t.Errorf("expected %.0f tokens before the first answer, want all 100", got)
	}
	for range 200 {
		a.observe(limit.ClassLong, 25, 100)
	}
	if got := a.expectedTokens(limit.ClassLong, 400); got < 99 || got > 101 {
		t.Errorf("expected %.0f of 400 tokens after answers of a quarter, want 100", got)
	}
	if got := a.expectedTokens(limit.ClassShort, 40); got != 40 {
		t.Errorf("expected %.0f tokens of the other class, want all 40", got)
	}
}
