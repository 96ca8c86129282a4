package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/cloud"

	"chestnutrudder.example/standin/oracle"
	"chestnutrudder.example/standin/process"
	"chestnutrudder.example/standin/users"
)

const (
	pauseBetween = 1500 * time.Millisecond
	shortestHold = 500 * time.Millisecond
	longestHold  = 5 * time.Second
)

// injector puts faults in and takes them out again. Only its own goroutine uses it.
type injector struct {
	cluster *process.Cluster
	user    users.User
	plan    process.ClusterConfig
	random  *rand.Rand
	faults  []fault
	counts  map[string]int
	started time.Time
	request int
	down    map[string]bool // names of nodes that are stopped or dead
	oracle  *oracle.Oracle
}

// fault is one kind of fault. put returns what takes it out, and false if it does not apply now.
type fault struct {
	name string
	put  func(*injector) (undo func(), ok bool)
}

func newInjector(cluster *process.Cluster, user users.User, plan process.ClusterConfig, seed uint64, only []string, o *oracle.Oracle) (*injector, error) {
	i := &injector{
		cluster: cluster, user: user, plan: plan, random: rand.New(rand.NewPCG(seed, 11)),
		counts: map[string]int{}, started: time.Now(), down: map[string]bool{}, oracle: o,
	}
	for _, f := range allFaults() {
		if len(only) == 0 || slices.Contains(only, f.name) {
			i.faults = append(i.faults, f)
		}
	}
	if len(i.faults) == 0 {
		return nil, errors.Errorf("--only: %q, allowed: names of faults", only)
	}
	return i, nil
}

// loop puts in one or two faults, holds them, takes them out and lets the system recover a little.
func (i *injector) loop(ctx context.Context) {
	for wait(ctx, pauseBetween) {
		var undos []func()
		for range 1 + i.random.IntN(2) {
			f := i.faults[i.random.IntN(len(i.faults))]
			undo, ok := f.put(i)
			if !ok {
				continue
			}
			i.counts[f.name]++
			i.log("put in: " + f.name)
			undos = append(undos, undo)
		}
		wait(ctx, shortestHold+time.Duration(i.random.Int64N(int64(longestHold-shortestHold))))
		for _, undo := range undos {
			undo()
		}
		i.replaceHosts()
	}
}

func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (i *injector) log(text string) {
	fmt.Printf("%6.1f s  %s\n", time.Since(i.started).Seconds(), text)
}

// cloud sends a control request to the cloud stand-in.
func (i *injector) cloud(method, path string, body any) {
	if err := process.DoJSON(method, i.cluster.CloudURL+path, body, nil); err != nil {
		i.log("control: " + err.Error())
	}
}

func (i *injector) hosts() []cloud.Host {
	var hosts []cloud.Host
	_ = process.DoJSON(http.MethodGet, i.cluster.CloudURL+"/v1/hosts", nil, &hosts)
	return hosts
}

func (i *injector) host(fits func(cloud.Host) bool) (cloud.Host, bool) {
	hosts := slices.DeleteFunc(i.hosts(), func(h cloud.Host) bool { return h.State == cloud.HostLeaving || !fits(h) })
	if len(hosts) == 0 {
		return cloud.Host{}, false
	}
	return hosts[i.random.IntN(len(hosts))], true
}

// replaceHosts rents hosts so that the fleet has its size again, as far as no control loop has done so.
func (i *injector) replaceHosts() {
	hosts := i.hosts()
	for _, g := range i.plan.HostGroups {
		present := 0
		for _, h := range hosts {
			if h.Deployment == g.Deployment && h.FailureDomain == g.FailureDomain && h.Reclaimable == g.Reclaimable && h.State == cloud.HostLive {
				present++
			}
		}
		for ; present < g.Count; present++ {
			i.request++
			i.cloud(http.MethodPost, "/v1/hosts", cloud.StartRequest{
				Request: fmt.Sprintf("soak-%d", i.request), FailureDomain: g.FailureDomain, Class: g.Class,
				Reclaimable: g.Reclaimable, Backend: g.Backend, Deployment: g.Deployment, ModelVersion: g.ModelVersion,
			})
		}
	}
}

// node picks a node that runs; at most two are away at a time.
func (i *injector) node() (*process.Node, bool) {
	var up []*process.Node
	for _, n := range i.cluster.Nodes {
		if !i.down[n.Name] {
			up = append(up, n)
		}
	}
	if len(up) <= len(i.plan.FailureDomains)*nodesPerDomain-2 {
		return nil, false
	}
	return up[i.random.IntN(len(up))], true
}
