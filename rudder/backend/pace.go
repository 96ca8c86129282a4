package backend

import (
	"math"
	"time"

	"chestnutrudder.example/rudder/pace"
)

// paces holds what is known of the paces of a service's servers together, and bounds the log lines on them.
type paces struct {
	pace.Group
	servers    []*Server         // at the last update
	estimators []*pace.Estimator // of these servers
	log        paceLog
}

const (
	// detourPenalty multiplies the score of a server for the requests that it need not take since others are faster. They go to
	// it only if the others are busy.
	detourPenalty = 4.0
	// detourExponent makes the share of generation requests for which a server takes part in the choice fall with the square of
	// its pace. In simulations with 24 nodes times to the first byte were lower than with 1, and lower than with scores that grow
	// by the pace, where all nodes choose the same fast servers before they hear of each other.
	detourExponent = 2.0
	// plainDetourExponent is that of plain requests, of which peers hear too late to balance them by load.
	plainDetourExponent = 1.0
)

// detourFactor returns the factor of a server's score for one request: 1 if the server takes part in the choice.
func (t *Table) detourFactor(m *latencyModel, pace, exponent float64, random uint64) float64 {
	reference := m.paces.Reference()
	if !t.ChoosesByPace || pace <= reference || unitInterval(mix(random+1)) < math.Pow(reference/pace, exponent) {
		return 1
	}
	return detourPenalty
}

// homeWeight returns the function that tells the share of prompt prefixes for which a server is home, relative to fast servers. It
// depends on nothing but the server, so that all requests with a prefix have the same home.
func (t *Table) homeWeight(m *latencyModel) func(*Server) float64 {
	if !t.ChoosesByPace {
		return func(*Server) float64 { return 1 }
	}
	return func(s *Server) float64 { return math.Pow(min(m.paces.Reference()/s.pace.Pace(0), 1), detourExponent) }
}

// updatePaces updates the paces in use of a service's servers if that is due. The caller holds the lock.
func (t *Table) updatePaces(service string, m *latencyModel, now time.Time) {
	p := &m.paces
	if !t.ChoosesByPace || !p.IsUpdateDue(now) {
		return
	}
	p.servers, p.estimators = p.servers[:0], p.estimators[:0]
	for _, s := range t.servers {
		if s.Service == service && s.isServing() {
			p.servers, p.estimators = append(p.servers, s), append(p.estimators, &s.pace)
		}
	}
	p.Update(p.estimators, now, func(i int, previous float64) {
		s := p.servers[i]
		s.slowdown.rescale(previous / s.pace.Pace(0))
		t.logPace(&p.log, s, previous, now)
	})
}

// maintainPaces updates the paces of all services, which may have no requests here but reports from peers. The caller holds the
// lock.
func (t *Table) maintainPaces(now time.Time) {
	t.paceExchange.dropOldSenders(now)
	for service, m := range t.models {
		t.updatePaces(service, m, now)
	}
}

// rescale takes the change of a server's pace out of the slowdown, which was measured relative to the previous pace. It brings
// the factor nearer to 1 only: a pace that peers have found has not been measured here.
func (s *slowdown) rescale(factor float64) {
	switch {
	case s.factor == 0:
	case factor < 1:
		s.factor = max(s.factor*factor, min(s.factor, 1))
	default:
		s.factor = min(s.factor*factor, max(s.factor, 1))
	}
}

// placementPace is the pace of a server at the load at which a request was placed.
type placementPace struct {
	factor float64
	level  int
}

func newPlacementPace(c Candidate, slots int) placementPace {
	return placementPace{factor: c.Pace, level: pace.Level(c.Running, slots)}
}

// MedianFirstByte returns the time to the first byte that is predicted for the median server of the service under the same load.
func (p *Placement) MedianFirstByte() time.Duration {
	if p.pace.factor <= 0 {
		return p.PredictedFirstByte // not placed by a table
	}
	return time.Duration(float64(p.PredictedFirstByte) / p.pace.factor)
}

// observePace adds the time to the first byte to what is known of the server's pace. The caller holds the lock.
func (p *Placement) observePace(elapsedMillis float64) {
	if !p.table.ChoosesByPace {
		return
	}
	sample := pace.Sample{
		Kind: pace.PlainResponse, Weight: pace.WeightPlainResponse, Level: p.pace.level,
		Ratio: elapsedMillis / max(millis(p.MedianFirstByte()), 1),
	}
	if p.request.IsGeneration {
		sample.Kind, sample.Weight = pace.ShortPrompt, pace.WeightContendedPrompt
		if p.pendingTokens >= pace.LongPromptTokens {
			sample.Kind = pace.LongPrompt
		}
		if p.isUncontended {
			sample.Weight = pace.WeightPrompt
		}
	}
	p.table.model(p.request.Service).paces.Observe(&p.Server.pace, sample)
}

// RecordEvents records that the events of a stream after the first one took the given time. It must not be called for streams
// that waited for their callers.
func (p *Placement) RecordEvents(events int, took time.Duration) {
	if events <= 0 || took <= 0 || !p.table.ChoosesByPace {
		return
	}
	p.table.mu.Lock()
	defer p.table.mu.Unlock()
	p.table.model(p.request.Service).paces.Observe(&p.Server.pace, pace.Sample{
		Kind: pace.EventInterval, Weight: pace.WeightEventInterval, Level: p.pace.level,
		Ratio: millis(took) / float64(events),
	})
}

const (
	// paceLogPeriod and maxPaceLogLines bound the log lines on the paces of a service's servers. All of 228 servers may change
	// at once when a node starts.
	paceLogPeriod   = 10 * time.Second
	maxPaceLogLines = 24
)

// paceLog counts the log lines of a period.
type paceLog struct {
	beganAt       time.Time
	lines, hidden int
}

// logPace logs that the pace in use of a server has changed. The caller holds the lock.
func (t *Table) logPace(l *paceLog, s *Server, previous float64, now time.Time) {
	if now.Sub(l.beganAt) >= paceLogPeriod {
		if l.hidden > 0 {
			t.Log.Info("More estimates of the pace of backend servers changed than were logged.", "service", s.Service, "not_logged", l.hidden)
		}
		*l = paceLog{beganAt: now}
	}
	if l.lines >= maxPaceLogLines {
		l.hidden++
		return
	}
	l.lines++
	t.Log.Info("The estimate of a backend server's pace changed.", "server", s.ID, "service", s.Service, "pace", round2(s.pace.Pace(0)), "previous", round2(previous),
		"pace_when_full", round2(s.pace.Pace(pace.LoadLevels-1)), "comfortable_slots", s.pace.ComfortableSlots(max(s.Slots, 1)), "slots", s.Slots, "samples", math.Round(s.pace.Weight()))
}

// round2 rounds to hundredths.
func round2(value float64) float64 { return math.Round(value*100) / 100 }

// PaceSummary describes the paces of the servers of a service, relative to their median.
type PaceSummary struct {
	Fastest, Slowest float64 // 1 if all servers count as alike
	Faster, Slower   int     // servers that do not count as the median
}

// PaceSummaries returns the paces of serving servers by service.
func (t *Table) PaceSummaries() map[string]PaceSummary {
	t.mu.Lock()
	defer t.mu.Unlock()
	summaries := map[string]PaceSummary{}
	for _, s := range t.servers {
		if !s.isServing() {
			continue
		}
		p, found := summaries[s.Service]
		factor := s.pace.Pace(0)
		if !found {
			p = PaceSummary{Fastest: factor, Slowest: factor}
		}
		p.Fastest, p.Slowest = min(p.Fastest, factor), max(p.Slowest, factor)
		switch {
		case factor < 1:
			p.Faster++
		case factor > 1:
			p.Slower++
		}
		summaries[s.Service] = p
	}
	return summaries
}
