// Command soak runs a user's system on loopback for a bounded time, sends a seeded load, injects random faults singly and
// in pairs, and prints the oracle's verdict. It exits with status 1 on any violation.
package main

import (
	"context"
	"fmt"
	"os"
	"sort"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/pkg/errors"

	"chestnutrudder.example/standin/load"
	"chestnutrudder.example/standin/oracle"
	"chestnutrudder.example/standin/process"
	"chestnutrudder.example/standin/users"
)

type arguments struct {
	BinDir   string        `arg:"--bin-dir" default:"bin" help:"directory of the built programs"`
	Examples string        `arg:"--examples" default:"examples" help:"directory of the example objects"`
	User     string        `arg:"--user" default:"duwende" help:"duwende or zlato"`
	Rate     float64       `arg:"--rate" default:"40" help:"arrivals per second"`
	Duration time.Duration `arg:"--duration" default:"60s" help:"time with load and faults"`
	Seed     uint64        `arg:"--seed" default:"0" help:"0 takes one from the clock"`
	Only     []string      `arg:"--only" help:"names of the faults to put in; default all"`
}

const nodesPerDomain = 2

func main() {
	var a arguments
	arg.MustParse(&a)
	if a.Seed == 0 {
		a.Seed = uint64(time.Now().UnixNano()) % 1_000_000
	}
	fmt.Printf("soak: user %s, seed %d, %s\n", a.User, a.Seed, a.Duration)
	verdict, err := run(a)
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
	if verdict.Violations() > 0 {
		os.Exit(1)
	}
}

func run(a arguments) (oracle.Verdict, error) {
	user, err := users.ByName(a.User)
	if err != nil {
		return oracle.Verdict{}, err
	}
	logDir, err := os.MkdirTemp("", "chestnutrudder-soak-")
	if err != nil {
		return oracle.Verdict{}, err
	}
	clusterConfig := user.ClusterConfig(a.BinDir, logDir, a.Examples, nodesPerDomain)
	clusterConfig.UseFaultProxies = true
	cluster, err := process.StartCluster(clusterConfig)
	if err != nil {
		return oracle.Verdict{}, errors.Wrapf(err, "start cluster, logs in %s", logDir)
	}
	defer cluster.Stop()
	o := &oracle.Oracle{}
	nodes := cluster.CallerAddresses()
	inj, err := newInjector(cluster, user, clusterConfig, a.Seed, a.Only, o)
	if err != nil {
		return oracle.Verdict{}, err
	}
	injectorDone := make(chan struct{})
	ctx, cancel := context.WithTimeout(context.Background(), a.Duration)
	defer cancel()
	go func() {
		defer close(injectorDone)
		inj.run(ctx)
	}()
	result := load.Run(context.Background(), load.Options{
		User: user, Seed: a.Seed, Rate: a.Rate, Duration: a.Duration, Nodes: nodes, Oracle: o,
	})
	<-injectorDone
	verdict, err := load.Evaluate(o, cluster.CloudURL)
	if err != nil {
		return oracle.Verdict{}, err
	}
	report(inj, result, verdict)
	fmt.Printf("logs are in %s\n", logDir)
	return verdict, nil
}

func report(i *injector, r *load.Result, v oracle.Verdict) {
	total := 0
	var names []string
	for name, count := range i.counts {
		total += count
		names = append(names, name)
	}
	sort.Strings(names)
	fmt.Printf("faults put in: %d\n", total)
	for _, name := range names {
		fmt.Printf("  %-22s %d\n", name, i.counts[name])
	}
	fmt.Printf("requests sent: %d\n", v.Asked)
	fmt.Printf("whole %d, refused %d, writes of unknown outcome %d, crashing requests %d\n", v.Whole, v.Refused, v.Unknown, v.Crashing)
	fmt.Printf("doubled %d, lost %d, foreign %d, cut %d\n", v.Doubled, v.Lost, v.Foreign, v.Cut)
	fmt.Printf("told wrongly: not run %d, done %d; effects more than once %d; run unasked %d; late work %d\n",
		v.FalseNotRun, v.FalseDone, v.EffectTwice, v.Unasked, v.LateWork)
	fmt.Printf("tokens generated %d, recomputed %d; %.1f%% of %d answers within the target\n",
		r.GeneratedTokens, v.Recomputed, 100*r.WithinTargetShare(), r.AnswerCount)
	for _, example := range v.Examples {
		fmt.Println("  violation:", example)
	}
}
