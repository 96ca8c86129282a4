// Package cloud is a stand-in for the platform that provides hosts: the cloud API, the host list, the weight store and
// the hosts themselves. The model engines and services of the hosts run in this process, each on its own port.
// cmd/standin runs it; other packages of standin use only its types.
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

// Group describes identical hosts that exist from the start. More hosts of the same kind can be rented at the same price.
type Group struct {
	Deployment         string         `json:"deployment"`
	Backend            object.Backend `json:"backend"`
	ModelVersion       string         `json:"model_version"`
	FailureDomain      string         `json:"failure_domain"`
	Class              string         `json:"class"`
	Reclaimable        bool           `json:"reclaimable"`
	PriceMicrosPerHour int64          `json:"price_micros_per_hour"`
	Count              int            `json:"count"`
	Proxied            bool           `json:"proxied"` // traffic to each host passes through a fault proxy
}

// HostKind identifies the hosts that share one price.
type HostKind struct {
	FailureDomain string `json:"failure_domain"`
	Class         string `json:"class"`
	Reclaimable   bool   `json:"reclaimable"`
}

// Settings control the behaviour of the cloud. They can be changed at any time.
type Settings struct {
	StartMillis   int64         `json:"start_ms"`       // from a start request until the host serves, without fetching weights
	ListLagMillis int64         `json:"list_lag_ms"`    // how far the host list lags behind; at most snapshotRetention
	RestartMillis int64         `json:"restart_ms"`     // delay before a crashed backend server restarts; 0: no restart
	Refusals      []RefusalRule `json:"refusals"`       // start requests that match any of these rules are refused with 409
	DropResponses int           `json:"lose_answers"`   // number of starts and releases to execute without a response
	Down          bool          `json:"down"`           // the cloud API and the host list respond with 503
	DelayMillis   int64         `json:"delay_ms"`       // delay before each response of the cloud API and the host list
	HideNotices   bool          `json:"hide_notices"`   // the cloud API returns no notices; only the engines report them
	IgnoreFencing bool          `json:"ignore_fencing"` // engines started later accept orders with an outdated fencing token
	MaxHosts      int           `json:"max_hosts"`      // start requests are refused when this many hosts exist; 0: no limit
}

// RefusalRule selects start requests by the kind of host. Empty fields match every kind.
type RefusalRule struct {
	FailureDomain string `json:"failure_domain"`
	Class         string `json:"class"`
	Reclaimable   *bool  `json:"reclaimable"`
}

func (r RefusalRule) matches(k HostKind) bool {
	return (r.FailureDomain == "" || r.FailureDomain == k.FailureDomain) && (r.Class == "" || r.Class == k.Class) &&
		(r.Reclaimable == nil || *r.Reclaimable == k.Reclaimable)
}

// Cloud holds the hosts and implements the cloud API, the host list and the weight store.
type Cloud struct {
	Config       engine.Config
	EffectLedger *service.Ledger
	RunLedger    *engine.RunLedger
	Weights      *weights.Store
	// BaseURL is the base URL of this cloud, from which engines fetch weights. If it is empty, weights are available
	// immediately.
	BaseURL string

	mu             sync.Mutex
	settings       Settings
	hosts          map[string]*host
	lastHostNumber int
	prices         map[HostKind]int64
	hostByRequest  map[string]string     // idempotency key of a start request → host name
	rentedHosts    map[string]cloud.Host // every host ever rented, as in the response to the start request
	releasedHosts  map[string]bool
	notices        []notice
	noticesChanged chan struct{} // closed and replaced when notices are added
	snapshots      []listSnapshot
	cost           costMeter
	// engineFaults are the faults set for all hosts. Engines that start later get them too.
	engineFaults engine.Faults
}

// notice is a reclaim notice with the time of the removal.
type notice struct {
	cloud.Notice
	removeAt time.Time // when the host is removed
}

// listSnapshot is the content of the host list from a point in time on.
type listSnapshot struct {
	since time.Time
	hosts []cloud.Host
}

// snapshotRetention is how long snapshots of the host list are kept. It limits Settings.ListLagMillis.
const snapshotRetention = 2 * time.Minute

// New returns a cloud without hosts. All engines use config, apart from the fields that depend on the host.
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

// AddGroup sets the price of the group's kind of host, starts the hosts of the group and adds them to the host list
// without delay.
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

// newHost returns a new host with a unique name. The host is neither started nor in the host list.
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

// addHost adds a host to the host list and starts charging for it.
func (c *Cloud) addHost(h *host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cost.accrue(c.hosts)
	c.hosts[h.Name] = h
	c.recordSnapshot()
}

// removeHost permanently removes a host and closes its connections. It reports whether the host existed.
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

// recordSnapshot adds a snapshot of the current hosts and drops expired ones. The caller must hold c.mu.
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

// listedHosts returns the content of the host list as of Settings.ListLagMillis ago. If there is no snapshot that old,
// it returns the oldest one and not an empty list.
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

// ReclaimRequest selects the hosts to reclaim: one host by name, or the reclaimable hosts of a failure domain.
type ReclaimRequest struct {
	Host          string `json:"host"`
	FailureDomain string `json:"failure_domain"`
	OnDemandToo   bool   `json:"on_demand_too"` // with FailureDomain: also the on-demand hosts
	NoticeMillis  int64  `json:"notice_ms"`     // time from the notice to the removal
	RefuseNew     bool   `json:"refuse_new"`    // the backend servers refuse new work as soon as the notice is given
}

// Reclaim gives notice to the selected hosts and removes them when the notice period is over. Hosts that already have a
// notice are skipped. It returns the names of the hosts, sorted.
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
