package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chestnutrudder.example/rudder/cloud"
	"chestnutrudder.example/rudder/engine"
	"chestnutrudder.example/rudder/internal/rapidtest"
	"chestnutrudder.example/rudder/limit"
	"chestnutrudder.example/rudder/object"
	"chestnutrudder.example/rudder/peer/peerpb"
	"chestnutrudder.example/rudder/quarantine"
)

func TestMain(m *testing.M) { rapidtest.Main(m, "seed=20261204") }

// schedulerModel is the reference model of the scheduler: it tracks the state of every task in plain lists.
type schedulerModel struct {
	s          *scheduler
	now        time.Time
	all        []*Backend // including those that were removed
	waiting    []*task
	running    []*task
	lastNumber int
}

const modelSlots = 3

var testNow = time.Unix(1000, 0)

func (m *schedulerModel) addBackend() {
	m.lastNumber++
	b := newBackend(cloud.Host{Name: fmt.Sprintf("host-%d", m.lastNumber), Backend: object.BackendModel, Address: "http://127.0.0.1:1"})
	b.breaker.retryBackoff.RandomizationFactor = 0
	b.applyLoadReport(engine.LoadReport{Slots: modelSlots, PrefillTokensPerSec: 8000, DecodeStepMillis: 10, Running: 1}, m.now, 1)
	m.s.addBackend(b)
	m.all = append(m.all, b)
}

func (m *schedulerModel) placeWaiting(t *rapid.T) {
	for placed := m.s.placeNext(m.now); placed != nil; placed = m.s.placeNext(m.now) {
		at := slices.Index(m.waiting, placed)
		if at < 0 {
			t.Fatalf("placed request %s, which does not wait", placed.request.Run)
		}
		m.waiting = slices.Delete(m.waiting, at, at+1)
		m.running = append(m.running, placed)
		if b := placed.backend; len(b.tasks)+b.foreignRuns > modelSlots {
			t.Fatalf("%s has %d own and %d foreign runs, slots %d", b.Host.Name, len(b.tasks), b.foreignRuns, modelSlots)
		}
	}
}

func (m *schedulerModel) submit(t *rapid.T) {
	m.lastNumber++
	class := rapid.SampledFrom([]limit.Class{limit.ClassShort, limit.ClassLong}).Draw(t, "class")
	request := &peerpb.RunRequest{
		Run: fmt.Sprint("run-", m.lastNumber), Attempt: 1, Class: string(class), DeadlineMs: 680, MaxTokens: 20, Prompt: "a question",
		Organisation: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "organisation"),
		Fingerprint:  uint64(rapid.IntRange(0, 6).Draw(t, "fingerprint")),
		Isolate:      rapid.IntRange(0, 5).Draw(t, "isolate") == 0,
		Resumed:      rapid.IntRange(0, 5).Draw(t, "resumed") == 0,
	}
	task := newTask(nil, request, 1, m.now)
	m.s.enqueue(task, m.now)
	m.waiting = append(m.waiting, task)
}

func pick[T any](t *rapid.T, list []T) T {
	if len(list) == 0 {
		t.Skip("nothing to pick")
	}
	return list[rapid.IntRange(0, len(list)-1).Draw(t, "pick")]
}

func (m *schedulerModel) finishTask(task *task) {
	m.s.release(task)
	at := slices.Index(m.running, task)
	m.running = slices.Delete(m.running, at, at+1)
}

// check compares the scheduler with the model.
func (m *schedulerModel) check(t *rapid.T) {
	if m.s.queue.Len() != len(m.waiting) {
		t.Fatalf("%d requests wait, expected %d", m.s.queue.Len(), len(m.waiting))
	}
	placed, unverified := 0, map[quarantine.Key]int{}
	for _, b := range m.all {
		placed += len(b.tasks)
		for task := range b.tasks {
			if task.needsIsolation && !task.isVerified && len(b.tasks) > 1 {
				t.Fatalf("%s runs a suspect with %d others", b.Host.Name, len(b.tasks)-1)
			}
			if !task.isVerified && task.quarantineKey.Fingerprint != 0 {
				if unverified[task.quarantineKey]++; unverified[task.quarantineKey] > 1 {
					t.Fatalf("two unverified requests with the content %v run", task.quarantineKey)
				}
			}
		}
	}
	counted := 0
	for _, n := range m.s.inProgress {
		counted += n
	}
	if placed != len(m.running) || counted != len(m.running)+len(m.waiting) {
		t.Fatalf("%d placed, %d counted, expected %d running and %d waiting", placed, counted, len(m.running), len(m.waiting))
	}
}

// TestScheduler guards against more runs than slots, requests that are lost or admitted twice, suspects that run beside
// other requests, and requests that are never placed.
func TestScheduler(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		m := &schedulerModel{s: newScheduler("predicted", now), now: now}
		for range 3 {
			m.addBackend()
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit":  func(t *rapid.T) { m.submit(t) },
			"submit2": func(t *rapid.T) { m.submit(t) },
			"prove":   func(t *rapid.T) { m.s.markVerified(pick(t, m.running)) },
			"end":     func(t *rapid.T) { m.finishTask(pick(t, m.running)) },
			"leave": func(t *rapid.T) {
				task := pick(t, m.waiting)
				if !m.s.removeWaiting(task) || m.s.removeWaiting(task) {
					t.Fatal("a waiting task was not removed exactly once")
				}
				at := slices.Index(m.waiting, task)
				m.waiting = slices.Delete(m.waiting, at, at+1)
			},
			"report": func(t *rapid.T) {
				b := pick(t, m.s.backends)
				load := b.load
				load.Running = rapid.IntRange(0, modelSlots).Draw(t, "running")
				b.applyLoadReport(load, m.now, len(b.tasks))
			},
			"fail": func(t *rapid.T) { pick(t, m.s.backends).breaker.recordFailure(m.now, true) },
			"replace": func(t *rapid.T) {
				m.s.removeBackend(pick(t, m.s.backends))
				m.addBackend()
			},
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				m.placeWaiting(t)
				m.check(t)
			},
		})
		m.drain(t)
	})
}

// drain ends all runs and fails if a waiting request is never placed.
func (m *schedulerModel) drain(t *rapid.T) {
	for round := 0; len(m.waiting)+len(m.running) > 0; round++ {
		if round > 1000 {
			t.Fatalf("%d requests are never placed", len(m.waiting))
		}
		m.now = m.now.Add(breakerMaxBackoff * 2)
		for _, b := range m.s.backends {
			load := b.load
			load.Running = 0
			b.applyLoadReport(load, m.now, len(b.tasks))
			b.breaker.recordSuccess()
		}
		if len(m.running) > 0 {
			m.finishTask(m.running[0])
		}
		m.placeWaiting(t)
		m.check(t)
	}
}

// TestAdmission guards against admitting requests over the limit of their organisation or retries over the budget, and
// against refusing accepted runs or suspects because of a limit for new requests.
func TestAdmission(t *testing.T) {
	request := func(change func(*peerpb.RunRequest)) *peerpb.RunRequest {
		r := &peerpb.RunRequest{Organisation: "a", Attempt: 1, Prompt: "a question", MaxTokens: 200, DeadlineMs: 680}
		change(r)
		return r
	}
	limited := object.OrganisationSpec{MaxInProgress: 6}
	resumed := func(r *peerpb.RunRequest) { r.Attempt, r.Resumed = 2, true }
	for _, c := range []struct {
		name    string
		others  int // requests of the organisation in progress
		retries int // taken from the budget before
		spec    object.OrganisationSpec
		request *peerpb.RunRequest
		refused bool
	}{
		{"below the limit", 2, 0, limited, request(func(*peerpb.RunRequest) {}), false},
		{"at this dispatcher's part of the limit", 3, 0, limited, request(func(*peerpb.RunRequest) {}), true},
		{"resumed at the limit", 3, 0, limited, request(resumed), false},
		{"suspect at the limit", 3, 0, limited, request(func(r *peerpb.RunRequest) { r.Attempt, r.Isolate = 2, true }), false},
		{"retry within the budget", 0, 5, limited, request(func(r *peerpb.RunRequest) { r.Attempt = 2 }), false},
		{"retry over the budget", 0, 10, limited, request(func(r *peerpb.RunRequest) { r.Attempt = 2 }), true},
		{"resumed without a budget", 0, 10, limited, request(resumed), false},
		{"no slot within the deadline", 33, 0, object.OrganisationSpec{}, request(func(*peerpb.RunRequest) {}), true},
		{"resumed without a slot", 33, 0, object.OrganisationSpec{}, request(resumed), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := newSimulation("predicted", 2, 64)
			sim.s.totalRunners = 4 // half of them belong to other dispatchers
			for range c.others {
				other := newTask(newRun("", "", "", 0), request(func(*peerpb.RunRequest) {}), 1, sim.now)
				sim.s.enqueue(other, sim.now)
				sim.s.placeNext(sim.now)
			}
			for _, b := range sim.s.backends {
				b.applyLoadReport(engine.LoadReport{Slots: 16, PrefillTokensPerSec: 8000, DecodeStepMillis: 18, Running: len(b.tasks), Epoch: 1}, sim.now, len(b.tasks))
			}
			for range c.retries {
				sim.s.retryBudget.TakeRetry(sim.now)
			}
			refusal := sim.s.admit(newTask(newRun("", "", "", 0), c.request, 1, sim.now), c.spec, sim.now)
			if (refusal != nil) != c.refused {
				t.Errorf("refusal is %v, expected a refusal: %t", refusal, c.refused)
			}
			if refusal != nil && refusal.RetryAfterMs <= 0 {
				t.Error("refusal has no retry time")
			}
		})
	}
}
