package reclaim

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chestnutrudder.example/rudder/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, "seed=20") }

func drawRuns(t *rapid.T) []Run {
	count := rapid.IntRange(0, 30).Draw(t, "runs")
	runs := make([]Run, count)
	for i := range runs {
		runs[i] = Run{
			ID:        fmt.Sprint(i),
			Tokens:    rapid.IntRange(0, 20_000).Draw(t, "tokens"),
			Remaining: time.Duration(rapid.IntRange(0, 60_000).Draw(t, "remaining")) * time.Millisecond,
		}
	}
	return runs
}

// TestPlanFitsExportsAndSavesMostTokens guards against exports that do not fit into the notice, runs left on a host that
// goes away before they end, and runs recomputed although their export would have fitted or would have saved more than
// another.
func TestPlanFitsExportsAndSavesMostTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		runs := drawRuns(t)
		l := Limits{
			TimeLeft:              time.Duration(rapid.IntRange(-1000, 30_000).Draw(t, "left")) * time.Millisecond,
			Margin:                time.Duration(rapid.IntRange(0, 2000).Draw(t, "margin")) * time.Millisecond,
			ExportTokensPerSecond: float64(rapid.IntRange(0, 10_000).Draw(t, "rate")),
			ExportOverhead:        time.Duration(rapid.IntRange(0, 200).Draw(t, "overhead")) * time.Millisecond,
		}
		usableTime := l.TimeLeft - l.Margin
		seen := map[string]bool{}
		var used, lastEnd time.Duration
		smallest := Run{Tokens: 1 << 30}
		decisions := Plan(runs, l)
		for _, d := range decisions {
			if seen[d.ID] {
				t.Fatalf("run %s has two decisions", d.ID)
			}
			seen[d.ID] = true
			if (d.Action == Finish) != (d.Remaining <= usableTime) {
				t.Fatalf("run with %v remaining: decision is %v with %v of usable time", d.Remaining, d.Action, usableTime)
			}
			if d.Action != Export {
				continue
			}
			used += l.exportTime(d.Run)
			if d.ExportEnd < lastEnd || d.ExportEnd != used || used > usableTime {
				t.Fatalf("export ends at %v, the previous one at %v, usable time is %v", d.ExportEnd, lastEnd, usableTime)
			}
			lastEnd = d.ExportEnd
			if d.Tokens < smallest.Tokens {
				smallest = d.Run
			}
		}
		if len(seen) != len(runs) {
			t.Fatalf("%d decisions for %d runs", len(seen), len(runs))
		}
		for _, d := range decisions {
			if d.Action != Resume || d.Tokens == 0 || l.ExportTokensPerSecond == 0 {
				continue
			}
			if cost := l.exportTime(d.Run); used+cost <= usableTime {
				t.Fatalf("run of %d tokens is recomputed although its export fits", d.Tokens)
			} else if d.Tokens > smallest.Tokens && used-l.exportTime(smallest)+cost <= usableTime && l.savedTokensPerSecond(d.Run) > l.savedTokensPerSecond(smallest) {
				t.Fatalf("run of %d tokens is recomputed while one of %d tokens is exported", d.Tokens, smallest.Tokens)
			}
		}
	})
}

// TestAssignTargetsSpreadsRunsOutsideReclaimDomains guards against moving all runs to one host, or into the failure domain
// that will be reclaimed next.
func TestAssignTargetsSpreadsRunsOutsideReclaimDomains(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var candidates []Target
		domains := rapid.IntRange(1, 4).Draw(t, "domains")
		hosts := rapid.IntRange(1, 4).Draw(t, "hosts")
		reclaimDomains := map[string]bool{}
		for d := range domains {
			name := fmt.Sprint("d", d)
			reclaimDomains[name] = rapid.Bool().Draw(t, "wave")
			for h := range hosts {
				candidates = append(candidates, Target{Host: fmt.Sprint(name, "-", h), FailureDomain: name, FreeSlots: -1})
			}
		}
		var runs []string
		for i := range rapid.IntRange(0, 40).Draw(t, "runs") {
			runs = append(runs, fmt.Sprint(i))
		}
		otherDomains := 0
		for _, isReclaimed := range reclaimDomains {
			if !isReclaimed {
				otherDomains++
			}
		}
		allowed := otherDomains
		if otherDomains == 0 {
			allowed = domains
		}
		perHost := map[string]int{}
		for _, target := range AssignTargets(runs, candidates, reclaimDomains) {
			if otherDomains > 0 && reclaimDomains[target.FailureDomain] {
				t.Fatalf("target %s is in a failure domain that is being reclaimed", target.Host)
			}
			perHost[target.Host]++
		}
		evenShare := (len(runs) + allowed*hosts - 1) / (allowed * hosts)
		for host, count := range perHost {
			if count > evenShare+1 {
				t.Fatalf("host %s gets %d of %d runs, an even share is %d", host, count, len(runs), evenShare)
			}
		}
	})
}

// TestAssignTargetsPrefersFreeSlots guards against moves to a host that is known to be full while another one has free
// slots.
func TestAssignTargetsPrefersFreeSlots(t *testing.T) {
	got := AssignTargets([]string{"1", "2"}, []Target{{Host: "full", FailureDomain: "a"}, {Host: "free", FailureDomain: "a", FreeSlots: 2}}, nil)
	if got["1"].Host != "free" || got["2"].Host != "free" {
		t.Errorf("targets are %v, expected the host with free slots", got)
	}
}
