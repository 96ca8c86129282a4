package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

func init() { cases["usage-reported-twice"] = playUsageReportedTwice }

// usageReport is a report that the cloud API has accepted.
type usageReport struct {
	holder string
	fence  int64
	counts map[string]int
}

// usageCloud is a cloud API. It refuses calls whose fencing token is lower than one that it has seen for the same path.
type usageCloud struct {
	record   *record
	listener net.Listener

	mu       sync.Mutex
	highest  map[string]int64
	reports  map[int64][]usageReport // by window
	accepted chan int64              // windows, as their reports are accepted
}

func newUsageCloud(rec *record) (*usageCloud, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	c := &usageCloud{record: rec, listener: listener, highest: map[string]int64{}, reports: map[int64][]usageReport{}, accepted: make(chan int64, 1000)}
	if err == nil {
		go func() { _ = http.Serve(listener, c) }()
	}
	return c, err
}

func (c *usageCloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	fence, err := strconv.ParseInt(r.Header.Get("X-Fence-Token"), 10, 64)
	var body struct {
		WindowIndex   int64          `json:"windowIndex"`
		RequestCounts map[string]int `json:"requestCounts"`
	}
	if err != nil || json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if fence < c.highest[r.URL.Path] {
		w.WriteHeader(http.StatusConflict)
		return
	}
	c.highest[r.URL.Path] = fence
	if r.URL.Path != "/usage" {
		return
	}
	report := usageReport{holder: r.Header.Get("X-Duty-Holder"), fence: fence, counts: body.RequestCounts}
	c.reports[body.WindowIndex] = append(c.reports[body.WindowIndex], report)
	c.record.printf("the cloud API accepts the report of window %d from %s with fencing token %d: %v", body.WindowIndex, report.holder, fence, report.counts)
	select {
	case c.accepted <- body.WindowIndex:
	default:
	}
}

// lastHolder returns the holder of the last report of a window.
func (c *usageCloud) lastHolder(window int64) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	reports := c.reports[window]
	return reports[len(reports)-1].holder
}

// violations returns the windows that were reported with different counts.
func (c *usageCloud) violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []string
	for window, reports := range c.reports {
		for _, r := range reports[1:] {
			if !maps.Equal(r.counts, reports[0].counts) {
				list = append(list, fmt.Sprintf("ONE: the platform accepted two reports of window %d: %v from %s, then %v from %s", window, reports[0].counts, reports[0].holder, r.counts, r.holder))
			}
		}
	}
	return list
}

// playUsageReportedTwice: the node that holds the duties is cut off from the other nodes for 5.4 s, and reports a window meanwhile.
// Right after the platform has accepted the report, that node is killed, and the store comes back from a copy.
func playUsageReportedTwice(rec *record, isDisturbed bool) ([]string, error) {
	const window, cutBefore = 5 * time.Second, 2 * time.Second
	cloud, err := newUsageCloud(rec)
	if err != nil {
		return nil, err
	}
	defer cloud.listener.Close()
	// A node that reaches no other one reads the addresses of nodes in the store, each 5 s. The cut falls between two readings.
	time.Sleep(time.Until(time.Now().Truncate(window).Add(window + 750*time.Millisecond)))
	d := deployment{nodes: 6, config: exampleConfig(), cloud: cloud.listener.Addr().String(), hasCutNetwork: true}
	s, err := startSystem(rec, d)
	if err != nil {
		return nil, err
	}
	defer s.close()
	var desks []*runnerProcess
	for i, zone := range s.zones {
		r, err := s.startRunner(fmt.Sprintf("i-%d", i), "order-desk", zone, "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		s.register(r, "ready")
		desks = append(desks, r)
	}
	if err := s.awaitReady(20 * time.Second); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	defer func() { close(stop); group.Wait() }()
	for i := range 12 {
		group.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(250 * time.Millisecond):
				}
				s.send(s.nodes[i%len(s.nodes)], request{method: "GET", path: "/look/x", id: fmt.Sprintf("look-%d-%d", i, k), deadline: time.Second})
			}
		})
	}
	var last int64
	for range 2 { // the first reports show who holds the duties
		select {
		case last = <-cloud.accepted:
		case <-time.After(25 * time.Second):
			return nil, errors.Wrap(errCannotRun, "no usage report")
		}
	}
	holder := -1
	for i, n := range s.nodes {
		if n.name == cloud.lastHolder(last) {
			holder = i
		}
	}
	if holder < 0 {
		return nil, errors.Wrap(errCannotRun, "the holder of the duties is not known")
	}
	end := time.Now().Truncate(window).Add(window) // of the window that is running
	if time.Until(end) < cutBefore {
		end = end.Add(window)
	}
	index := end.UnixNano()/int64(window) - 1
	if isDisturbed {
		time.Sleep(time.Until(end.Add(-cutBefore)))
		rec.printf("%s, which holds the duties, is cut off from the other nodes; window %d is running", s.nodes[holder].name, index)
		s.network.setCutOff(holder, true)
		time.Sleep(time.Until(end.Add(300 * time.Millisecond)))
		storeCopy := s.store.Copy()
		rec.printf("a copy of the store is taken")
		for reported := int64(-1); reported != index; {
			select {
			case reported = <-cloud.accepted:
			case <-time.After(8 * time.Second):
				return nil, errors.Wrap(errCannotRun, "the window was not reported")
			}
		}
		s.nodes[holder].signal(syscall.SIGKILL)
		s.store.SetDown(true)
		rec.printf("%s is killed, and the store is away", s.nodes[holder].name)
		time.Sleep(100 * time.Millisecond)
		s.store.Restore(storeCopy)
		s.store.Set("config", "main", d.config)
		for _, r := range desks {
			s.register(r, "ready")
		}
		s.store.SetDown(false)
		s.network.setCutOff(holder, false)
		rec.printf("the store is back from the copy, what the operator and the runners wrote is written again, and the cut heals")
		time.Sleep(3500 * time.Millisecond)
		<-s.nodes[holder].exited
		if err := s.startNode(s.nodes[holder], d, false); err != nil {
			return nil, err
		}
		rec.printf("%s starts again", s.nodes[holder].name)
	}
	time.Sleep(time.Until(end.Add(12 * time.Second)))
	return cloud.violations(), nil
}
