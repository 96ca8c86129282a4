package rollout

import (
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"chestnutrudder.example/rudder/boottime"
)

const (
	// directiveLifetime is how long a node follows a share without hearing from the holder of the duty lease. Digests of the
	// holder come each 250 ms, or each 515 ms with 66 nodes, and may be lost.
	directiveLifetime = 2 * time.Second
	// readingInterval is the pause between two readings of the totals that are kept for comparisons.
	readingInterval = 250 * time.Millisecond
	// rateTime is the time over which the rate of requests is measured.
	rateTime = 2 * time.Second
	// maxRoutes and maxOrders bound what is counted and reported.
	maxRoutes = 32
	maxOrders = 64
	// maxReportBytes bounds the reports in one digest, which must fit in a datagram.
	maxReportBytes = 16 << 10
	// doneTime is how long after the completion the other versions get no requests: their servers are stopped meanwhile. Servers
	// of other versions that appear later are used without an order.
	doneTime = 30 * time.Second
)

// RouteCounts are the counts of a node for one route and one of the two versions of an order.
type RouteCounts struct {
	_      struct{} `cbor:",toarray"`
	Route  string
	IsNew  bool // of the version of the order, else of all others
	Counts Counts
}

// Report is what a node tells its peers of an order.
type Report struct {
	_        struct{} `cbor:",toarray"`
	Progress Progress
	IsHolder bool // the sender holds the duty lease and stands by the share
	// OldRunning is the number of the sender's requests at other versions than that of the order.
	OldRunning int
	Arrived    int64 // requests for the service at the sender since the order
	Counts     []RouteCounts
	// KnownArrived and KnownSent are the totals of all nodes that the sender knows, nodes that have ended included.
	KnownArrived, KnownSent int64
}

// TrafficTracker keeps the orders of all services, how far they have come, and the counts of all nodes. It is safe for concurrent use.
type TrafficTracker struct {
	Log *slog.Logger
	// CountServers returns the number of serving servers of a service with and without a version.
	CountServers func(service, version string) (with, others int)
	// CountRunning returns the number of this node's requests at servers with other versions.
	CountRunning func(service, version string) int
	// OnShares is called when the shares of a service change; the second argument is false if there are none any more.
	OnShares func(service string, s VersionShares, isDivided bool)
	// Incarnation identifies this start of the node among all.
	Incarnation string
	// UnixNow returns the time on which the nodes agree.
	UnixNow func() time.Time
	Now     func() boottime.Instant

	mu         sync.Mutex
	services   map[string]*tracked
	reportTurn int // counts the calls of Reports
}

// tracked is what a node knows of the order of one service.
type tracked struct {
	progress    Progress
	directiveAt boottime.Instant // when the holder last told the share
	fullSince   boottime.Instant // when all requests went to the new version; 0 if they do not
	arrived     int64
	own         map[routeVersion]*Counts
	peers       map[string]*peerReport // by incarnation
	knownSent   int64                  // the highest that was told
	knownTotal  int64
	readings    []reading
	shares      VersionShares // last told to OnShares
	isDivided   bool
}

type routeVersion struct {
	route string
	isNew bool
}

type peerReport struct {
	node       string
	report     Report
	receivedAt boottime.Instant
}

// reading holds the totals of all nodes at one time.
type reading struct {
	at    boottime.Instant
	total int64
	totals
}

// NewTrafficTracker returns a tracker without orders.
func NewTrafficTracker(log *slog.Logger) *TrafficTracker {
	return &TrafficTracker{
		Log: log, services: map[string]*tracked{}, Now: boottime.Now, UnixNow: time.Now,
		CountServers: func(string, string) (int, int) { return 0, 0 }, CountRunning: func(string, string) int { return 0 },
		OnShares: func(string, VersionShares, bool) {},
	}
}

// Apply merges what was read or heard of an order.
func (t *TrafficTracker) Apply(p Progress) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.apply(p)
}

// apply is Apply. It returns what is known of the service, nil if there are too many orders. The caller holds the lock.
func (t *TrafficTracker) apply(p Progress) *tracked {
	s, found := t.services[p.Order.Service]
	if !found {
		if len(t.services) >= maxOrders || p.Order.Service == "" || p.Order.To == "" {
			return nil
		}
		s = newTracked()
		t.services[p.Order.Service] = s
	}
	before := s.progress
	after := before.merge(p)
	if after.Phase == "" {
		after.Phase = PhaseRolling
	}
	if before.Order.To != "" && (before.Order.To != after.Order.To || before.Order.ID.Compare(after.Order.EndedAt) <= 0) {
		*s = *newTracked() // counts are those of one order
	}
	s.progress = after
	t.noteChange(s, &before)
	t.updateShares(s)
	return s
}

func newTracked() *tracked {
	return &tracked{own: map[routeVersion]*Counts{}, peers: map[string]*peerReport{}}
}

// noteChange logs a change and notes when it happened. The caller holds the lock.
func (t *TrafficTracker) noteChange(s *tracked, before *Progress) {
	after := &s.progress
	if after.Phase == PhaseDone && after.EndedUnixMillis == 0 && before.Order.To == after.Order.To && before.Phase != PhaseDone {
		after.EndedUnixMillis = t.UnixNow().UnixMilli()
	}
	isFull := after.Phase == PhaseRolling && after.Share >= 1
	if !isFull {
		s.fullSince = 0
	} else if s.fullSince == 0 {
		s.fullSince = t.Now()
	}
	isNews := before.Order.To != after.Order.To || before.Phase != after.Phase || before.Order.IsWithdrawn != after.Order.IsWithdrawn || before.Share != after.Share
	if isNews {
		t.Log.Info("The rollout of a software version has changed.", "service", after.Order.Service, "to", after.Order.To, "order", after.Order.ID, "phase", after.Phase,
			"share", after.Share, "withdrawn", after.Order.IsWithdrawn, "fence", after.Fence, "reason", after.Reason)
	}
}

// updateShares tells OnShares what has changed. The caller holds the lock.
func (t *TrafficTracker) updateShares(s *tracked) {
	now := t.Now()
	shares, isDivided := s.progress.Shares(s.directiveAt == 0 || now.Sub(s.directiveAt) > directiveLifetime)
	if s.progress.Phase == PhaseDone && t.UnixNow().Sub(time.UnixMilli(s.progress.EndedUnixMillis)) > doneTime {
		isDivided = false
	}
	if isDivided == s.isDivided && shares.isEqual(&s.shares) {
		return
	}
	s.shares, s.isDivided = shares, isDivided
	t.OnShares(s.progress.Order.Service, shares, isDivided)
}

func (s *VersionShares) isEqual(o *VersionShares) bool {
	return s.Target == o.Target && s.Share == o.Share && s.IsOnlyTarget == o.IsOnlyTarget && slices.Equal(s.Excluded, o.Excluded) && slices.Equal(s.Held, o.Held)
}

// ApplyReports merges what a peer tells in a digest.
func (t *TrafficTracker) ApplyReports(node, incarnation string, reports []Report) {
	if len(reports) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range reports {
		s := t.apply(r.Progress)
		if s == nil || s.progress.Order.To != r.Progress.Order.To || r.Progress.Order.ID.Compare(s.progress.Order.EndedAt) <= 0 {
			continue
		}
		now := t.Now()
		isHolder := r.IsHolder && r.Progress.Fence >= s.progress.Fence
		if isHolder {
			s.directiveAt = now
		}
		if len(r.Counts) > 2*maxRoutes {
			r.Counts = r.Counts[:2*maxRoutes]
		}
		// Running totals never fall: an older report that arrives late is dropped.
		if p, known := s.peers[incarnation]; !known || r.Arrived >= p.report.Arrived {
			s.peers[incarnation] = &peerReport{node: node, report: r, receivedAt: now}
		}
		s.knownSent, s.knownTotal = max(s.knownSent, r.KnownSent), max(s.knownTotal, r.KnownArrived)
		t.updateShares(s)
	}
}

// NodeTotals are the requests of one node since the order, for the record that outlives the nodes.
type NodeTotals struct {
	Incarnation string `json:"incarnation"`
	Arrived     int64  `json:"arrived"`
	Sent        int64  `json:"sent"` // to the version of the order
}

// AddRecordedTotals adds what a record tells of the requests at nodes that this one has not heard of.
func (t *TrafficTracker) AddRecordedTotals(service string, list []NodeTotals) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, found := t.services[service]
	if !found {
		return
	}
	for _, n := range list {
		if _, isKnown := s.peers[n.Incarnation]; isKnown || n.Incarnation == t.Incarnation {
			continue
		}
		s.peers[n.Incarnation] = &peerReport{report: Report{Arrived: n.Arrived, Counts: []RouteCounts{{IsNew: true, Counts: Counts{Sent: n.Sent}}}}}
	}
}

// nodeTotals returns the requests of all nodes, this one included. The caller holds the lock.
func (t *TrafficTracker) nodeTotals(s *tracked) []NodeTotals {
	own := NodeTotals{Incarnation: t.Incarnation, Arrived: s.arrived}
	for key, c := range s.own {
		if key.isNew {
			own.Sent += c.Sent
		}
	}
	list := []NodeTotals{own}
	for _, incarnation := range slices.Sorted(maps.Keys(s.peers)) {
		r := &s.peers[incarnation].report
		n := NodeTotals{Incarnation: incarnation, Arrived: r.Arrived}
		for _, c := range r.Counts {
			if c.IsNew {
				n.Sent += c.Counts.Sent
			}
		}
		list = append(list, n)
	}
	return list
}

// CountArrival counts a request for a service.
func (t *TrafficTracker) CountArrival(service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.services[service]; s != nil && s.isCounted() {
		s.arrived++
	}
}

// isCounted reports whether the requests of the service are counted.
func (s *tracked) isCounted() bool {
	return s.progress.Phase == PhaseRolling || s.progress.Phase == PhaseReversing
}

// CountSend counts a request that is about to be sent to a server.
func (t *TrafficTracker) CountSend(service, version, route string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := t.counts(service, version, route); c != nil {
		c.Sent++
	}
}

// CountEnd counts the end of a request at a server.
func (t *TrafficTracker) CountEnd(service, version, route string, r Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := t.counts(service, version, route); c != nil {
		c.end(r)
	}
}

// counts returns the counts of a version and a route, nil if they are not counted. The caller holds the lock.
func (t *TrafficTracker) counts(service, version, route string) *Counts {
	s := t.services[service]
	if s == nil || !s.isCounted() || slices.Contains(s.progress.Held, version) {
		return nil
	}
	key := routeVersion{route: route, isNew: version == s.progress.Order.To}
	c, found := s.own[key]
	if !found {
		if len(s.own) >= 2*maxRoutes {
			key.route = "other routes"
		}
		if c, found = s.own[key]; !found {
			c = &Counts{}
			s.own[key] = c
		}
	}
	return c
}

// totals returns the counts of all nodes, and the number of requests that have reached the service.
func (s *tracked) totals() (totals, int64) {
	sum := totals{New: map[string]Counts{}, Old: map[string]Counts{}}
	add := func(route string, isNew bool, c Counts) {
		if isNew {
			sum.New[route] = sum.New[route].Add(c)
		} else {
			sum.Old[route] = sum.Old[route].Add(c)
		}
	}
	total := s.arrived
	for key, c := range s.own {
		add(key.route, key.isNew, *c)
	}
	for _, p := range s.peers {
		total += p.report.Arrived
		for _, c := range p.report.Counts {
			add(c.Route, c.IsNew, c.Counts)
		}
	}
	return sum, total
}

// Reports returns what this node tells its peers. fence is the fencing token of the duty lease if it holds that, else 0. Orders that
// are being carried out go first; if not all fit, the others follow in turn.
func (t *TrafficTracker) Reports(fence int64) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var active, others []string
	for _, service := range slices.Sorted(maps.Keys(t.services)) {
		if t.services[service].isCounted() {
			active = append(active, service)
		} else {
			others = append(others, service)
		}
	}
	if len(others) > 0 {
		t.reportTurn++
		first := t.reportTurn % len(others)
		others = slices.Concat(others[first:], others[:first])
	}
	var reports []Report
	size := 0
	for _, service := range slices.Concat(active, others) {
		r := t.report(t.services[service], fence)
		if size += r.encodedBytes(); size > maxReportBytes {
			break
		}
		reports = append(reports, r)
	}
	return reports
}

// report returns what this node tells of one order. The caller holds the lock.
func (t *TrafficTracker) report(s *tracked, fence int64) Report {
	r := Report{Progress: s.progress, IsHolder: fence > 0 && s.progress.Fence == fence}
	if !s.isCounted() {
		return r
	}
	sum, total := s.totals()
	r.Arrived, r.OldRunning = s.arrived, t.CountRunning(s.progress.Order.Service, s.progress.Order.To)
	r.KnownArrived, r.KnownSent = max(total, s.knownTotal), max(sumCounts(sum.New).Sent, s.knownSent)
	for key, c := range s.own {
		r.Counts = append(r.Counts, RouteCounts{Route: key.route, IsNew: key.isNew, Counts: *c})
	}
	slices.SortFunc(r.Counts, func(a, b RouteCounts) int { return strings.Compare(a.Route, b.Route) })
	return r
}

// encodedBytes returns about how much the report adds to a digest.
func (r *Report) encodedBytes() int {
	const numbersOfReport, numbersOfCounts = 160, 40
	size := numbersOfReport + len(r.Progress.Order.Service) + len(r.Progress.Order.To) + len(r.Progress.Reason)
	for _, v := range r.Progress.Held {
		size += len(v)
	}
	for _, c := range r.Counts {
		size += numbersOfCounts + len(c.Route)
	}
	return size
}

// Reading is the progress of an order with the requests at its version that this node knows of.
type Reading struct {
	Progress  Progress
	Sent, Bad int64
}

// Readings returns how far the orders of all services have come.
func (t *TrafficTracker) Readings() []Reading {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Reading
	for _, service := range slices.Sorted(maps.Keys(t.services)) {
		s := t.services[service]
		sum, _ := s.totals()
		c := sumCounts(sum.New)
		list = append(list, Reading{Progress: s.progress, Sent: max(c.Sent, s.knownSent), Bad: c.bad()})
	}
	return list
}

// HasActive reports whether an order is being carried out for whose version there are servers.
func (t *TrafficTracker) HasActive() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for service, s := range t.services {
		if !s.isCounted() {
			continue
		}
		if with, _ := t.CountServers(service, s.progress.Order.To); with > 0 {
			return true
		}
	}
	return false
}

// Update reads the totals, stops versions that they show to be bad, and drops shares that have grown old. Nodes call it some
// times a second.
func (t *TrafficTracker) Update() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.services {
		s.read(t.Now())
		if s.progress.Phase == PhaseRolling && s.isCounted() {
			with, _ := t.CountServers(s.progress.Order.Service, s.progress.Order.To)
			if reason := TrafficStrategy.Judge(s.evidence(with)); reason != "" {
				before := s.progress
				s.progress.Phase, s.progress.Reason, s.progress.Share = s.progress.Phase.next(true, false), reason, 0
				t.noteChange(s, &before)
			}
		}
		t.updateShares(s)
	}
}

// read keeps a reading of the totals for comparisons.
func (s *tracked) read(now boottime.Instant) {
	if n := len(s.readings); n > 0 && now.Sub(s.readings[n-1].at) < readingInterval || !s.isCounted() {
		return
	}
	sum, total := s.totals()
	s.readings = append(s.readings, reading{at: now, total: total, totals: sum})
	for len(s.readings) > 1 && now.Sub(s.readings[1].at) >= evidenceTime {
		s.readings = s.readings[1:]
	}
}

// evidence returns what the counts of all known nodes show of the new version.
func (s *tracked) evidence(servers int) Evidence {
	var w evidenceWindow
	for _, r := range s.readings {
		w.add(r.totals)
	}
	sum, _ := s.totals()
	return w.evidence(sum, servers)
}
