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

const pollInterval = time.Second

// Lister reads the host list.
type Lister interface {
	Hosts(ctx context.Context) ([]cloud.Host, error)
}

// Table holds the known backend servers.
type Table struct {
	mu      sync.RWMutex
	hosts   map[string]cloud.Host
	leaving map[string]time.Time // host name → when it goes away
	known   bool                 // the host list has been read
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{hosts: map[string]cloud.Host{}, leaving: map[string]time.Time{}}
}

// Update replaces the hosts by those of the host list. A notice stays in force whatever the list shows.
func (t *Table) Update(hosts []cloud.Host) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.known = true
	t.hosts = make(map[string]cloud.Host, len(hosts))
	for _, h := range hosts {
		t.hosts[h.Name] = h
	}
}

// Known reports whether the host list has been read once.
func (t *Table) Known() bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.known
}

// MarkLeaving records a notice: the host goes away at the given time. It reports whether the notice is new.
func (t *Table) MarkLeaving(host string, at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.leaving[host]; known {
		return false
	}
	t.leaving[host] = at
	return true
}

// LeavingAt returns when a host goes away, if it has a notice.
func (t *Table) LeavingAt(host string) (time.Time, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	at, leaving := t.leaving[host]
	return at, leaving
}

// Serving returns the hosts that take new work, sorted by name.
func (t *Table) Serving() []cloud.Host {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var hosts []cloud.Host
	for _, h := range t.hosts {
		if _, leaving := t.leaving[h.Name]; !leaving && h.State == cloud.HostLive {
			hosts = append(hosts, h)
		}
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].Name < hosts[j].Name })
	return hosts
}

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
