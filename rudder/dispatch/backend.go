package dispatch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/cloud"
	"chestnutrudder.example/rudder/engine"
	"chestnutrudder.example/rudder/object"
	"chestnutrudder.example/rudder/quarantine"
	"chestnutrudder.example/rudder/service"
)

// Backend is the state of one backend server at its dispatcher. Dispatcher.mu guards all fields but the first three.
type Backend struct {
	Host    cloud.Host
	Engine  *engine.Client
	Service *service.Client

	load            engine.LoadReport
	loadRequestedAt time.Time // when the load report was requested; zero before the first one
	foreignRuns     int       // runs in the last load report that this dispatcher did not place
	callsInProgress int       // service calls
	tasks           map[*task]bool
	reservedFor     *task      // suspect that waits until the runner is empty or runs alone on it
	recentRuns      recentPeak // own runs
	decodeSteps     decodeStepModel
	prefixCache     prefixCacheEstimate
	breaker         breaker
	isPolling       bool
	isUnavailable   bool // by the fleet table: the host is leaving or does not answer
	isDown          bool // the process was found dead and has given no load report since
	crashedAt       time.Time
	crashVerdict    quarantine.Verdict // what the last crash is attributed to
	skipEventsUntil time.Time          // when cache events are requested again after an error
}

func newBackend(h cloud.Host) *Backend {
	b := &Backend{Host: h, tasks: map[*task]bool{}, prefixCache: newPrefixCacheEstimate(), breaker: newBreaker()}
	if h.Backend == object.BackendService {
		b.Service = service.NewClient(h.Address)
	} else {
		b.Engine = engine.NewClient(h.Address)
	}
	return b
}

// maxRuns returns how many runs may be on the runner: the slots of the engine, limited by the between-token target.
func (b *Backend) maxRuns(betweenTokensMillis int) int {
	return b.decodeSteps.maxBatch(b.load.Slots, float64(betweenTokensMillis))
}

// freeSlots returns how many more runs may be placed on the runner now.
func (b *Backend) freeSlots(betweenTokensMillis int, now time.Time) int {
	if b.Engine == nil || b.loadRequestedAt.IsZero() || b.load.Leaving || b.isUnavailable || b.isDown ||
		b.reservedFor != nil || !b.breaker.allowsPlacement(now) {
		return 0
	}
	return max(0, b.maxRuns(betweenTokensMillis)-len(b.tasks)-b.foreignRuns)
}

// prefillBacklog returns how many prompt tokens wait for prefill: those of own runs that have not started, and those of
// foreign runs by the last report less what has been prefilled since. Own runs are counted from the moment of placement, so
// that a new report or a runner that returns does not attract all requests at once.
func (b *Backend) prefillBacklog(now time.Time) float64 {
	ownTokens := 0.0
	for t := range b.tasks {
		if !t.hasStarted {
			ownTokens += float64(t.uncachedTokens)
		}
	}
	if b.foreignRuns == 0 {
		return ownTokens
	}
	prefilledSince := now.Sub(b.loadRequestedAt).Seconds() * b.load.PrefillTokensPerSec
	return ownTokens + max(0, float64(b.load.WaitingPromptTokens)-ownTokens-prefilledSince)
}

// candidate returns the state of the runner that chooseBackend compares for a request with these prefix blocks.
func (b *Backend) candidate(blocks []uint64, betweenTokensMillis int, now time.Time) candidate {
	runs := len(b.tasks) + b.foreignRuns
	return candidate{
		host:               b.Host.Name,
		freeSlots:          b.freeSlots(betweenTokensMillis, now),
		runsInBatch:        runs,
		prefillBacklog:     b.prefillBacklog(now),
		prefillRate:        b.load.PrefillTokensPerSec,
		decodeStepMillis:   b.decodeSteps.predictMillis(runs + 1),
		cachedTokens:       b.prefixCache.expectedCachedTokens(blocks, now),
		reportAge:          now.Sub(b.loadRequestedAt),
		reclaimable:        b.Host.Reclaimable,
		priceMicrosPerHour: b.Host.PriceMicrosPerHour,
	}
}

// poll reads the load report and the cache events of a model runner and places waiting requests.
func (d *Dispatcher) poll(ctx context.Context, b *Backend) error {
	d.mu.Lock()
	ownRunsBefore := len(b.tasks)
	lastSequence := b.prefixCache.lastSequence
	wantEvents := time.Now().After(b.skipEventsUntil)
	d.mu.Unlock()
	requestedAt := time.Now()
	load, err := b.Engine.LoadReport(ctx)
	if err != nil {
		if errors.Is(err, engine.ErrProcessDown) {
			d.recordCrash(b)
		}
		return err
	}
	var events engine.CacheEvents
	var eventsErr error
	if wantEvents {
		events, eventsErr = b.Engine.CacheEvents(ctx, lastSequence)
	}
	d.mu.Lock()
	if eventsErr != nil {
		// An engine without cache events is asked again later; until then, the starts of runs show what it has cached.
		b.skipEventsUntil = requestedAt.Add(10 * time.Second)
	} else {
		b.prefixCache.applyEvents(events, requestedAt)
	}
	b.applyLoadReport(load, requestedAt, ownRunsBefore)
	placed := d.placeWaiting(b.Host.Deployment)
	d.mu.Unlock()
	d.startPlaced(placed)
	return nil
}

// applyLoadReport updates the runner from a load report that was requested at the given time, when ownRunsBefore own runs
// were placed on it. A report requested before the last crash is ignored.
func (b *Backend) applyLoadReport(load engine.LoadReport, at time.Time, ownRunsBefore int) {
	if at.Before(b.crashedAt) {
		return
	}
	if !b.loadRequestedAt.IsZero() && load.Epoch != b.load.Epoch {
		b.prefixCache = newPrefixCacheEstimate()
	}
	b.load, b.loadRequestedAt, b.isDown = load, at, false
	b.recentRuns.record(len(b.tasks), at)
	b.foreignRuns = max(0, load.Running+load.Waiting-max(ownRunsBefore, b.recentRuns.peak()))
	b.decodeSteps.observe(load.Running, load.DecodeStepMillis)
}

// maxReportLag is how far load reports may lag behind. Own runs that ended within this time are not counted as foreign runs.
const maxReportLag = 2 * time.Second

// recentPeak is the highest number of own runs in the current and the previous period of maxReportLag.
type recentPeak struct {
	current, previous int
	periodStart       time.Time
}

// record updates the peak with the present number of own runs.
func (p *recentPeak) record(runs int, now time.Time) {
	if age := now.Sub(p.periodStart); age >= maxReportLag {
		p.previous = p.current
		if age >= 2*maxReportLag {
			p.previous = 0
		}
		p.current, p.periodStart = 0, now
	}
	p.current = max(p.current, runs)
}

// peak returns the highest number of runs in the two periods.
func (p *recentPeak) peak() int { return max(p.current, p.previous) }
