// Command slopes measures how the resource usage of a node and the load on the object API grow with the number of nodes,
// runners, requests and configuration changes. It runs small clusters on loopback one after another and prints a table row
// for each cluster, and for each variable the slope of every figure.
package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/object"

	"chestnutrudder.example/standin/cloud"
	"chestnutrudder.example/standin/load"
	"chestnutrudder.example/standin/oracle"
	"chestnutrudder.example/standin/process"
	"chestnutrudder.example/standin/users"
)

type arguments struct {
	BinDir   string        `arg:"--bin-dir" default:"bin" help:"directory of the built programs"`
	Examples string        `arg:"--examples" default:"examples" help:"directory of the example objects"`
	Window   time.Duration `arg:"--window" default:"8s" help:"time of each measurement"`
	Seed     uint64        `arg:"--seed" default:"1"`
}

// dataPoint is the size and the load of one measured cluster.
type dataPoint struct {
	nodes    int // a multiple of the number of failure domains
	runners  int
	requests float64 // arrivals per second
	changes  float64 // configuration changes per second
}

// series is a set of data points that differ in one variable only.
type series struct {
	name     string
	variable func(dataPoint) float64
	points   []dataPoint
}

func allSeries() []series {
	return []series{
		{"nodes", func(p dataPoint) float64 { return float64(p.nodes) }, []dataPoint{{3, 18, 0, 0}, {6, 18, 0, 0}, {9, 18, 0, 0}}},
		{"runners", func(p dataPoint) float64 { return float64(p.runners) }, []dataPoint{{3, 9, 0, 0}, {3, 60, 0, 0}, {3, 198, 0, 0}}},
		{"requests/s", func(p dataPoint) float64 { return p.requests }, []dataPoint{{3, 18, 0, 0}, {3, 18, 40, 0}, {3, 18, 120, 0}}},
		{"changes/s", func(p dataPoint) float64 { return p.changes }, []dataPoint{{3, 18, 0, 0}, {3, 18, 0, 2}, {3, 18, 0, 6}}},
	}
}

func main() {
	var a arguments
	arg.MustParse(&a)
	if err := run(a); err != nil {
		fmt.Fprintln(os.Stderr, "slopes:", err)
		os.Exit(1)
	}
}

func run(a arguments) error {
	usageByPoint := map[dataPoint]usage{}
	fmt.Println("| nodes | runners | requests/s | changes/s | " + usageHeader + " |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|")
	for _, s := range allSeries() {
		for _, p := range s.points {
			if _, done := usageByPoint[p]; done {
				continue
			}
			u, err := measure(a, p)
			if err != nil {
				return errors.Wrapf(err, "measure cluster %+v", p)
			}
			usageByPoint[p] = u
			fmt.Printf("| %d | %d | %.0f | %.0f | %s |\n", p.nodes, p.runners, p.requests, p.changes, u)
		}
	}
	fmt.Println("\n| for each further | " + usageHeader + " |")
	fmt.Println("|---|---|---|---|---|---|---|")
	for _, s := range allSeries() {
		var x []float64
		var y []usage
		for _, p := range s.points {
			x = append(x, s.variable(p))
			y = append(y, usageByPoint[p])
		}
		fmt.Printf("| %s | %s |\n", s.name, leastSquaresSlope(x, y))
	}
	return nil
}

// measure runs one cluster and returns its usage over the measurement window.
func measure(a arguments, p dataPoint) (usage, error) {
	user := users.Duwende()
	logDir, err := os.MkdirTemp("", "chestnutrudder-slopes-")
	if err != nil {
		return usage{}, err
	}
	defer os.RemoveAll(logDir)
	clusterConfig := user.ClusterConfig(a.BinDir, logDir, a.Examples, p.nodes/len(user.FailureDomains))
	clusterConfig.HostGroups = resizeGroups(clusterConfig.HostGroups, p.runners/len(user.FailureDomains))
	cluster, err := process.StartCluster(clusterConfig)
	if err != nil {
		return usage{}, err
	}
	defer cluster.Stop()
	// The first seconds are left out: they contain the first polls and the exchange of all records.
	time.Sleep(2 * time.Second)
	before, err := readCounters(cluster)
	if err != nil {
		return usage{}, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), a.Window)
	defer cancel()
	changeErr := make(chan error, 1)
	go func() { changeErr <- changeObjects(ctx, cluster, p.changes) }()
	if p.requests > 0 {
		load.Run(ctx, load.Options{
			User: user, Seed: a.Seed, Rate: p.requests, Duration: a.Window, Nodes: cluster.CallerAddresses(), Oracle: &oracle.Oracle{},
		})
	}
	<-ctx.Done()
	if err := <-changeErr; err != nil {
		return usage{}, err
	}
	after, err := readCounters(cluster)
	if err != nil {
		return usage{}, err
	}
	return after.usageSince(before, len(cluster.Nodes)), nil
}

// resizeGroups sets the number of model runners in each failure domain; two of three are reclaimable, as in package
// users.
func resizeGroups(groups []cloud.Group, runnersPerDomain int) []cloud.Group {
	resized := slices.Clone(groups)
	for i, g := range resized {
		switch {
		case g.Backend != object.BackendModel:
		case g.Reclaimable:
			resized[i].Count = runnersPerDomain * 2 / 3
		default:
			resized[i].Count = runnersPerDomain - runnersPerDomain*2/3
		}
	}
	return resized
}
