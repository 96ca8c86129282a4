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
	roundInterval    = 1500 * time.Millisecond
	minFaultDuration = 500 * time.Millisecond
	maxFaultDuration = 5 * time.Second
)

// injector puts faults in and takes them out again. Only its own goroutine uses it.
type injector struct {
	cluster      *process.Cluster
	user         users.User
	plan         process.Plan
	random       *rand.Rand
	faults       []fault
	counts       map[string]int
	startTime    time.Time
	requestCount int
	downNodes    map[string]bool // names of nodes that are stopped or dead
	oracle       *oracle.Oracle
}

// fault is one kind of fault. put returns what takes it out, and false if it does not apply now.
type fault struct {
	name   string
	inject func(*injector) (undo func(), ok bool)
}

func newInjector(cluster *process.Cluster, user users.User, plan process.Plan, seed uint64, faultNames []string, o *oracle.Oracle) (*injector, error) {
	i := &injector{
		cluster: cluster, user: user, plan: plan, random: rand.New(rand.NewPCG(seed, 11)),
		counts: map[string]int{}, startTime: time.Now(), downNodes: map[string]bool{}, oracle: o,
	}
	for _, f := range allFaults() {
		if len(faultNames) == 0 || slices.Contains(faultNames, f.name) {
			i.faults = append(i.faults, f)
		}
	}
	if len(i.faults) == 0 {
		return nil, errors.Errorf("--only: %q, allowed: names of faults", faultNames)
	}
	return i, nil
}

// run puts in one or two faults, holds them, takes them out and lets the system recover a little.
func (i *injector) run(ctx context.Context) {
	for sleep(ctx, roundInterval) {
		var undos []func()
		for range 1 + i.random.IntN(2) {
			f := i.faults[i.random.IntN(len(i.faults))]
			undo, ok := f.inject(i)
			if !ok {
				continue
			}
			i.counts[f.name]++
			i.printEvent("put in: " + f.name)
			undos = append(undos, undo)
		}
		sleep(ctx, minFaultDuration+time.Duration(i.random.Int64N(int64(maxFaultDuration-minFaultDuration))))
		for _, undo := range undos {
			undo()
		}
		i.replaceHosts()
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (i *injector) printEvent(text string) {
	fmt.Printf("%6.1f s  %s\n", time.Since(i.startTime).Seconds(), text)
}

// controlCloud sends a control request to the cloud stand-in.
func (i *injector) controlCloud(method, path string, body any) {
	if err := process.Control(method, i.cluster.Cloud+path, body, nil); err != nil {
		i.printEvent("control: " + err.Error())
	}
}

func (i *injector) listHosts() []cloud.Host {
	var hosts []cloud.Host
	_ = process.Control(http.MethodGet, i.cluster.Cloud+"/v1/hosts", nil, &hosts)
	return hosts
}

func (i *injector) pickHost(matches func(cloud.Host) bool) (cloud.Host, bool) {
	hosts := slices.DeleteFunc(i.listHosts(), func(h cloud.Host) bool { return h.State == cloud.HostLeaving || !matches(h) })
	if len(hosts) == 0 {
		return cloud.Host{}, false
	}
	return hosts[i.random.IntN(len(hosts))], true
}

// replaceHosts rents hosts so that the fleet has its size again, as far as no control loop has done so.
func (i *injector) replaceHosts() {
	hosts := i.listHosts()
	for _, g := range i.plan.Groups {
		liveCount := 0
		for _, h := range hosts {
			if h.Deployment == g.Deployment && h.FailureDomain == g.FailureDomain && h.Reclaimable == g.Reclaimable && h.State == cloud.HostLive {
				liveCount++
			}
		}
		for ; liveCount < g.Count; liveCount++ {
			i.requestCount++
			i.controlCloud(http.MethodPost, "/v1/hosts", cloud.StartRequest{
				Request: fmt.Sprintf("soak-%d", i.requestCount), FailureDomain: g.FailureDomain, Class: g.Class,
				Reclaimable: g.Reclaimable, Backend: g.Backend, Deployment: g.Deployment, ModelVersion: g.ModelVersion,
			})
		}
	}
}

// pickNode picks a node that runs; at most two are away at a time.
func (i *injector) pickNode() (*process.Node, bool) {
	var candidates []*process.Node
	for _, n := range i.cluster.Nodes {
		if !i.downNodes[n.Name] {
			candidates = append(candidates, n)
		}
	}
	if len(candidates) <= len(i.plan.FailureDomains)*nodesPerDomain-2 {
		return nil, false
	}
	return candidates[i.random.IntN(len(candidates))], true
}
