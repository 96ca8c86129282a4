package backend

import (
	"math"
	"strconv"

	"chestnutrudder.example/rudder/boottime"
)

// serverLimit is what a server in need says of the requests that it takes from all nodes together.
type serverLimit struct {
	perSecond float64          // meaningful if isNamed
	isNamed   bool             // the last response named a limit
	at        boottime.Instant // when that response arrived; 0 if no response has named a limit yet
}

// parseLimit returns the number of requests a second in a header field, false if it is not a number that can be kept.
func parseLimit(value string) (float64, bool) {
	perSecond, err := strconv.ParseFloat(value, 64)
	return perSecond, err == nil && perSecond >= 0 && !math.IsInf(perSecond, 0)
}

// RecordLimit records what a response of the server says of its limit: field is the value of the header that names it, empty
// if the response has none. A value that is not a number changes nothing.
func (p *Placement) RecordLimit(field string) {
	perSecond, isNumber := parseLimit(field)
	if field != "" && !isNumber {
		p.table.Log.Warn("Ignored a malformed limit of a backend server.", "server", p.ID, "limit", field)
		return
	}
	p.table.mu.Lock()
	defer p.table.mu.Unlock()
	p.table.setLimit(p.Server, serverLimit{perSecond: perSecond, isNamed: field != "", at: boottime.Now()})
}

// setLimit sets what is known of the limit of a server, unless something newer is known. The caller holds the lock.
func (t *Table) setLimit(s *Server, l serverLimit) {
	if !l.isNamed && s.limit.at == 0 || l.at <= s.limit.at {
		return
	}
	if l.isNamed && (!s.limit.isNamed || s.limit.perSecond != l.perSecond) {
		t.Log.Info("Backend server names a limit of requests.", "server", s.ID, "service", s.Service, "requests_per_second", l.perSecond)
	}
	if !l.isNamed && s.limit.isNamed {
		t.Log.Info("Backend server names no limit of requests any more.", "server", s.ID, "service", s.Service)
	}
	s.limit = l
}
