package dispatch

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"chestnutrudder.example/rudder/limit"
	"chestnutrudder.example/rudder/object"
	"chestnutrudder.example/rudder/peer/peerpb"
)

func words(prefix string, count int) string {
	var b strings.Builder
	for i := range count {
		fmt.Fprintf(&b, "%s%d ", prefix, i)
	}
	return b.String()
}

// shareWithin returns the share of requests whose first-token time meets the target.
func shareWithin(times []time.Duration, target time.Duration, requests int) float64 {
	met := 0
	for _, t := range times {
		if t <= target {
			met++
		}
	}
	return float64(met) / float64(max(1, requests))
}

// simulateOverload simulates a large organisation that sends long requests at 60/s and four small ones that send short
// requests at 2/s each.
func simulateOverload(fifo bool, deadlineMillis int64) *simulation {
	sim := newSimulation("predicted", 9, 4096)
	sim.s.queue.FIFO = fifo
	random := rand.New(rand.NewPCG(1, 1))
	sim.schedulePoissonRequests(random, 60, 30*time.Second, func(i int) (*peerpb.RunRequest, int) {
		return &peerpb.RunRequest{
			Organisation: "large", Class: string(limit.ClassLong), Prompt: words(fmt.Sprintf("l%d-", i), 200),
			MaxTokens: 400, DeadlineMs: deadlineMillis, Attempt: 1,
		}, 4
	})
	for o := range 4 {
		sim.schedulePoissonRequests(random, 2, 30*time.Second, func(i int) (*peerpb.RunRequest, int) {
			return &peerpb.RunRequest{
				Organisation: fmt.Sprintf("small-%d", o), Class: string(limit.ClassShort),
				Prompt: words(fmt.Sprintf("s%d-%d-", o, i), 100), MaxTokens: 40, DeadlineMs: deadlineMillis, Attempt: 1,
			}, 1
		})
	}
	sim.run(40 * time.Second)
	return sim
}

// BenchmarkOverload measures short requests of small organisations while a large organisation sends three times the
// capacity.
func BenchmarkOverload(b *testing.B) {
	for _, c := range []struct {
		name     string
		fifo     bool
		deadline int64
	}{{"fair", false, 680}, {"fifo", true, 680}, {"fair-no-deadline", false, 0}, {"fifo-no-deadline", true, 0}} {
		b.Run(c.name, func(b *testing.B) {
			for range b.N {
				sim := simulateOverload(c.fifo, c.deadline)
				times, requests := sim.firstTokenTimes(limit.ClassShort)
				long, _ := sim.firstTokenTimes(limit.ClassLong)
				b.ReportMetric(100*shareWithin(times, 680*time.Millisecond, requests), "%short-in-0.68s")
				b.ReportMetric(float64(requests), "short")
				b.ReportMetric(float64(len(long)), "long-started")
			}
		})
	}
}

// BenchmarkPrefix compares the policies when requests share long prefixes.
func BenchmarkPrefix(b *testing.B) {
	for _, policy := range []string{"predicted", policyLeastLoaded, policyRoundRobin} {
		b.Run(policy, func(b *testing.B) {
			for range b.N {
				sim := newSimulation(policy, 6, 1024)
				random := rand.New(rand.NewPCG(2, 2))
				sim.schedulePoissonRequests(random, 30, 60*time.Second, func(i int) (*peerpb.RunRequest, int) {
					prompt := words(fmt.Sprintf("p%d-", random.IntN(60)), 1024) + words(fmt.Sprintf("q%d-", i), 32)
					return &peerpb.RunRequest{Organisation: "one", Prompt: prompt, MaxTokens: 64, Attempt: 1}, 1
				})
				sim.run(90 * time.Second)
				times, requests := sim.firstTokenTimes(limit.ClassShort)
				b.ReportMetric(float64(times[len(times)/2].Milliseconds()), "ms-median")
				b.ReportMetric(float64(times[len(times)*95/100].Milliseconds()), "ms-p95")
				b.ReportMetric(float64(sim.prefilledTokens)/float64(requests), "prefilled/request")
			}
		})
	}
}

// BenchmarkDecision measures one admission and placement.
func BenchmarkDecision(b *testing.B) {
	for _, runners := range []int{18, 64} {
		b.Run(fmt.Sprintf("%d-runners", runners), func(b *testing.B) {
			sim := newSimulation("predicted", runners, 4096)
			request := &peerpb.RunRequest{Organisation: "one", Prompt: words("w", 512), MaxTokens: 64, Attempt: 1, DeadlineMs: 680}
			run := newRun("r", "one", "", 0)
			b.ReportAllocs()
			for b.Loop() {
				t := newTask(run, request, 1, sim.now)
				if sim.s.admit(t, object.OrganisationSpec{}, sim.now) != nil {
					b.Fatal("request was refused")
				}
				sim.s.enqueue(t, sim.now)
				if sim.s.placeNext(sim.now) != t {
					b.Fatal("request was not placed")
				}
				sim.s.release(t)
			}
		})
	}
}
