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
	hostListPollInterval = time.Second
	// unlistedGracePeriod is how long a host that the list no longer shows stays usable while it answers. The list lags and
	// loses entries for some seconds.
	unlistedGracePeriod = time.Minute
	// unresponsiveAfter is how long a backend server may not answer before it gets no work. Its dispatcher asks it every 250 ms.
	unresponsiveAfter = time.Second
	// defaultNoticePeriod is the time left that is assumed if a source of a notice does not say it.
	defaultNoticePeriod = 5 * time.Second
	// noticeRetention is how long a notice stays known after the host has left the list. Host names are never used again, so
	// that this bounds memory only.
	noticeRetention = time.Hour
	// A failure domain is in a wave while at least minWaveHosts of its hosts got a notice within waveWindow.
	minWaveHosts = 2
	waveWindow   = 30 * time.Second
)

// HostLister reads the host list.
type HostLister interface {
	Hosts(ctx context.Context) ([]cloud.Host, error)
}

// backendServer is a known backend backendServer.
type backendServer struct {
	cloud.Host
	unlistedSince     time.Time // first list without it, zero if the last list showed it
	unresponsiveSince time.Time // first question without an answer, zero if the last one was answered
}

// hostNotice says that a host goes away.
type hostNotice struct {
	leavingAt     time.Time // when it goes away
	receivedAt    time.Time
	failureDomain string // empty if not known
}

// Table holds the known backend servers.
type Table struct {
	mu          sync.RWMutex
	now         func() time.Time
	hosts       map[string]backendServer
	notices     map[string]hostNotice
	hasHostList bool // the host list has been read
	onNewNotice func(host, failureDomain string, at time.Time)
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{now: time.Now, hosts: map[string]backendServer{}, notices: map[string]hostNotice{}}
}

// Update takes a host list. It adds hosts and marks missing ones; it never takes back a notice.
func (t *Table) Update(hosts []cloud.Host) {
	listed := map[string]bool{}
	for _, h := range hosts {
		listed[h.Name] = true
		if h.State == cloud.HostLeaving {
			t.MarkLeaving(h.Name, t.now().Add(defaultNoticePeriod))
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hasHostList = true
	now := t.now()
	for _, h := range hosts {
		t.hosts[h.Name] = backendServer{Host: h, unresponsiveSince: t.hosts[h.Name].unresponsiveSince}
	}
	for name, s := range t.hosts {
		if listed[name] {
			continue
		}
		if s.unlistedSince.IsZero() {
			s.unlistedSince = now
			t.hosts[name] = s
		}
		_, leaving := t.notices[name]
		if leaving || !s.unresponsiveSince.IsZero() || now.Sub(s.unlistedSince) > unlistedGracePeriod {
			delete(t.hosts, name)
		}
	}
	for name, n := range t.notices {
		if !listed[name] && now.Sub(n.leavingAt) > noticeRetention {
			delete(t.notices, name)
		}
	}
}

// HasHostList reports whether the host list has been read once.
func (t *Table) HasHostList() bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.hasHostList
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
	previous, known := t.notices[host]
	switch {
	case !known:
		t.notices[host] = hostNotice{leavingAt: at, receivedAt: t.now(), failureDomain: failureDomain}
	case at.Before(previous.leavingAt):
		previous.leavingAt = at
		t.notices[host] = previous
	}
	onNewNotice := t.onNewNotice
	t.mu.Unlock()
	if !known && onNewNotice != nil {
		onNewNotice(host, failureDomain, at)
	}
	return !known
}

// LeavingAt returns when a host goes away, if it has a notice.
func (t *Table) LeavingAt(host string) (time.Time, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	n, leaving := t.notices[host]
	return n.leavingAt, leaving
}

// DomainsInWave returns the failure domains that are in a wave of reclaims.
func (t *Table) DomainsInWave() map[string]bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	counts := map[string]int{}
	inWave := map[string]bool{}
	for _, n := range t.notices {
		if n.failureDomain == "" || t.now().Sub(n.receivedAt) > waveWindow {
			continue
		}
		counts[n.failureDomain]++
		if counts[n.failureDomain] >= minWaveHosts {
			inWave[n.failureDomain] = true
		}
	}
	return inWave
}

// ReportPollResult notes whether a backend server answered its dispatcher.
func (t *Table) ReportPollResult(host string, answered bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, found := t.hosts[host]
	switch {
	case !found || answered == s.unresponsiveSince.IsZero():
		return
	case answered:
		s.unresponsiveSince = time.Time{}
	default:
		s.unresponsiveSince = t.now()
	}
	t.hosts[host] = s
}

// IsUnresponsive reports whether a backend server has not answered its dispatcher for a second. Other nodes do not know it.
func (t *Table) IsUnresponsive(host string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	unresponsiveSince := t.hosts[host].unresponsiveSince
	return !unresponsiveSince.IsZero() && t.now().Sub(unresponsiveSince) > unresponsiveAfter
}

// CountServingHosts returns the number of hosts that take new work, by deployment; nil if the hosts are not known yet.
func (t *Table) CountServingHosts() map[string]int {
	if !t.HasHostList() {
		return nil
	}
	counts := map[string]int{}
	for _, h := range t.ServingHosts() {
		counts[h.Deployment]++
	}
	return counts
}

// ServingHosts returns the hosts that take new work, sorted by name.
func (t *Table) ServingHosts() []cloud.Host {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var hosts []cloud.Host
	for _, s := range t.hosts {
		if _, leaving := t.notices[s.Name]; !leaving && s.State == cloud.HostLive {
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
func (t *Table) Poll(ctx context.Context, lister HostLister, log *slog.Logger) {
	ticker := time.NewTicker(hostListPollInterval)
	defer ticker.Stop()
	for {
		hosts, err := lister.Hosts(ctx)
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
