package rollout

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	simulationStep = 100 * time.Millisecond
	mainRoute      = "main"
	otherRoute     = "other"
)

// simulation runs one order on a service whose requests are counted exactly. It models what DecideTraffic is told with the
// delay of reports, and what nodes do until they hear of a decision.
type simulation struct {
	rate      func(elapsed time.Duration) float64 // requests a second
	duration  time.Duration
	reportLag time.Duration // until the holder and the nodes know a count or a decision
	responseT time.Duration // until a response ends
	servers   int
	// newBad and oldBad return the share of bad responses of a route; newRatio the mean time relative to the predicted one.
	newBad, oldBad func(elapsed time.Duration, share float64, route string) float64
	newRatio       float64
	newStreams     int64         // milliseconds of a stream after its first event; those of the old version are 500
	drainTime      time.Duration // of the requests at the old servers

	total, sent, sentBefore       float64 // requests; sentBefore those until the deadline
	totalAtDeadline               float64
	newCounts, oldCounts          map[string]Counts
	history                       []snapshot
	decision                      TrafficDecision
	fullSince                     time.Duration
	doneAt, reversedAt, lastNewAt time.Duration
	answers                       []pendingAnswer
	fractions                     map[string]float64
}

type snapshot struct {
	total, sent          float64
	newCounts, oldCounts map[string]Counts
	share                float64
}

type pendingAnswer struct {
	at          time.Duration
	route       string
	isNew       bool
	count, bad  float64
	meanPercent float64
}

func newSimulation(rate float64, duration time.Duration) *simulation {
	none := func(time.Duration, float64, string) float64 { return 0 }
	return &simulation{
		rate: func(time.Duration) float64 { return rate }, duration: duration, reportLag: 600 * time.Millisecond, responseT: 200 * time.Millisecond,
		servers: 10, newBad: none, oldBad: none, newRatio: 1, drainTime: 2 * time.Second,
		newCounts: map[string]Counts{}, oldCounts: map[string]Counts{}, fractions: map[string]float64{}, decision: TrafficDecision{Phase: PhaseRolling},
	}
}

// whole returns the whole number of requests of a flow, and keeps the rest for the next call.
func (s *simulation) whole(name string, v float64) int64 {
	s.fractions[name] += v
	n := math.Floor(s.fractions[name] + 1e-9)
	s.fractions[name] -= n
	return int64(n)
}

// run runs the simulation until the rollout has ended, at most for the given time.
func (s *simulation) run(limit time.Duration) {
	for now := time.Duration(0); now < limit; now += simulationStep {
		s.serve(now)
		s.decide(now)
		if s.decision.Phase == PhaseDone || s.decision.Phase == PhaseReversing && now > s.reversedAt+s.reportLag {
			return
		}
	}
}

// reported returns what is known now of the state of reportLag ago.
func (s *simulation) reported() snapshot {
	return s.history[max(len(s.history)-1-int(s.reportLag/simulationStep), 0)]
}

func (s *simulation) serve(now time.Duration) {
	share := 0.0
	if len(s.history) > 0 {
		share = s.reported().share // what the nodes have heard of
	}
	arrived := s.rate(now) * simulationStep.Seconds()
	s.total += arrived
	s.sent += arrived * share
	if now < s.duration {
		s.totalAtDeadline, s.sentBefore = s.total, s.sent
	}
	if share > 0 && arrived > 0 {
		s.lastNewAt = now
	}
	for route, part := range map[string]float64{mainRoute: 0.8, otherRoute: 0.2} {
		s.answers = append(s.answers,
			pendingAnswer{now + s.responseT, route, true, arrived * share * part, s.newBad(now, share, route), 100 * s.newRatio},
			pendingAnswer{now + s.responseT, route, false, arrived * (1 - share) * part, s.oldBad(now, share, route), 100})
	}
	for len(s.answers) > 0 && s.answers[0].at <= now {
		s.end(s.answers[0])
		s.answers = s.answers[1:]
	}
	s.history = append(s.history, snapshot{s.total, s.sent, cloneCounts(s.newCounts), cloneCounts(s.oldCounts), s.decision.Share})
}

func (s *simulation) end(a pendingAnswer) {
	counts := s.oldCounts
	if a.isNew {
		counts = s.newCounts
	}
	c := counts[a.route]
	name := fmt.Sprint(a.route, a.isNew)
	ended := s.whole(name, a.count)
	bad := s.whole(name+"bad", float64(ended)*a.bad)
	c.Answered, c.Failed = c.Answered+ended-bad, c.Failed+bad
	if c.Streams += ended - bad; a.isNew && s.newStreams > 0 {
		c.StreamMillis += s.newStreams * (ended - bad)
	} else {
		c.StreamMillis += 500 * (ended - bad)
	}
	c.RatioPercent += int64(a.meanPercent) * (ended - bad)
	if bad > 0 || a.meanPercent > 100*TrafficStrategy.Comparison.SlowFactor {
		c.Servers |= 7
	}
	counts[a.route] = c
}

func cloneCounts(in map[string]Counts) map[string]Counts {
	out := map[string]Counts{}
	for k, v := range in {
		out[k] = v
	}
	return out
}

func (s *simulation) decide(now time.Duration) {
	r := s.reported()
	var tracker evidenceWindow
	for _, h := range s.history[max(len(s.history)-1-int((s.reportLag+evidenceTime)/simulationStep), 0):] {
		tracker.add(totals{New: h.newCounts, Old: h.oldCounts})
	}
	evidence := tracker.evidence(totals{New: r.newCounts, Old: r.oldCounts}, s.servers)
	isFull := s.decision.Share >= 1
	if !isFull {
		s.fullSince = now
	}
	in := TrafficInput{
		Phase: s.decision.Phase, Share: s.decision.Share, Elapsed: now, Duration: s.duration, Bounds: Bounds{Share: 0.1, Slack: 50},
		Total: int64(r.total), Sent: int64(r.sent), Rate: s.rate(max(now-s.reportLag, 0)), CountLag: s.reportLag + simulationStep, Evidence: evidence,
		Answers: sumCounts(r.newCounts).ended(), OldServers: 10, FullFor: now - s.fullSince, IsOldIdle: isFull && now-s.fullSince > s.drainTime+s.reportLag,
	}
	d := DecideTraffic(in, &TrafficStrategy)
	if d.Phase == PhaseReversing && s.decision.Phase == PhaseRolling {
		s.reversedAt = now
	}
	if d.Phase == PhaseDone && s.doneAt == 0 {
		s.doneAt = now
	}
	if d.Reason == "" {
		d.Reason = s.decision.Reason
	}
	s.decision = d
}

func (s *simulation) bound() float64 { return 0.1*s.totalAtDeadline + 50 }

// badFrom returns the share of bad responses of a version that turns bad at the given time.
func badFrom(at time.Duration, share float64) func(time.Duration, float64, string) float64 {
	return func(now time.Duration, _ float64, _ string) float64 {
		if now >= at {
			return share
		}
		return 0
	}
}

// Guards against a bad version that gets more requests than the bound allows, or is completed, and a good one that is rolled
// back.
func TestTrafficRollouts(t *testing.T) {
	noise := func(now time.Duration, _ float64, _ string) float64 {
		if now%(3*time.Second) < time.Second {
			return 0.3
		}
		return 0.02
	}
	for name, c := range map[string]struct {
		change func(*simulation)
		want   Phase
	}{
		"good":                             {func(*simulation) {}, PhaseDone},
		"bad at once":                      {func(s *simulation) { s.newBad = badFrom(0, 0.3) }, PhaseReversing},
		"all responses bad":                {func(s *simulation) { s.newBad = badFrom(0, 1) }, PhaseReversing},
		"bad from half of the time":        {func(s *simulation) { s.newBad = badFrom(6*time.Second, 0.3) }, PhaseReversing},
		"bad shortly before the last step": {func(s *simulation) { s.newBad = badFrom(11*time.Second, 0.5) }, PhaseReversing},
		"bad only under load": {func(s *simulation) {
			s.newBad = func(_ time.Duration, share float64, _ string) float64 {
				if share > 0.5 {
					return 0.4
				}
				return 0
			}
		}, PhaseReversing},
		"bad on one route only": {func(s *simulation) {
			s.newBad = func(_ time.Duration, _ float64, route string) float64 {
				if route == otherRoute {
					return 0.6
				}
				return 0
			}
		}, PhaseReversing},
		"several times slower":         {func(s *simulation) { s.newRatio = 2.9 }, PhaseReversing},
		"streams several times slower": {func(s *simulation) { s.newStreams = 1500 }, PhaseReversing},
		"streams somewhat slower":      {func(s *simulation) { s.newStreams = 900 }, PhaseDone},
		"noise that hits both":         {func(s *simulation) { s.newBad, s.oldBad = noise, noise }, PhaseDone},
		"both somewhat slow":           {func(s *simulation) { s.newRatio = 1.6 }, PhaseDone},
		"no server":                    {func(s *simulation) { s.servers = 0 }, PhaseRolling},
		"streams of 15 s end late":     {func(s *simulation) { s.drainTime = 15 * time.Second }, PhaseDone},
	} {
		for _, rate := range []float64{20, 100, 800} {
			t.Run(fmt.Sprint(name, " ", rate), func(t *testing.T) {
				s := newSimulation(rate, 12*time.Second)
				c.change(s)
				s.run(40 * time.Second)
				if s.decision.Phase != c.want {
					t.Errorf("phase %s (%s), want %s", s.decision.Phase, s.decision.Reason, c.want)
				}
				if s.sentBefore > s.bound() {
					t.Errorf("%.0f requests at the new version before the deadline, the bound is %.0f", s.sentBefore, s.bound())
				}
				if s.servers == 0 && s.sent > 0 {
					t.Errorf("%.0f requests are meant for a version without servers", s.sent)
				}
				t.Logf("sent %.0f of %.0f allowed, done at %s, reversed at %s", s.sentBefore, s.bound(), s.doneAt, s.reversedAt)
			})
		}
	}
}

// Guards against a bound that is broken by a version that turns bad at some moment, or by rates that rise and fall.
func TestExposureBoundHoldsAtAnyMoment(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		duration := time.Duration(rapid.IntRange(12, 90).Draw(t, "seconds")) * time.Second
		rate := math.Exp(rapid.Float64Range(-1, 7).Draw(t, "log rate"))
		dipAt := time.Duration(rapid.Int64Range(0, int64(duration)).Draw(t, "dip at"))
		dip := rapid.Float64Range(0.6, 1.5).Draw(t, "rate after the dip")
		badAt := time.Duration(rapid.Int64Range(0, int64(duration)).Draw(t, "bad at"))
		badShare := rapid.Float64Range(0.2, 1).Draw(t, "share of bad responses")
		s := newSimulation(rate, duration)
		s.reportLag = time.Duration(rapid.IntRange(1, 12).Draw(t, "report lag")) * simulationStep
		s.rate = func(now time.Duration) float64 {
			if now >= dipAt {
				return rate * dip
			}
			return rate
		}
		if rapid.Bool().Draw(t, "is bad") {
			s.newBad = badFrom(badAt, badShare)
		}
		s.run(duration + 5*time.Second)
		if s.sentBefore > s.bound() {
			t.Fatalf("%.0f requests at the new version, the bound is %.0f (phase %s)", s.sentBefore, s.bound(), s.decision.Phase)
		}
	})
}

// Guards against a rollout that goes on while the order or the counts are not certain, and a phase that is left again.
func TestUncertainRolloutIsNotExtended(t *testing.T) {
	in := TrafficInput{
		Phase: PhaseRolling, Share: 0.03, Elapsed: 20 * time.Second, Duration: 12 * time.Second, Bounds: Bounds{Share: 0.1, Slack: 50},
		Total: 1000, Sent: 10, Rate: 100, Evidence: Evidence{Servers: 3}, OldServers: 3, IsUncertain: true,
	}
	if d := DecideTraffic(in, &TrafficStrategy); d.Share > 0.03 || d.Phase != PhaseRolling {
		t.Errorf("uncertain: %+v, want the present share at most", d)
	}
	in.Share, in.FullFor, in.IsOldIdle = 1, time.Minute, true
	if d := DecideTraffic(in, &TrafficStrategy); d.Phase != PhaseRolling {
		t.Errorf("uncertain, all requests moved: %+v, want no completion", d)
	}
	for _, phase := range []Phase{PhaseReversing, PhaseReversed} {
		in.Phase, in.IsUncertain = phase, false
		if d := DecideTraffic(in, &TrafficStrategy); d.Phase != phase || d.Share != 0 {
			t.Errorf("after a rollback: %+v, want no requests", d)
		}
	}
}

// Guards against a last step that comes so late that the streams at old servers cannot end by the deadline, although the bound
// leaves room for them.
func TestGoodVersionEndsInTime(t *testing.T) {
	for _, c := range []struct {
		rate     float64
		duration time.Duration
		allowed  time.Duration // after the deadline, where the bound leaves no room
	}{
		{5, 12 * time.Second, 0}, {20, 12 * time.Second, 3 * time.Second}, {300, 12 * time.Second, 3 * time.Second},
		{5, 60 * time.Second, 0}, {100, 60 * time.Second, 0}, {800, 60 * time.Second, 0}, {100, 120 * time.Second, 0},
	} {
		t.Run(fmt.Sprint(c.rate, " ", c.duration), func(t *testing.T) {
			s := newSimulation(c.rate, c.duration)
			s.reportLag = 300 * time.Millisecond
			s.run(c.duration + 20*time.Second)
			if s.doneAt == 0 || s.doneAt > c.duration+c.allowed {
				t.Errorf("done at %s, want at most %s after %s", s.doneAt, c.allowed, c.duration)
			}
			t.Logf("done at %s, sent %.0f of %.0f", s.doneAt, s.sentBefore, s.bound())
		})
	}
}
