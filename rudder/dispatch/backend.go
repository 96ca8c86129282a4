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

// Backend is one backend server as its dispatcher sees it. The dispatcher's lock guards all fields but the first three.
type Backend struct {
	Host    cloud.Host
	Engine  *engine.Client
	Service *service.Client

	load     engine.Load
	loadAt   time.Time // when the report was asked for; zero before the first one
	foreign  int       // runs in the engine that this dispatcher did not place, by the last report
	calls    int       // service calls in progress
	tickets  map[*ticket]bool
	reserved *ticket    // suspect that waits until the runner is empty or runs alone on it
	recent   recentPeak // own runs
	steps    stepModel
	prefix   prefixCopy
	breaker  breaker
	polling  bool
	closed   bool // by the fleet table: it leaves or does not answer
	down     bool // the process was found dead and has given no load report since
	downAt   time.Time
	verdict  quarantine.Verdict // on its death
	noEvents time.Time
}

func newBackend(h cloud.Host) *Backend {
	b := &Backend{Host: h, tickets: map[*ticket]bool{}, prefix: newPrefixCopy(), breaker: newBreaker()}
	if h.Backend == object.BackendService {
		b.Service = service.NewClient(h.Address)
	} else {
		b.Engine = engine.NewClient(h.Address)
	}
	return b
}

// slots returns how many runs may be on the runner: the engine's slots, bounded by the between-token target.
func (b *Backend) slots(betweenTokensMillis int) int {
	return b.steps.largestBatch(b.load.Slots, float64(betweenTokensMillis))
}

// free returns the number of runs that may be added now.
func (b *Backend) free(betweenTokensMillis int, now time.Time) int {
	if b.Engine == nil || b.loadAt.IsZero() || b.load.Leaving || b.closed || b.down || b.reserved != nil || !b.breaker.allows(now) {
		return 0
	}
	return max(0, b.slots(betweenTokensMillis)-len(b.tickets)-b.foreign)
}

// backlog returns the tokens that wait for prefill: those of own runs that have not started, and those of foreign runs
// by the last report less what was prefilled since. Own runs are counted from the moment of placement, so that a new report
// or a runner that returns does not attract all requests at once.
func (b *Backend) backlog(now time.Time) float64 {
	own := 0.0
	for t := range b.tickets {
		if !t.started {
			own += float64(t.uncached)
		}
	}
	if b.foreign == 0 {
		return own
	}
	waited := now.Sub(b.loadAt).Seconds() * b.load.PrefillTokensPerSec
	return own + max(0, float64(b.load.WaitingPromptTokens)-own-waited)
}

// candidate returns the runner as the decision about a request sees it.
func (b *Backend) candidate(blocks []uint64, betweenTokensMillis int, now time.Time) candidate {
	running := len(b.tickets) + b.foreign
	return candidate{
		host:        b.Host.Name,
		free:        b.free(betweenTokensMillis, now),
		running:     running,
		backlog:     b.backlog(now),
		prefillRate: b.load.PrefillTokensPerSec,
		stepMillis:  b.steps.millis(running + 1),
		cached:      b.prefix.expected(blocks, now),
		reportAge:   now.Sub(b.loadAt),
		reclaimable: b.Host.Reclaimable,
		price:       b.Host.PriceMicrosPerHour,
	}
}

// poll reads load report and cache events of one runner.
func (d *Dispatcher) poll(ctx context.Context, b *Backend) error {
	d.mu.Lock()
	before := len(b.tickets)
	after := b.prefix.after
	wantEvents := time.Now().After(b.noEvents)
	d.mu.Unlock()
	asked := time.Now()
	load, err := b.Engine.Load(ctx)
	if err != nil {
		if errors.Is(err, engine.ErrDown) {
			d.engineDown(b)
		}
		return err
	}
	var events engine.CacheEvents
	var eventsErr error
	if wantEvents {
		events, eventsErr = b.Engine.CacheEvents(ctx, after)
	}
	d.mu.Lock()
	if eventsErr != nil {
		// An engine without cache events is asked again later; started runs teach the cache contents meanwhile.
		b.noEvents = asked.Add(10 * time.Second)
	} else {
		b.prefix.take(events, asked)
	}
	b.report(load, asked, before)
	placed := d.pump(b.Host.Deployment)
	d.mu.Unlock()
	d.start(placed)
	return nil
}

// report takes a load report; before is the number of own runs when it was asked for.
func (b *Backend) report(load engine.Load, at time.Time, before int) {
	if at.Before(b.downAt) {
		return
	}
	if !b.loadAt.IsZero() && load.Epoch != b.load.Epoch {
		b.prefix = newPrefixCopy()
	}
	b.load, b.loadAt, b.down = load, at, false
	b.recent.note(len(b.tickets), at)
	b.foreign = max(0, load.Running+load.Waiting-max(before, b.recent.value()))
	b.steps.observe(load.Running, load.DecodeStepMillis)
}

// reportLag is how far load reports may lag; own runs that have ended within it are no foreign ones in a report.
const reportLag = 2 * time.Second

// recentPeak is the highest number of own runs in the present and the previous period of reportLag.
type recentPeak struct {
	current, previous int
	since             time.Time
}

func (p *recentPeak) note(runs int, now time.Time) {
	if age := now.Sub(p.since); age >= reportLag {
		p.previous = p.current
		if age >= 2*reportLag {
			p.previous = 0
		}
		p.current, p.since = 0, now
	}
	p.current = max(p.current, runs)
}

func (p *recentPeak) value() int { return max(p.current, p.previous) }
