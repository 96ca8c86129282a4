package backend

import (
	"context"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/sleep"
)

const (
	// maxPause bounds a pause, whatever a server asks for.
	maxPause = 2 * time.Minute
	// returnPerSecond is the rate of requests from all nodes together right after a pause. It doubles each returnDoubling until
	// the return has taken returnTime.
	returnPerSecond = 5.0
	returnDoubling  = 500 * time.Millisecond
	returnTime      = 3 * time.Second
	// maxReturnTokens bounds the requests that a node may save up during the return.
	maxReturnTokens = 2.0
	// maxLentPrefixes bounds the prompt parts that are remembered for the end of a pause.
	maxLentPrefixes = 4096
)

// serverPause is the time for which a server wants no requests from this node, and the return of requests after it. It is
// measured on the clock that goes on while the host is suspended.
type serverPause struct {
	beganAt, until boottime.Instant // zero if there is no pause and no return
	requests       int              // whose responses asked for the pause
	lastRequestID  string           // of the latest one
	isEndLogged    bool

	tokens   float64          // requests that this node may send at filledAt, during the return
	filledAt boottime.Instant // at until or later
	waiting  int              // requests of this node that wait for the return; see Refusal.Await
	lent     []prefixKey      // prompt parts that other servers have prefilled because of the pause
}

// isInForce reports whether the server wants no requests.
func (p *serverPause) isInForce(now boottime.Instant) bool { return now < p.until }

// isReturning reports whether the pause is over and requests return.
func (p *serverPause) isReturning(now boottime.Instant) bool {
	return p.until > 0 && !p.isInForce(now) && now.Sub(p.until) < returnTime
}

// parsePause returns the time that a Retry-After header (RFC 9110, section 10.2.3) asks for, false if it is not a single number
// of seconds. A date is none, since the clocks of hosts differ.
func parsePause(values []string) (time.Duration, bool) {
	if len(values) != 1 || strings.Trim(values[0], "0123456789.") != "" {
		return 0, false
	}
	seconds, err := strconv.ParseFloat(values[0], 64)
	if err != nil {
		return 0, false
	}
	return time.Duration(min(seconds, maxPause.Seconds()) * float64(time.Second)), true
}

// RecordPause records what a refusal of the server to a request says of a pause: values are those of its Retry-After header.
// It reports whether the server asked for one, and whether that is the first request of the pause. Malformed values change
// nothing.
func (p *Placement) RecordPause(requestID string, values []string) (isAsked, isNew bool) {
	if len(values) == 0 {
		return false, false
	}
	t := p.table
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.latestEntry(p.Server)
	d, isValid := parsePause(values)
	if !isValid {
		t.logMalformed(s, requestID, "pause", values)
	}
	if d <= 0 {
		return false, false
	}
	now := t.now()
	isNew = !s.pause.isInForce(now)
	if isNew {
		t.updatePause(s, now)
		// A random part of a request spreads the first requests of the nodes after the pause.
		s.pause = serverPause{beganAt: now, tokens: t.random.Float64(), waiting: s.pause.waiting, lent: s.pause.lent}
		t.Log.Info("Backend server asked for a pause and gets no requests from this node.", "server", s.ID, "service", s.Service, "request", requestID,
			"pause_ms", d.Milliseconds(), "asked", values[0][:min(len(values[0]), maxLoggedValueBytes)], "running", s.ownLoad.running)
	}
	s.pause.until = max(s.pause.until, now.Add(d))
	s.pause.filledAt = s.pause.until
	s.pause.requests++
	s.pause.lastRequestID = requestID
	return true, isNew
}

// updatePause logs the end of a pause once, and forgets the pause when the return is over. The caller holds the lock.
func (t *Table) updatePause(s *Server, now boottime.Instant) {
	p := &s.pause
	if p.until == 0 || p.isInForce(now) {
		return
	}
	if !p.isEndLogged {
		p.isEndLogged = true
		t.Log.Info("The pause of a backend server is over; requests return step by step.", "server", s.ID, "service", s.Service,
			"paused_ms", p.until.Sub(p.beganAt).Milliseconds(), "requests", p.requests, "last_request", p.lastRequestID)
	}
	if !p.isReturning(now) {
		t.prefixes.forget(p.lent)
		*p = serverPause{waiting: p.waiting}
	}
}

// updatePauses applies updatePause to all servers. The caller holds the lock.
func (t *Table) updatePauses() {
	now := t.now()
	for _, s := range t.servers {
		t.updatePause(s, now)
	}
}

// lendPrefixes records that prompt parts were prefilled by another server than their home, if a pause is the reason. After the
// return, prompts with these parts go home again. The caller holds the lock.
func (t *Table) lendPrefixes(candidates []Candidate, added []prefixKey) {
	home := slices.IndexFunc(candidates, func(c Candidate) bool { return c.IsHome && c.PauseWait > 0 })
	if home < 0 || len(added) == 0 {
		return
	}
	if p := &t.servers[candidates[home].ID].pause; len(p.lent) < maxLentPrefixes {
		p.lent = append(p.lent, added...)
	}
}

// returnedRequests returns how many requests one of the nodes may send in the time from the end of a pause on.
func returnedRequests(sinceEnd time.Duration, nodes float64) float64 {
	perDoubling := returnPerSecond / nodes * returnDoubling.Seconds() / math.Ln2
	return perDoubling * (math.Exp2(sinceEnd.Seconds()/returnDoubling.Seconds()) - 1)
}

// timeOfReturn is the inverse of returnedRequests.
func timeOfReturn(requests, nodes float64) time.Duration {
	perDoubling := returnPerSecond / nodes * returnDoubling.Seconds() / math.Ln2
	return time.Duration(math.Log2(1+requests/perDoubling) * float64(returnDoubling))
}

// wait returns how long a request must wait because of a pause and of the requests that wait already; 0 if it need not.
// hasWaited is true for a request that has waited before.
func (p *serverPause) wait(nodes float64, hasWaited bool, now boottime.Instant) time.Duration {
	if !p.isInForce(now) && !p.isReturning(now) {
		return 0
	}
	p.fill(nodes, now)
	needed := 1 - p.tokens
	if !hasWaited {
		needed += float64(p.waiting)
	}
	from := max(now, p.until)
	if needed <= 0 {
		return from.Sub(now)
	}
	end := p.until.Add(timeOfReturn(returnedRequests(from.Sub(p.until), nodes)+needed, nodes))
	return max(min(end, p.until.Add(returnTime)).Sub(now), time.Millisecond)
}

// fill adds the tokens for the time since the last call, from the end of the pause on.
func (p *serverPause) fill(nodes float64, now boottime.Instant) {
	if now <= p.filledAt {
		return
	}
	added := returnedRequests(now.Sub(p.until), nodes) - returnedRequests(p.filledAt.Sub(p.until), nodes)
	p.tokens, p.filledAt = min(p.tokens+added, maxReturnTokens), now
}

// recordSend takes a request during the return into account.
func (p *serverPause) recordSend() {
	if p.until > 0 {
		p.tokens--
	}
}

// pickAwaited returns the candidate that has asked for a pause and is predicted to send the first byte soonest, if it does so
// within the patience of the request and is the better choice than best, the one among those that may be sent it now.
func pickAwaited(candidates []Candidate, best Candidate, hasBest bool, patience time.Duration) (Candidate, bool) {
	var chosen Candidate
	found := false
	for _, c := range candidates {
		score := c.Score + millis(c.PauseWait)
		if !c.MayAwait || millis(c.PauseWait)+c.FirstByteMillis > millis(patience) || hasBest && score >= best.Score {
			continue
		}
		if !found || score < chosen.Score+millis(chosen.PauseWait) {
			chosen, found = c, true
		}
	}
	return chosen, found
}

// millis returns a duration in milliseconds.
func millis(d time.Duration) float64 { return d.Seconds() * 1000 }

// pausedFor returns the shortest time until the pause of a candidate is over, 0 unless all candidates have asked for one.
func (t *Table) pausedFor(candidates []Candidate, now boottime.Instant) time.Duration {
	shortest := time.Duration(0)
	for _, c := range candidates {
		s := t.servers[c.ID]
		if !s.pause.isInForce(now) {
			return 0
		}
		if left := s.pause.until.Sub(now); shortest == 0 || left < shortest {
			shortest = left
		}
	}
	return shortest
}

// Await waits until a server that has asked for a pause can be expected to take the request, or ctx ends. It must be called
// once if Wait is above 0. Place decides anew then.
func (r *Refusal) Await(ctx context.Context) {
	sleep.For(ctx, r.Wait)
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	r.server.pause.waiting--
}
