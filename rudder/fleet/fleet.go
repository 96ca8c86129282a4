// Package fleet holds the hosts that a node knows. It merges the host list, the notices of hosts that go away and the
// results of the load polls of the dispatchers. Dispatchers and entry nodes choose hosts for new work from it.
package fleet

import (
	"context"
	"log/slog"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/cloud"
)

const (
	hostListPollInterval = time.Second
	// unlistedGracePeriod is how long a host that the host list no longer shows stays usable while it answers. The list
	// lags and loses entries for some seconds.
	unlistedGracePeriod = time.Minute
	// unresponsiveAfter is how long a backend server may leave the polls of its dispatcher unanswered before it gets no
	// new work. The dispatcher polls every 250 ms.
	unresponsiveAfter = time.Second
	// defaultNoticePeriod is the time left that is assumed for a notice from the host list, which does not contain it.
	defaultNoticePeriod = 5 * time.Second
	// noticeRetention is how long the notice of an unlisted host is kept after the time when the host goes away. Host
	// names are never used again, so that this only bounds memory.
	noticeRetention = time.Hour
	// A failure domain is in a reclaim wave while at least minWaveHosts of its hosts got a notice within waveWindow.
	minWaveHosts = 2
	waveWindow   = 30 * time.Second
)

// HostLister reads the host list. It returns the errors of cloud.HostList.
type HostLister interface {
	Hosts(ctx context.Context) ([]cloud.Host, error)
}

// backendServer is a host with what is known about the availability of its backend server.
type backendServer struct {
	cloud.Host
	unlistedSince     time.Time // time of the first host list without it, zero if the last one shows it
	unresponsiveSince time.Time // time of the first unanswered poll, zero if the last one was answered
}

// hostNotice is a notice that a host goes away, from the cloud or from Drain.
type hostNotice struct {
	leavingAt     time.Time // when the host goes away
	receivedAt    time.Time // when this node got the notice
	failureDomain string    // empty if not known
}

// Table holds the known hosts and their notices. It is safe for concurrent use.
type Table struct {
	mu          sync.RWMutex
	now         func() time.Time
	hosts       map[string]backendServer                       // by host name
	notices     map[string]hostNotice                          // by host name
	hasHostList bool                                           // the host list has been read at least once
	onNewNotice func(host, failureDomain string, at time.Time) // called for the first notice of each host, may be nil
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{now: time.Now, hosts: map[string]backendServer{}, notices: map[string]hostNotice{}}
}

// Update applies a new host list. It adds hosts, and removes those that have been missing for longer than
// unlistedGracePeriod, or at once if they do not answer or have a notice. It never revokes a notice.
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

// HasHostList reports whether the host list has been read at least once.
func (t *Table) HasHostList() bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.hasHostList
}

// MarkLeaving records a notice that the host goes away at the given time and reports whether it is the first one for the
// host; of several notices the earliest time counts. A notice stays in force as long as the host name exists.
func (t *Table) MarkLeaving(host string, at time.Time) bool {
	t.mu.RLock()
	failureDomain := t.hosts[host].FailureDomain
	t.mu.RUnlock()
	return t.markLeaving(host, failureDomain, at)
}

// markLeaving is MarkLeaving for a host whose failure domain the caller knows.
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

// LeavingAt returns when a host goes away, and false if it has no notice.
func (t *Table) LeavingAt(host string) (time.Time, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	n, leaving := t.notices[host]
	return n.leavingAt, leaving
}

// DomainsInWave returns the failure domains that are in a reclaim wave.
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

// ReportPollResult records whether a backend server answered the last poll of its dispatcher.
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

// IsUnresponsive reports whether a backend server has not answered its dispatcher for more than a second. Only the node
// that runs the dispatcher knows this.
func (t *Table) IsUnresponsive(host string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	unresponsiveSince := t.hosts[host].unresponsiveSince
	return !unresponsiveSince.IsZero() && t.now().Sub(unresponsiveSince) > unresponsiveAfter
}

// CountServingHosts returns the number of hosts that accept new work, by deployment; nil if the host list has not been
// read yet.
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

// ServingHosts returns the hosts that accept new work, sorted by name. Unresponsive ones are among them.
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

// Hosts returns every known host, including leaving ones, sorted by name.
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

// Drain records a notice that does not come from the cloud but from this system: the host gets no new work and may
// finish its runs until the given time.
func (t *Table) Drain(host string, at time.Time) { t.MarkLeaving(host, at) }

// Poll reads the host list every second until ctx ends. While the list cannot be read, the known hosts stay; entries that
// cannot be read count as not listed.
func (t *Table) Poll(ctx context.Context, lister HostLister, log *slog.Logger) {
	ticker := time.NewTicker(hostListPollInterval)
	defer ticker.Stop()
	loggedProblem := ""
	for {
		hosts, err := lister.Hosts(ctx)
		isPartial := errors.Is(err, cloud.ErrUnreadableEntries)
		switch {
		case err == nil:
			loggedProblem = ""
		case !isPartial:
			log.Warn("Failed to read the host list; keeping the known hosts.", "error", err)
		case err.Error() != loggedProblem:
			log.Warn("Entries of the host list cannot be read; they are left out.", "error", err)
			loggedProblem = err.Error()
		}
		if err == nil || isPartial {
			t.Update(hosts)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
