// Package fleet holds the backend servers that a node knows, merged from the host list, notices and the servers' own
// reports. Dispatchers take their backend servers from it.
package fleet

import (
	"context"
	"log/slog"
	"sort"
	"sync"
	"time"

	"chestnutrudder.example/rudder/cloud"
)

const (
	pollInterval = time.Second
	// missingGrace is how long a host that the list no longer shows stays usable while it answers. The list lags and
	// loses entries for some seconds.
	missingGrace = time.Minute
	// silentAfter is how long a backend server may not answer before it gets no work. Its dispatcher asks it every 250 ms.
	silentAfter = time.Second
	// defaultNotice is the time left that is assumed if a source of a notice does not say it.
	defaultNotice = 5 * time.Second
	// forgetAfter is how long a notice stays known after the host has left the list. Host names are never used again, so
	// that this bounds memory only.
	forgetAfter = time.Hour
	// A failure domain is in a wave while at least waveHosts of its hosts got a notice within waveWindow.
	waveHosts  = 2
	waveWindow = 30 * time.Second
)

// Lister reads the host list.
type Lister interface {
	Hosts(ctx context.Context) ([]cloud.Host, error)
}

// server is a known backend server.
type server struct {
	cloud.Host
	missingSince time.Time // first list without it, zero if the last list showed it
	silentSince  time.Time // first question without an answer, zero if the last one was answered
}

// notice says that a host goes away.
type notice struct {
	at            time.Time // when it goes away
	noticed       time.Time
	failureDomain string // empty if not known
}

// Table holds the known backend servers.
type Table struct {
	mu        sync.RWMutex
	now       func() time.Time
	hosts     map[string]server
	leaving   map[string]notice
	known     bool // the host list has been read
	onLeaving func(host, failureDomain string, at time.Time)
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{now: time.Now, hosts: map[string]server{}, leaving: map[string]notice{}}
}

// Update takes a host list. It adds hosts and marks missing ones; it never takes back a notice.
func (t *Table) Update(hosts []cloud.Host) {
	listed := map[string]bool{}
	for _, h := range hosts {
		listed[h.Name] = true
		if h.State == cloud.HostLeaving {
			t.MarkLeaving(h.Name, t.now().Add(defaultNotice))
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.known = true
	now := t.now()
	for _, h := range hosts {
		t.hosts[h.Name] = server{Host: h, silentSince: t.hosts[h.Name].silentSince}
	}
	for name, s := range t.hosts {
		if listed[name] {
			continue
		}
		if s.missingSince.IsZero() {
			s.missingSince = now
			t.hosts[name] = s
		}
		_, leaving := t.leaving[name]
		if leaving || !s.silentSince.IsZero() || now.Sub(s.missingSince) > missingGrace {
			delete(t.hosts, name)
		}
	}
	for name, n := range t.leaving {
		if !listed[name] && now.Sub(n.at) > forgetAfter {
			delete(t.leaving, name)
		}
	}
}

// Known reports whether the host list has been read once.
func (t *Table) Known() bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.known
}

// MarkLeaving records a notice: the host goes away at the given time; of several notices the earliest time counts. It
// reports whether the notice is new. A notice stays in force for the life of the host name.
func (t *Table) MarkLeaving(host string, at time.Time) bool {
	t.mu.RLock()
	failureDomain := t.hosts[host].FailureDomain
	t.mu.RUnlock()
	return t.markLeaving(host, failureDomain, at)
}

func (t *Table) markLeaving(host, failureDomain string, at time.Time) bool {
	t.mu.Lock()
	earlier, known := t.leaving[host]
	switch {
	case !known:
		t.leaving[host] = notice{at: at, noticed: t.now(), failureDomain: failureDomain}
	case at.Before(earlier.at):
		earlier.at = at
		t.leaving[host] = earlier
	}
	onLeaving := t.onLeaving
	t.mu.Unlock()
	if !known && onLeaving != nil {
		onLeaving(host, failureDomain, at)
	}
	return !known
}

// LeavingAt returns when a host goes away, if it has a notice.
func (t *Table) LeavingAt(host string) (time.Time, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	n, leaving := t.leaving[host]
	return n.at, leaving
}

// Waves returns the failure domains that are in a wave of reclaims.
func (t *Table) Waves() map[string]bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	counts := map[string]int{}
	waves := map[string]bool{}
	for _, n := range t.leaving {
		if n.failureDomain == "" || t.now().Sub(n.noticed) > waveWindow {
			continue
		}
		counts[n.failureDomain]++
		if counts[n.failureDomain] >= waveHosts {
			waves[n.failureDomain] = true
		}
	}
	return waves
}

// ReportAnswer notes whether a backend server answered its dispatcher.
func (t *Table) ReportAnswer(host string, answered bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, found := t.hosts[host]
	switch {
	case !found || answered == s.silentSince.IsZero():
		return
	case answered:
		s.silentSince = time.Time{}
	default:
		s.silentSince = t.now()
	}
	t.hosts[host] = s
}

// Silent reports whether a backend server has not answered its dispatcher for a second. Other nodes do not know it.
func (t *Table) Silent(host string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	since := t.hosts[host].silentSince
	return !since.IsZero() && t.now().Sub(since) > silentAfter
}

// ServingByDeployment returns the number of hosts that take new work, by deployment; nil if the hosts are not known yet.
func (t *Table) ServingByDeployment() map[string]int {
	if !t.Known() {
		return nil
	}
	count := map[string]int{}
	for _, h := range t.Serving() {
		count[h.Deployment]++
	}
	return count
}

// Serving returns the hosts that take new work, sorted by name.
func (t *Table) Serving() []cloud.Host {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var hosts []cloud.Host
	for _, s := range t.hosts {
		if _, leaving := t.leaving[s.Name]; !leaving && s.State == cloud.HostLive {
			hosts = append(hosts, s.Host)
		}
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].Name < hosts[j].Name })
	return hosts
}

// Hosts returns every known host, leaving ones too, sorted by name.
func (t *Table) Hosts() []cloud.Host {
	t.mu.RLock()
	defer t.mu.RUnlock()
	hosts := make([]cloud.Host, 0, len(t.hosts))
	for _, s := range t.hosts {
		hosts = append(hosts, s.Host)
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].Name < hosts[j].Name })
	return hosts
}

// Drain gives a host a notice of the system's own: it gets no new work and may finish what it has until the given time.
func (t *Table) Drain(host string, at time.Time) { t.MarkLeaving(host, at) }

// Poll reads the host list until ctx ends. While the list cannot be read the known hosts stay.
func (t *Table) Poll(ctx context.Context, list Lister, log *slog.Logger) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		hosts, err := list.Hosts(ctx)
		if err != nil {
			log.Warn("Host list could not be read.", "error", err)
		} else {
			t.Update(hosts)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
