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

// timeline runs a scheduler against engines in virtual time, so that its figures do not depend on the machine. The
// engines have the timing of the stand-in engine: serial prefill at 8000 tokens/s, during which the batch waits, and
// decode steps of 10 ms plus 0.5 ms for each run.
type timeline struct {
	s         *scheduler
	engines   map[*Backend]*fakeEngine
	now       time.Time
	events    events
	order     int
	results   []*fakeRequest
	prefilled int
	cacheSize int // blocks
	spec      object.OrganisationSpec
}

type fakeRequest struct {
	t       *ticket
	first   time.Duration // to the first token; 0 if there was none
	refused bool
}

type fakeEngine struct {
	b     *Backend
	queue []*fakeRequest
	batch []*fakeRequest
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

func newTimeline(policy string, runners, cacheBlocks int) *timeline {
	start := time.Unix(1_000_000, 0)
	tl := &timeline{s: newScheduler(policy, start), engines: map[*Backend]*fakeEngine{}, now: start, cacheSize: cacheBlocks}
	tl.s.allRunners = runners
	tl.s.spec.Target = object.Target{FirstTokenMilliseconds: 680, BetweenTokensMilliseconds: 27}
	for i := range runners {
		b := newBackend(cloud.Host{Name: fmt.Sprintf("host-%02d", i), Backend: object.BackendModel, Address: "http://127.0.0.1:1"})
		tl.s.add(b)
		e := &fakeEngine{b: b, cache: map[uint64]int{}}
		tl.engines[b] = e
		tl.report(e)
	}
	return tl
}

func (tl *timeline) after(d time.Duration, do func()) {
	tl.order++
	heap.Push(&tl.events, event{tl.now.Add(d), tl.order, do})
}

// report gives a load report each 250 ms.
func (tl *timeline) report(e *fakeEngine) {
	load := engine.Load{
		Running: len(e.batch), Waiting: len(e.queue), Slots: 16, PrefillTokensPerSec: 8000, Epoch: 1,
		DecodeStepMillis: e.step().Seconds() * 1000,
	}
	e.b.report(load, tl.now, len(e.b.tickets))
	tl.after(refreshInterval, func() { tl.report(e); tl.pump() })
}

func (e *fakeEngine) step() time.Duration {
	return 10*time.Millisecond + time.Duration(len(e.batch))*500*time.Microsecond
}

// arrive sends a request after a delay.
func (tl *timeline) arrive(delay time.Duration, request *peerpb.RunRequest, share int) {
	tl.after(delay, func() {
		run := newRun(request.Run, request.Organisation, "", 0)
		r := &fakeRequest{t: newTicket(run, request, share, tl.now)}
		tl.results = append(tl.results, r)
		if tl.s.admit(r.t, tl.spec, tl.now) != nil {
			r.refused = true
			return
		}
		r.t.item.Value = r.t
		tl.s.push(r.t, tl.now)
		if r.t.expireIn > 0 {
			tl.after(r.t.expireIn, func() { r.refused = r.refused || tl.s.leave(r.t) })
		}
		tl.pump()
	})
}

func (tl *timeline) find(t *ticket) *fakeRequest {
	for i := len(tl.results) - 1; i >= 0; i-- {
		if tl.results[i].t == t {
			return tl.results[i]
		}
	}
	return nil
}

func (tl *timeline) pump() {
	for t := tl.s.next(tl.now); t != nil; t = tl.s.next(tl.now) {
		e := tl.engines[t.backend]
		e.queue = append(e.queue, tl.find(t))
		if !e.busy {
			tl.work(e)
		}
	}
}

// work prefills the next run or does a decode step.
func (tl *timeline) work(e *fakeEngine) {
	e.busy = len(e.queue)+len(e.batch) > 0
	if !e.busy {
		return
	}
	if len(e.queue) == 0 {
		tl.after(e.step(), func() { tl.decode(e); tl.work(e) })
		return
	}
	r := e.queue[0]
	e.queue = e.queue[1:]
	cached := 0
	for cached < len(r.t.blocks) && e.cache[r.t.blocks[cached]] > 0 {
		cached++
	}
	computed := r.t.tokens - cached*engine.BlockTokens
	tl.prefilled += computed
	tl.after(time.Duration(computed)*time.Second/8000, func() {
		e.store(r.t.blocks, tl.cacheSize)
		r.t.started = true
		e.b.prefix.started(r.t.blocks, cached*engine.BlockTokens, tl.now)
		e.batch = append(e.batch, r)
		tl.work(e)
	})
}

func (e *fakeEngine) store(blocks []uint64, size int) {
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

func (tl *timeline) decode(e *fakeEngine) {
	kept := e.batch[:0]
	for _, r := range e.batch {
		length := r.t.run.length()
		if length == 0 {
			r.first = tl.now.Sub(r.t.item.EnqueuedAt)
		}
		r.t.run.add(length, []string{"token"})
		if length+1 >= provenTokens {
			tl.s.prove(r.t)
		}
		if length+1 < int(r.t.request.MaxTokens) {
			kept = append(kept, r)
		} else {
			tl.s.answers.learn(r.t.item.Class, length+1, int(r.t.request.MaxTokens))
			tl.s.release(r.t)
		}
	}
	e.batch = kept
	tl.pump()
}

func (tl *timeline) run(d time.Duration) {
	end := tl.now.Add(d)
	for len(tl.events) > 0 && tl.events[0].at.Before(end) {
		next := heap.Pop(&tl.events).(event)
		tl.now = next.at
		next.do()
	}
}

// poisson sends requests at a rate for a time.
func (tl *timeline) poisson(random *rand.Rand, perSecond float64, d time.Duration, next func(i int) (*peerpb.RunRequest, int)) {
	at := time.Duration(0)
	for i := 0; ; i++ {
		at += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
		if at > d {
			return
		}
		request, share := next(i)
		tl.arrive(at, request, share)
	}
}

// firstTokens returns the sorted first-token times of the requests of a class and the number of requests.
func (tl *timeline) firstTokens(class limit.Class) (times []time.Duration, requests int) {
	for _, r := range tl.results {
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
