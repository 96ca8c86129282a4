package backend

import (
	"cmp"
	"slices"
	"time"

	"chestnutrudder.example/rudder/boottime"
)

const (
	// announcedValue is the only value of the header by which a server announces that it leaves.
	announcedValue = "1"
	// departureReportTime is how long peers are told of an announcement. Later, a node learns of it from the server itself.
	departureReportTime = 30 * time.Second
	// maxDepartureReports bounds the announcements in one report; the latest ones are told.
	maxDepartureReports = 256
	// departureRetention is how long a server that has announced that it leaves is remembered after the registry has dropped
	// it: its entry may come back, for example when the registry recovers from an outage.
	departureRetention = 10 * time.Minute
	// maxUnlistedServers bounds the servers without a request that are remembered although the registry does not list them.
	maxUnlistedServers = 512
)

// leaveReasons is the set of reasons why a server gets no new requests. It serves while the set is empty.
type leaveReasons uint8

const (
	leaveDraining    leaveReasons = 1 << iota // its entry in the registry says so
	leaveUnlisted                             // the registry does not list it any more
	leaveAnnounced                            // one of its responses, to this node or a peer, said so; holds until its process ends
	leaveMisdirected                          // another server answers at its address; holds until its next entry
)

// has reports whether the set holds a reason.
func (r leaveReasons) has(reason leaveReasons) bool { return r&reason != 0 }

// set adds a reason to the set or removes it.
func (r *leaveReasons) set(reason leaveReasons, holds bool) {
	if *r &^= reason; holds {
		*r |= reason
	}
}

// isServing reports whether the server may get new requests.
func (s *Server) isServing() bool { return s.leaving == 0 }

// DepartureReport tells peers that a server has announced that it leaves.
type DepartureReport struct {
	_         struct{} `cbor:",toarray"`
	Server    uint64   // Placement.Incarnation
	AgeMillis int64    // since the response that told it
}

// IsLeaving reports whether the server gets no new requests.
func (p *Placement) IsLeaving() bool {
	p.table.mu.Lock()
	defer p.table.mu.Unlock()
	return !p.Server.isServing()
}

// IsReplaced reports whether the registry has told of another process of the server since the request was placed.
func (p *Placement) IsReplaced() bool {
	p.table.mu.Lock()
	defer p.table.mu.Unlock()
	present, found := p.table.servers[p.ID]
	return found && present.incarnation() != p.Incarnation
}

// MarkMisdirected excludes the server from new requests because another server answers at its address. The next entry of the
// server from the registry lifts this.
func (p *Placement) MarkMisdirected() {
	p.table.mu.Lock()
	defer p.table.mu.Unlock()
	p.Server.leaving.set(leaveMisdirected, true)
}

// RecordDeparture records what a response of the server to a request says of its leaving: values are those of the header that
// announces it. It reports whether this is new. Values other than a single announcedValue change nothing.
func (p *Placement) RecordDeparture(requestID string, values []string) bool {
	if len(values) == 0 {
		return false
	}
	t := p.table
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.latestEntry(p.Server)
	if len(values) > 1 || values[0] != announcedValue {
		t.logMalformed(s, requestID, "leaving", values)
		return false
	}
	if s.leaving.has(leaveAnnounced) {
		return false
	}
	t.Log.Info("Backend server announced that it leaves, and gets no new requests.", "server", s.ID, "service", s.Service, "born", s.StartUnixMillis,
		"request", requestID, "running", s.ownLoad.running)
	s.setDeparture(t.now())
	t.hasUrgentDeparture = true
	return true
}

// setDeparture records the announcement of a server that it leaves. The caller holds the lock.
func (s *Server) setDeparture(at boottime.Instant) {
	s.leaving.set(leaveAnnounced, true)
	s.announcedAt = at
}

// logMalformed logs a header of a server that cannot be used, once for each process of the server. The caller holds the lock.
func (t *Table) logMalformed(s *Server, requestID, subject string, values []string) {
	if s.hasSentMalformed {
		return
	}
	s.hasSentMalformed = true
	t.Log.Warn("Ignored a malformed header of a backend server; further ones of this server are not logged.", "server", s.ID, "request", requestID,
		"subject", subject, "values", len(values), "value", values[0][:min(len(values[0]), maxLoggedValueBytes)])
}

// maxLoggedValueBytes bounds the part of a malformed value that is logged.
const maxLoggedValueBytes = 40

// Departures returns the servers that have announced lately that they leave, for peers.
func (t *Table) Departures() []DepartureReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hasUrgentDeparture = false
	return t.departureReports()
}

// UrgentDepartures returns the same as Departures if a response to this node has announced one since the last report, else
// nil.
func (t *Table) UrgentDepartures() []DepartureReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.hasUrgentDeparture {
		return nil
	}
	t.hasUrgentDeparture = false
	return t.departureReports()
}

// departureReports returns the reports for peers, the latest first. The caller holds the lock.
func (t *Table) departureReports() []DepartureReport {
	now := t.now()
	var list []DepartureReport
	for _, s := range t.servers {
		if age := now.Sub(s.announcedAt); s.leaving.has(leaveAnnounced) && age < departureReportTime {
			list = append(list, DepartureReport{Server: s.incarnation(), AgeMillis: age.Milliseconds()})
		}
	}
	slices.SortFunc(list, func(a, b DepartureReport) int {
		return cmp.Or(cmp.Compare(a.AgeMillis, b.AgeMillis), cmp.Compare(a.Server, b.Server))
	})
	return list[:min(len(list), maxDepartureReports)]
}

// ApplyDepartures adds what a peer reported. Servers that this node does not know yet are marked by a later report.
func (t *Table) ApplyDepartures(peer string, reports []DepartureReport) {
	if len(reports) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	servers := t.serversByIncarnation()
	for _, r := range reports {
		age := time.Duration(min(r.AgeMillis, departureReportTime.Milliseconds())) * time.Millisecond
		s, found := servers[r.Server]
		if !found || s.leaving.has(leaveAnnounced) || age < 0 {
			continue
		}
		t.Log.Info("A peer reported that a backend server leaves; it gets no new requests.", "server", s.ID, "service", s.Service, "born", s.StartUnixMillis,
			"peer", peer, "age_ms", r.AgeMillis, "running", s.ownLoad.running)
		s.setDeparture(t.now().Add(-age))
	}
}

// serversByIncarnation returns the servers by the identity that nodes use among each other. The caller holds the lock.
func (t *Table) serversByIncarnation() map[uint64]*Server {
	servers := make(map[uint64]*Server, len(t.servers))
	for _, s := range t.servers {
		servers[s.incarnation()] = s
	}
	return servers
}

// latestEntry returns the server of the same process with its latest address. The caller holds the lock.
func (t *Table) latestEntry(s *Server) *Server {
	if latest, found := t.servers[s.ID]; found && latest.StartUnixMillis == s.StartUnixMillis && s.StartUnixMillis != 0 {
		return latest
	}
	return s
}

// inheritFrom takes over what outlives a change of the server's address from its entry before: it is the same process.
func (s *Server) inheritFrom(previous *Server) {
	s.leaving.set(leaveAnnounced, previous.leaving.has(leaveAnnounced))
	s.announcedAt = previous.announcedAt
	s.pause = previous.pause
	s.pause.waiting = 0
	s.pace = previous.pace
}

// dropIfForgettable removes a server that the registry does not list, unless it has requests or has to be remembered in case
// its entry comes back. The caller holds the lock.
func (t *Table) dropIfForgettable(s *Server) {
	if t.servers[s.ID] != s || !s.leaving.has(leaveUnlisted) || s.ownLoad.running > 0 {
		return
	}
	now := t.now()
	if s.pause.isInForce(now) || s.leaving.has(leaveAnnounced) && now.Sub(s.unlistedAt) < departureRetention {
		return
	}
	t.forget(s)
}

// forgetUnlisted removes the servers that need not be remembered any more, and the oldest ones if there are too many. The
// caller holds the lock.
func (t *Table) forgetUnlisted() {
	var idle []*Server
	for _, s := range t.servers {
		if t.dropIfForgettable(s); t.servers[s.ID] == s && s.leaving.has(leaveUnlisted) && s.ownLoad.running == 0 {
			idle = append(idle, s)
		}
	}
	if len(idle) <= maxUnlistedServers {
		return
	}
	slices.SortFunc(idle, func(a, b *Server) int { return cmp.Compare(a.unlistedAt, b.unlistedAt) })
	for _, s := range idle[:len(idle)-maxUnlistedServers] {
		t.forget(s)
	}
}
