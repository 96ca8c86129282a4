// Command load starts a user's system on loopback, sends a seeded mix of requests, and prints what callers observed and the
// oracle's verdict. It exits with status 1 on any violation.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/pkg/errors"

	"chestnutrudder.example/standin/load"
	"chestnutrudder.example/standin/oracle"
	"chestnutrudder.example/standin/process"
	"chestnutrudder.example/standin/users"
)

type arguments struct {
	BinDir         string        `arg:"--bin-dir" default:"bin" help:"directory of the built programs"`
	Examples       string        `arg:"--examples" default:"examples" help:"directory of the example objects"`
	User           string        `arg:"--user" default:"duwende" help:"duwende or zlato"`
	Rate           float64       `arg:"--rate" default:"40" help:"arrivals per second"`
	Duration       time.Duration `arg:"--duration" default:"10s"`
	Seed           uint64        `arg:"--seed" default:"1"`
	NodesPerDomain int           `arg:"--nodes-per-domain" default:"2"`
}

func main() {
	var a arguments
	arg.MustParse(&a)
	violations, err := run(a)
	if err != nil {
		fmt.Fprintln(os.Stderr, "load:", err)
	}
	if err != nil || violations > 0 {
		os.Exit(1)
	}
}

func run(a arguments) (int, error) {
	user, err := users.ByName(a.User)
	if err != nil {
		return 0, err
	}
	logDir, err := os.MkdirTemp("", "chestnutrudder-load-")
	if err != nil {
		return 0, err
	}
	cluster, err := process.StartCluster(user.ClusterConfig(a.BinDir, logDir, a.Examples, a.NodesPerDomain))
	if err != nil {
		return 0, errors.Wrapf(err, "start cluster, logs in %s", logDir)
	}
	defer cluster.Stop()
	o := &oracle.Oracle{}
	result := load.Run(context.Background(), load.Options{
		User: user, Seed: a.Seed, Rate: a.Rate, Duration: a.Duration, Nodes: cluster.CallerAddresses(), Oracle: o,
	})
	verdict, err := load.Evaluate(o, cluster.CloudURL)
	if err != nil {
		return 0, err
	}
	printResult(a, result, verdict)
	fmt.Printf("logs are in %s\n", logDir)
	return verdict.Violations(), nil
}

func printResult(a arguments, r *load.Result, v oracle.Verdict) {
	milliseconds := func(microseconds int64) float64 { return float64(microseconds) / 1000 }
	fmt.Printf("%s: seed %d, %.0f arrivals/s for %s\n", a.User, a.Seed, a.Rate, a.Duration)
	fmt.Printf("  asked %d, answers %d, %.1f%% within the target, refused %d, failed %d, tokens %d\n",
		r.RequestCount, r.AnswerCount, 100*r.WithinTargetShare(), r.NotRunCount, r.FailedCount, r.GeneratedTokens)
	for _, percentile := range []float64{50, 95, 99} {
		fmt.Printf("  %2.0f in 100: first token %.0f ms, between tokens %.1f ms\n", percentile,
			milliseconds(r.TimeToFirstToken.ValueAtQuantile(percentile)), milliseconds(r.TimeBetweenTokens.ValueAtQuantile(percentile)))
	}
	fmt.Printf("  oracle: %+v\n", v)
}
