package dispatch

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"chestnutrudder.example/rudder/cloud"
	"chestnutrudder.example/rudder/engine"
	"chestnutrudder.example/rudder/limit"
	"chestnutrudder.example/rudder/object"
	"chestnutrudder.example/rudder/peer/peerpb"
)

// simulation runs a scheduler against simulated engines in virtual time, so that its figures do not depend on the machine.
// The engines have the timing of the stand-in engine: serial prefill at 8000 tokens/s, during which the batch waits, and
// decode steps of 10 ms plus 0.5 ms for each run.
type simulation struct {
	s               *scheduler
	engines         map[*Backend]*fakeEngine
	now             time.Time
	events          events
	eventCount      int
	results         []*fakeRequest
	prefilledTokens int
	cacheSize       int // blocks
	spec            object.OrganisationSpec
}

type fakeRequest struct {
	task       *task
	firstToken time.Duration // to the first token; 0 if there was none
	refused    bool
}

type fakeEngine struct {
	backend  *Backend
	queue    []*fakeRequest
	batch    []*fakeRequest
	cache    map[uint64]int // block → last use
	useCount int
	busy     bool
}

type event struct {
	at       time.Time
	sequence int
	action   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || (e[i].at.Equal(e[j].at) && e[i].sequence < e[j].sequence)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newSimulation(policy string, runners, cacheBlocks int) *simulation {
	start := time.Unix(1_000_000, 0)
	sim := &simulation{s: newScheduler(policy, start), engines: map[*Backend]*fakeEngine{}, now: start, cacheSize: cacheBlocks}
	sim.s.totalRunners = runners
	sim.s.spec.Target = object.LatencyTarget{FirstTokenMilliseconds: 680, BetweenTokensMilliseconds: 27}
	for i := range runners {
		b := newBackend(cloud.Host{Name: fmt.Sprintf("host-%02d", i), Backend: object.BackendModel, Address: "http://127.0.0.1:1"})
		sim.s.addBackend(b)
		e := &fakeEngine{backend: b, cache: map[uint64]int{}}
		sim.engines[b] = e
		sim.reportLoad(e)
	}
	return sim
}

func (sim *simulation) schedule(d time.Duration, action func()) {
	sim.eventCount++
	heap.Push(&sim.events, event{sim.now.Add(d), sim.eventCount, action})
}

// reportLoad applies a load report and schedules the next one after 250 ms.
func (sim *simulation) reportLoad(e *fakeEngine) {
	load := engine.LoadReport{
		Running: len(e.batch), Waiting: len(e.queue), Slots: 16, PrefillTokensPerSec: 8000, Epoch: 1,
		DecodeStepMillis: e.decodeStep().Seconds() * 1000,
	}
	e.backend.applyLoadReport(load, sim.now, len(e.backend.tasks))
	sim.schedule(refreshInterval, func() { sim.reportLoad(e); sim.placeWaiting() })
}

func (e *fakeEngine) decodeStep() time.Duration {
	return 10*time.Millisecond + time.Duration(len(e.batch))*500*time.Microsecond
}

// scheduleRequest submits a request after a delay.
func (sim *simulation) scheduleRequest(delay time.Duration, request *peerpb.RunRequest, share int) {
	sim.schedule(delay, func() {
		run := newRun(request.Run, request.Organisation, "", 0)
		r := &fakeRequest{task: newTask(run, request, share, sim.now)}
		sim.results = append(sim.results, r)
		if sim.s.admit(r.task, sim.spec, sim.now) != nil {
			r.refused = true
			return
		}
		r.task.item.Value = r.task
		sim.s.enqueue(r.task, sim.now)
		if r.task.expireAfter > 0 {
			sim.schedule(r.task.expireAfter, func() { r.refused = r.refused || sim.s.removeWaiting(r.task) })
		}
		sim.placeWaiting()
	})
}

func (sim *simulation) requestFor(t *task) *fakeRequest {
	for i := len(sim.results) - 1; i >= 0; i-- {
		if sim.results[i].task == t {
			return sim.results[i]
		}
	}
	return nil
}

func (sim *simulation) placeWaiting() {
	for t := sim.s.placeNext(sim.now); t != nil; t = sim.s.placeNext(sim.now) {
		e := sim.engines[t.backend]
		e.queue = append(e.queue, sim.requestFor(t))
		if !e.busy {
			sim.advance(e)
		}
	}
}

// advance prefills the next queued run or executes a decode step.
func (sim *simulation) advance(e *fakeEngine) {
	e.busy = len(e.queue)+len(e.batch) > 0
	if !e.busy {
		return
	}
	if len(e.queue) == 0 {
		sim.schedule(e.decodeStep(), func() { sim.decode(e); sim.advance(e) })
		return
	}
	r := e.queue[0]
	e.queue = e.queue[1:]
	cached := 0
	for cached < len(r.task.blocks) && e.cache[r.task.blocks[cached]] > 0 {
		cached++
	}
	computed := r.task.tokenCount - cached*engine.TokensPerBlock
	sim.prefilledTokens += computed
	sim.schedule(time.Duration(computed)*time.Second/8000, func() {
		e.store(r.task.blocks, sim.cacheSize)
		r.task.hasStarted = true
		e.backend.prefixCache.applyRunStart(r.task.blocks, cached*engine.TokensPerBlock, sim.now)
		e.batch = append(e.batch, r)
		sim.advance(e)
	})
}

func (e *fakeEngine) store(blocks []uint64, size int) {
	for _, b := range blocks {
		e.useCount++
		e.cache[b] = e.useCount
	}
	for b, use := range e.cache {
		if use <= e.useCount-size {
			delete(e.cache, b)
		}
	}
}

func (sim *simulation) decode(e *fakeEngine) {
	kept := e.batch[:0]
	for _, r := range e.batch {
		length := r.task.run.answerLength()
		if length == 0 {
			r.firstToken = sim.now.Sub(r.task.item.EnqueuedAt)
		}
		r.task.run.appendTokens(length, []string{"token"})
		if length+1 >= verifiedAfterTokens {
			sim.s.markVerified(r.task)
		}
		if length+1 < int(r.task.request.MaxTokens) {
			kept = append(kept, r)
		} else {
			sim.s.answerLengths.observe(r.task.item.Class, length+1, int(r.task.request.MaxTokens))
			sim.s.release(r.task)
		}
	}
	e.batch = kept
	sim.placeWaiting()
}

func (sim *simulation) run(d time.Duration) {
	end := sim.now.Add(d)
	for len(sim.events) > 0 && sim.events[0].at.Before(end) {
		next := heap.Pop(&sim.events).(event)
		sim.now = next.at
		next.action()
	}
}

// schedulePoissonRequests submits requests as a Poisson process with a rate per second for a time.
func (sim *simulation) schedulePoissonRequests(random *rand.Rand, perSecond float64, d time.Duration, next func(i int) (*peerpb.RunRequest, int)) {
	at := time.Duration(0)
	for i := 0; ; i++ {
		at += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
		if at > d {
			return
		}
		request, share := next(i)
		sim.scheduleRequest(at, request, share)
	}
}

// firstTokenTimes returns the sorted first-token times of the requests of a class and the number of requests.
func (sim *simulation) firstTokenTimes(class limit.Class) (times []time.Duration, requests int) {
	for _, r := range sim.results {
		if r.task.item.Class != class {
			continue
		}
		requests++
		if r.firstToken > 0 {
			times = append(times, r.firstToken)
		}
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	return times, requests
}
