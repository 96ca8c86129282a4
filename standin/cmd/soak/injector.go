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

// injector injects faults and undoes them. It is not safe for concurrent use: only the goroutine of run uses it.
type injector struct {
	cluster       *process.Cluster
	user          users.User
	clusterConfig process.ClusterConfig
	random        *rand.Rand
	faults        []fault
	counts        map[string]int // injected faults by name
	startTime     time.Time
	requestCount  int
	downNodes     map[string]bool // names of paused and killed nodes
	oracle        *oracle.Oracle
}

// fault is one kind of fault. Its inject function returns the undo function, and false if it cannot be injected now.
type fault struct {
	name   string
	inject func(*injector) (undo func(), ok bool)
}

// newInjector returns an injector of the named faults, or of all if no name is given.
func newInjector(cluster *process.Cluster, user users.User, clusterConfig process.ClusterConfig, seed uint64, faultNames []string, o *oracle.Oracle) (*injector, error) {
	i := &injector{
		cluster: cluster, user: user, clusterConfig: clusterConfig, random: rand.New(rand.NewPCG(seed, 11)),
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

// run injects faults in rounds until ctx ends. A round injects one or two faults, keeps them for a random time, undoes them
// and replaces missing hosts; roundInterval lies between rounds.
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

// sleep waits for a duration and returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// printEvent prints a line with the time since the start.
func (i *injector) printEvent(text string) {
	fmt.Printf("%6.1f s  %s\n", time.Since(i.startTime).Seconds(), text)
}

// controlCloud sends a control request to the cloud stand-in and prints its error, if any.
func (i *injector) controlCloud(method, path string, body any) {
	if err := process.DoJSON(method, i.cluster.CloudURL+path, body, nil); err != nil {
		i.printEvent("control: " + err.Error())
	}
}

func (i *injector) listHosts() []cloud.Host {
	var hosts []cloud.Host
	_ = process.DoJSON(http.MethodGet, i.cluster.CloudURL+"/v1/hosts", nil, &hosts)
	return hosts
}

// pickHost returns a random host that matches and is not leaving.
func (i *injector) pickHost(matches func(cloud.Host) bool) (cloud.Host, bool) {
	hosts := slices.DeleteFunc(i.listHosts(), func(h cloud.Host) bool { return h.State == cloud.HostLeaving || !matches(h) })
	if len(hosts) == 0 {
		return cloud.Host{}, false
	}
	return hosts[i.random.IntN(len(hosts))], true
}

// replaceHosts starts hosts until each group has its configured number of live hosts again, unless the system has replaced
// them already.
func (i *injector) replaceHosts() {
	hosts := i.listHosts()
	for _, g := range i.clusterConfig.HostGroups {
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

// pickNode returns a random running node, or false if two nodes are down already.
func (i *injector) pickNode() (*process.Node, bool) {
	var candidates []*process.Node
	for _, n := range i.cluster.Nodes {
		if !i.downNodes[n.Name] {
			candidates = append(candidates, n)
		}
	}
	if len(candidates) <= len(i.clusterConfig.FailureDomains)*nodesPerDomain-2 {
		return nil, false
	}
	return candidates[i.random.IntN(len(candidates))], true
}
