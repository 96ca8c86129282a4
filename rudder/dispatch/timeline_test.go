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

// simulation runs a scheduler against engines in virtual time, so that its figures do not depend on the machine. The
// engines have the timing of the stand-in engine: serial prefill at 8000 tokens/s, during which the batch waits, and
// decode steps of 10 ms plus 0.5 ms for each run.
type simulation struct {
	s         *scheduler
	engines   map[*Backend]*simEngine
	now       time.Time
	events    events
	order     int
	results   []*simRequest
	prefilled int
	cacheSize int // blocks
	spec      object.OrganisationSpec
}

type simRequest struct {
	t       *ticket
	first   time.Duration // to the first token; 0 if there was none
	refused bool
}

type simEngine struct {
	b     *Backend
	queue []*simRequest
	batch []*simRequest
	cache map[uint64]int // block → last use
	uses  int
	busy  bool
}

type event struct {
	at    time.Time
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || (e[i].at.Equal(e[j].at) && e[i].order < e[j].order)
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
	sim := &simulation{s: newScheduler(policy, start), engines: map[*Backend]*simEngine{}, now: start, cacheSize: cacheBlocks}
	sim.s.allRunners = runners
	sim.s.spec.Target = object.Target{FirstTokenMilliseconds: 680, BetweenTokensMilliseconds: 27}
	for i := range runners {
		b := newBackend(cloud.Host{Name: fmt.Sprintf("host-%02d", i), Backend: object.BackendModel, Address: "http://127.0.0.1:1"})
		sim.s.add(b)
		e := &simEngine{b: b, cache: map[uint64]int{}}
		sim.engines[b] = e
		sim.report(e)
	}
	return sim
}

func (sim *simulation) after(d time.Duration, do func()) {
	sim.order++
	heap.Push(&sim.events, event{sim.now.Add(d), sim.order, do})
}

// report gives a load report each 250 ms.
func (sim *simulation) report(e *simEngine) {
	load := engine.Load{
		Running: len(e.batch), Waiting: len(e.queue), Slots: 16, PrefillTokensPerSec: 8000, Epoch: 1,
		DecodeStepMillis: e.step().Seconds() * 1000,
	}
	e.b.report(load, sim.now, len(e.b.tickets))
	sim.after(refreshInterval, func() { sim.report(e); sim.pump() })
}

func (e *simEngine) step() time.Duration {
	return 10*time.Millisecond + time.Duration(len(e.batch))*500*time.Microsecond
}

// arrive sends a request after a delay.
func (sim *simulation) arrive(delay time.Duration, request *peerpb.RunRequest, share int) {
	sim.after(delay, func() {
		run := newRun(request.Run, request.Organisation, "", 0)
		r := &simRequest{t: newTicket(run, request, share, sim.now)}
		sim.results = append(sim.results, r)
		if sim.s.admit(r.t, sim.spec, sim.now) != nil {
			r.refused = true
			return
		}
		r.t.item.Value = r.t
		sim.s.push(r.t, sim.now)
		if r.t.expireIn > 0 {
			sim.after(r.t.expireIn, func() { r.refused = r.refused || sim.s.leave(r.t) })
		}
		sim.pump()
	})
}

func (sim *simulation) find(t *ticket) *simRequest {
	for i := len(sim.results) - 1; i >= 0; i-- {
		if sim.results[i].t == t {
			return sim.results[i]
		}
	}
	return nil
}

func (sim *simulation) pump() {
	for t := sim.s.next(sim.now); t != nil; t = sim.s.next(sim.now) {
		e := sim.engines[t.backend]
		e.queue = append(e.queue, sim.find(t))
		if !e.busy {
			sim.work(e)
		}
	}
}

// work prefills the next run or does a decode step.
func (sim *simulation) work(e *simEngine) {
	e.busy = len(e.queue)+len(e.batch) > 0
	if !e.busy {
		return
	}
	if len(e.queue) == 0 {
		sim.after(e.step(), func() { sim.decode(e); sim.work(e) })
		return
	}
	r := e.queue[0]
	e.queue = e.queue[1:]
	cached := 0
	for cached < len(r.t.blocks) && e.cache[r.t.blocks[cached]] > 0 {
		cached++
	}
	computed := r.t.tokens - cached*engine.BlockTokens
	sim.prefilled += computed
	sim.after(time.Duration(computed)*time.Second/8000, func() {
		e.store(r.t.blocks, sim.cacheSize)
		r.t.started = true
		e.b.prefix.started(r.t.blocks, cached*engine.BlockTokens, sim.now)
		e.batch = append(e.batch, r)
		sim.work(e)
	})
}

func (e *simEngine) store(blocks []uint64, size int) {
	for _, b := range blocks {
		e.uses++
		e.cache[b] = e.uses
	}
	for b, use := range e.cache {
		if use <= e.uses-size {
			delete(e.cache, b)
		}
	}
}

func (sim *simulation) decode(e *simEngine) {
	kept := e.batch[:0]
	for _, r := range e.batch {
		length := r.t.run.length()
		if length == 0 {
			r.first = sim.now.Sub(r.t.item.Since)
		}
		r.t.run.add(length, []string{"token"})
		if length+1 >= provenTokens {
			sim.s.prove(r.t)
		}
		if length+1 < int(r.t.request.MaxTokens) {
			kept = append(kept, r)
		} else {
			sim.s.answers.learn(r.t.item.Class, length+1, int(r.t.request.MaxTokens))
			sim.s.release(r.t)
		}
	}
	e.batch = kept
	sim.pump()
}

func (sim *simulation) run(d time.Duration) {
	end := sim.now.Add(d)
	for len(sim.events) > 0 && sim.events[0].at.Before(end) {
		next := heap.Pop(&sim.events).(event)
		sim.now = next.at
		next.do()
	}
}

// poisson sends requests at a rate for a time.
func (sim *simulation) poisson(random *rand.Rand, perSecond float64, d time.Duration, next func(i int) (*peerpb.RunRequest, int)) {
	at := time.Duration(0)
	for i := 0; ; i++ {
		at += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
		if at > d {
			return
		}
		request, share := next(i)
		sim.arrive(at, request, share)
	}
}

// firstTokens returns the sorted first-token times of the requests of a class and the number of requests.
func (sim *simulation) firstTokens(class limit.Class) (times []time.Duration, requests int) {
	for _, r := range sim.results {
		if r.t.item.Class != class {
			continue
		}
		requests++
		if r.first > 0 {
			times = append(times, r.first)
		}
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	return times, requests
}
