// Package cloud is a stand-in for the platform around hosts: the cloud API, the host list, the weight store, and the
// hosts themselves, whose engines and services run inside this process on ports of their own. Only cmd/standin and
// tests use it.
package cloud

import (
	"fmt"
	"sort"
	"sync"
	"time"

	"chestnutrudder.example/rudder/cloud"
	"chestnutrudder.example/rudder/object"

	"chestnutrudder.example/standin/engine"
	"chestnutrudder.example/standin/service"
	"chestnutrudder.example/standin/weights"
)

// Group describes hosts that exist from the start. Its kind of host can also be rented.
type Group struct {
	Deployment         string         `json:"deployment"`
	Backend            object.Backend `json:"backend"`
	ModelVersion       string         `json:"model_version"`
	FailureDomain      string         `json:"failure_domain"`
	Class              string         `json:"class"`
	Reclaimable        bool           `json:"reclaimable"`
	PriceMicrosPerHour int64          `json:"price_micros_per_hour"`
	Count              int            `json:"count"`
	Proxied            bool           `json:"proxied"` // a fault proxy stands before each host
}

// HostKind is a kind of host that has one price.
type HostKind struct {
	FailureDomain string `json:"failure_domain"`
	Class         string `json:"class"`
	Reclaimable   bool   `json:"reclaimable"`
}

// Settings say how the cloud behaves; a test may change them at any time.
type Settings struct {
	StartMillis   int64         `json:"start_ms"`       // from the request to a serving host, without the weights
	ListLagMillis int64         `json:"list_lag_ms"`    // age of what the host list shows
	RestartMillis int64         `json:"restart_ms"`     // a crashed backend server starts again after this; 0: never
	Refusals      []RefusalRule `json:"refusals"`       // starts to refuse with 409
	LoseAnswers   int           `json:"lose_answers"`   // starts and releases to do whose answer is dropped
	Down          bool          `json:"down"`           // the cloud API and host list answer 503
	DelayMillis   int64         `json:"delay_ms"`       // before each answer
	HideNotices   bool          `json:"hide_notices"`   // notices are not answered, only the engines show them
	IgnoreFencing bool          `json:"ignore_fencing"` // of engines started from now on
	MaxHosts      int           `json:"max_hosts"`      // 0: no limit; starts above it are refused
}

// RefusalRule names the starts to refuse; empty fields fit everything.
type RefusalRule struct {
	FailureDomain string `json:"failure_domain"`
	Class         string `json:"class"`
	Reclaimable   *bool  `json:"reclaimable"`
}

func (r RefusalRule) matches(k HostKind) bool {
	return (r.FailureDomain == "" || r.FailureDomain == k.FailureDomain) && (r.Class == "" || r.Class == k.Class) &&
		(r.Reclaimable == nil || *r.Reclaimable == k.Reclaimable)
}

// Cloud holds the hosts.
type Cloud struct {
	Config       engine.Config
	EffectLedger *service.Ledger
	RunLedger    *engine.RunLedger
	Weights      *weights.Store
	// BaseURL is the base URL of this cloud, where engines fetch weights; empty: weights are there at once.
	BaseURL string

	mu             sync.Mutex
	settings       Settings
	hosts          map[string]*host
	lastHostNumber int
	prices         map[HostKind]int64
	hostByRequest  map[string]string     // name of a start request → host
	rentedHosts    map[string]cloud.Host // all hosts ever rented, as the start was answered
	releasedHosts  map[string]bool
	notices        []notice
	noticesChanged chan struct{} // closed and replaced at each notice
	snapshots      []listSnapshot
	cost           costMeter
	// engineFaults are those set for all hosts; hosts that start later have them too.
	engineFaults engine.Faults
}

// notice is one reclaim notice.
type notice struct {
	cloud.Notice
	removeAt time.Time // when the host goes away
}

// listSnapshot is what the host list showed from a time on.
type listSnapshot struct {
	since time.Time
	hosts []cloud.Host
}

// snapshotRetention is how long old states of the host list are kept, and so the longest lag.
const snapshotRetention = 2 * time.Minute

// New returns a cloud without hosts.
func New(config engine.Config) *Cloud {
	c := &Cloud{
		Config:         config,
		EffectLedger:   &service.Ledger{},
		RunLedger:      &engine.RunLedger{},
		Weights:        weights.NewStore(weights.Settings{FetchMillis: 500}),
		settings:       Settings{StartMillis: 1000, RestartMillis: 1000},
		hosts:          map[string]*host{},
		prices:         map[HostKind]int64{},
		hostByRequest:  map[string]string{},
		rentedHosts:    map[string]cloud.Host{},
		releasedHosts:  map[string]bool{},
		noticesChanged: make(chan struct{}),
	}
	c.cost.accruedUntil = time.Now()
	return c
}

// SetSettings replaces the settings.
func (c *Cloud) SetSettings(s Settings) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settings = s
}

// AddGroup starts the hosts of a group at once.
func (c *Cloud) AddGroup(g Group) error {
	c.mu.Lock()
	c.prices[HostKind{g.FailureDomain, g.Class, g.Reclaimable}] = g.PriceMicrosPerHour
	c.mu.Unlock()
	for range g.Count {
		h := c.newHost(g)
		if err := c.startBackend(h, g.ModelVersion); err != nil {
			return err
		}
		c.addHost(h)
	}
	return nil
}

// newHost names a new host. Names are never used again.
func (c *Cloud) newHost(g Group) *host {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastHostNumber++
	return &host{needsProxy: g.Proxied, Host: cloud.Host{
		Name:               fmt.Sprintf("%s-%s-%d", g.Deployment, g.FailureDomain, c.lastHostNumber),
		FailureDomain:      g.FailureDomain,
		Class:              g.Class,
		Reclaimable:        g.Reclaimable,
		PriceMicrosPerHour: g.PriceMicrosPerHour,
		State:              cloud.HostLive,
		Backend:            g.Backend,
		Deployment:         g.Deployment,
	}}
}

// addHost puts a host into the host list and starts to charge for it.
func (c *Cloud) addHost(h *host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cost.accrue(c.hosts)
	c.hosts[h.Name] = h
	c.recordSnapshot()
}

// removeHost takes a host away for good.
func (c *Cloud) removeHost(name string) bool {
	c.mu.Lock()
	h := c.hosts[name]
	if h != nil {
		c.cost.accrue(c.hosts)
		delete(c.hosts, name)
		c.recordSnapshot()
	}
	c.mu.Unlock()
	if h == nil {
		return false
	}
	h.close()
	return true
}

// recordSnapshot keeps the present host list. The caller holds the lock.
func (c *Cloud) recordSnapshot() {
	now := time.Now()
	hosts := make([]cloud.Host, 0, len(c.hosts))
	for _, h := range c.hosts {
		hosts = append(hosts, h.Host)
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].Name < hosts[j].Name })
	c.snapshots = append(c.snapshots, listSnapshot{since: now, hosts: hosts})
	for len(c.snapshots) > 1 && now.Sub(c.snapshots[1].since) > snapshotRetention {
		c.snapshots = c.snapshots[1:]
	}
}

// listedHosts returns the hosts that the host list shows, which are as old as its lag. The state before the first hosts
// joined is never shown.
func (c *Cloud) listedHosts() []cloud.Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.snapshots) == 0 {
		return []cloud.Host{}
	}
	asOf := time.Now().Add(-time.Duration(c.settings.ListLagMillis) * time.Millisecond)
	latest := 0
	for i, s := range c.snapshots {
		if !s.since.After(asOf) {
			latest = i
		}
	}
	return c.snapshots[latest].hosts
}

// ReclaimRequest asks for hosts to be taken away: one by name, or those of a failure domain.
type ReclaimRequest struct {
	Host          string `json:"host"`
	FailureDomain string `json:"failure_domain"`
	OnDemandToo   bool   `json:"on_demand_too"` // with FailureDomain: also hosts that are not reclaimable
	NoticeMillis  int64  `json:"notice_ms"`
	RefuseNew     bool   `json:"refuse_new"` // backend servers refuse new work from the notice on
}

// Reclaim gives notice to hosts and takes them away at the deadline. It returns their names.
func (c *Cloud) Reclaim(r ReclaimRequest) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	removeAt := time.Now().Add(time.Duration(r.NoticeMillis) * time.Millisecond)
	names := []string{}
	for name, h := range c.hosts {
		isInDomain := r.FailureDomain != "" && h.FailureDomain == r.FailureDomain && (h.Reclaimable || r.OnDemandToo)
		if h.State == cloud.HostLeaving || name != r.Host && !isInDomain {
			continue
		}
		h.State = cloud.HostLeaving
		h.announceRemoval(removeAt, r.RefuseNew)
		names = append(names, name)
		c.notices = append(c.notices, notice{cloud.Notice{
			Sequence: int64(len(c.notices) + 1), Host: name, FailureDomain: h.FailureDomain,
		}, removeAt})
		time.AfterFunc(time.Until(removeAt), func() { c.removeHost(name) })
	}
	if len(names) > 0 {
		c.recordSnapshot()
		close(c.noticesChanged)
		c.noticesChanged = make(chan struct{})
	}
	sort.Strings(names)
	return names
}
