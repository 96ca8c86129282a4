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

// Kind is a kind of host that has one price.
type Kind struct {
	FailureDomain string `json:"failure_domain"`
	Class         string `json:"class"`
	Reclaimable   bool   `json:"reclaimable"`
}

// Settings say how the cloud behaves; a test may change them at any time.
type Settings struct {
	StartMillis   int64    `json:"start_ms"`       // from the request to a serving host, without the weights
	ListLagMillis int64    `json:"list_lag_ms"`    // age of what the host list shows
	RestartMillis int64    `json:"restart_ms"`     // a crashed backend server starts again after this; 0: never
	Refusals      []Refuse `json:"refusals"`       // starts to refuse with 409
	LoseAnswers   int      `json:"lose_answers"`   // starts and releases to do whose answer is dropped
	Down          bool     `json:"down"`           // the cloud API and host list answer 503
	DelayMillis   int64    `json:"delay_ms"`       // before each answer
	HideNotices   bool     `json:"hide_notices"`   // notices are not answered, only the engines show them
	IgnoreFencing bool     `json:"ignore_fencing"` // of engines started from now on
	MaxHosts      int      `json:"max_hosts"`      // 0: no limit; starts above it are refused
}

// Refuse names the starts to refuse; empty fields fit everything.
type Refuse struct {
	FailureDomain string `json:"failure_domain"`
	Class         string `json:"class"`
	Reclaimable   *bool  `json:"reclaimable"`
}

func (r Refuse) fits(k Kind) bool {
	return (r.FailureDomain == "" || r.FailureDomain == k.FailureDomain) && (r.Class == "" || r.Class == k.Class) &&
		(r.Reclaimable == nil || *r.Reclaimable == k.Reclaimable)
}

// Cloud holds the hosts.
type Cloud struct {
	Config  engine.Config
	Ledger  *service.Ledger
	Runs    *engine.RunLedger
	Weights *weights.Store
	// Base is the base URL of this cloud, where engines fetch weights; empty: weights are there at once.
	Base string

	mu        sync.Mutex
	settings  Settings
	hosts     map[string]*host
	number    int
	prices    map[Kind]int64
	requests  map[string]string     // name of a start request → host
	starting  map[string]cloud.Host // all hosts ever rented, as the start was answered
	released  map[string]bool
	notices   []notice
	changed   chan struct{} // closed and replaced at each notice
	snapshots []snapshot
	cost      account
	// engineFaults are those set for all hosts; hosts that start later have them too.
	engineFaults engine.Faults
}

// notice is one reclaim notice.
type notice struct {
	cloud.Notice
	at time.Time // when the host goes away
}

// snapshot is what the host list showed from a time on.
type snapshot struct {
	at    time.Time
	hosts []cloud.Host
}

// snapshotAge is how long old states of the host list are kept, and so the longest lag.
const snapshotAge = 2 * time.Minute

// New returns a cloud without hosts.
func New(config engine.Config) *Cloud {
	c := &Cloud{
		Config:   config,
		Ledger:   &service.Ledger{},
		Runs:     &engine.RunLedger{},
		Weights:  weights.NewStore(weights.Settings{FetchMillis: 500}),
		settings: Settings{StartMillis: 1000, RestartMillis: 1000},
		hosts:    map[string]*host{},
		prices:   map[Kind]int64{},
		requests: map[string]string{},
		starting: map[string]cloud.Host{},
		released: map[string]bool{},
		changed:  make(chan struct{}),
	}
	c.cost.since = time.Now()
	return c
}

// Set replaces the settings.
func (c *Cloud) Set(s Settings) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settings = s
}

// AddGroup starts the hosts of a group at once.
func (c *Cloud) AddGroup(g Group) error {
	c.mu.Lock()
	c.prices[Kind{g.FailureDomain, g.Class, g.Reclaimable}] = g.PriceMicrosPerHour
	c.mu.Unlock()
	for range g.Count {
		h := c.describe(g)
		if err := c.open(h, g.ModelVersion); err != nil {
			return err
		}
		c.join(h)
	}
	return nil
}

// describe names a new host. Names are never used again.
func (c *Cloud) describe(g Group) *host {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.number++
	return &host{proxied: g.Proxied, Host: cloud.Host{
		Name:               fmt.Sprintf("%s-%s-%d", g.Deployment, g.FailureDomain, c.number),
		FailureDomain:      g.FailureDomain,
		Class:              g.Class,
		Reclaimable:        g.Reclaimable,
		PriceMicrosPerHour: g.PriceMicrosPerHour,
		State:              cloud.HostLive,
		Backend:            g.Backend,
		Deployment:         g.Deployment,
	}}
}

// join puts a host into the host list and starts to charge for it.
func (c *Cloud) join(h *host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cost.settle(c.hosts)
	c.hosts[h.Name] = h
	c.record()
}

// remove takes a host away for good.
func (c *Cloud) remove(name string) bool {
	c.mu.Lock()
	h := c.hosts[name]
	if h != nil {
		c.cost.settle(c.hosts)
		delete(c.hosts, name)
		c.record()
	}
	c.mu.Unlock()
	if h == nil {
		return false
	}
	h.close()
	return true
}

// record keeps the present host list. The caller holds the lock.
func (c *Cloud) record() {
	now := time.Now()
	hosts := make([]cloud.Host, 0, len(c.hosts))
	for _, h := range c.hosts {
		hosts = append(hosts, h.Host)
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].Name < hosts[j].Name })
	c.snapshots = append(c.snapshots, snapshot{at: now, hosts: hosts})
	for len(c.snapshots) > 1 && now.Sub(c.snapshots[1].at) > snapshotAge {
		c.snapshots = c.snapshots[1:]
	}
}

// listed returns the hosts that the host list shows, which are as old as its lag. The state before the first hosts
// joined is never shown.
func (c *Cloud) listed() []cloud.Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.snapshots) == 0 {
		return []cloud.Host{}
	}
	until := time.Now().Add(-time.Duration(c.settings.ListLagMillis) * time.Millisecond)
	shown := 0
	for i, s := range c.snapshots {
		if !s.at.After(until) {
			shown = i
		}
	}
	return c.snapshots[shown].hosts
}

// Reclaim asks for hosts to be taken away: one by name, or those of a failure domain.
type Reclaim struct {
	Host          string `json:"host"`
	FailureDomain string `json:"failure_domain"`
	OnDemandToo   bool   `json:"on_demand_too"` // with FailureDomain: also hosts that are not reclaimable
	NoticeMillis  int64  `json:"notice_ms"`
	RefuseNew     bool   `json:"refuse_new"` // backend servers refuse new work from the notice on
}

// Reclaim gives notice to hosts and takes them away at the deadline. It returns their names.
func (c *Cloud) Reclaim(r Reclaim) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := time.Now().Add(time.Duration(r.NoticeMillis) * time.Millisecond)
	names := []string{}
	for name, h := range c.hosts {
		byDomain := r.FailureDomain != "" && h.FailureDomain == r.FailureDomain && (h.Reclaimable || r.OnDemandToo)
		if h.State == cloud.HostLeaving || name != r.Host && !byDomain {
			continue
		}
		h.State = cloud.HostLeaving
		h.leave(at, r.RefuseNew)
		names = append(names, name)
		c.notices = append(c.notices, notice{cloud.Notice{
			Sequence: int64(len(c.notices) + 1), Host: name, FailureDomain: h.FailureDomain,
		}, at})
		time.AfterFunc(time.Until(at), func() { c.remove(name) })
	}
	if len(names) > 0 {
		c.record()
		close(c.changed)
		c.changed = make(chan struct{})
	}
	sort.Strings(names)
	return names
}
