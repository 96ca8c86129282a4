// Command bench measures latency, cost and recomputed tokens of this version, of an earlier one and of baselines, for each
// user and scenario, with fixed seeds and in bounded time. The clusters run one after another.
package main

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/pkg/errors"

	"chestnutrudder.example/standin/report"
	"chestnutrudder.example/standin/users"
)

type arguments struct {
	BinDir     string        `arg:"--bin-dir" default:"bin" help:"directory of the built programs"`
	Examples   string        `arg:"--examples" default:"examples" help:"directory of the example objects"`
	Out        string        `arg:"--out" default:"out" help:"directory for the results"`
	Previous   string        `arg:"--previous" default:"HEAD~1" help:"revision to compare with"`
	NoPrevious bool          `arg:"--no-previous" help:"leave out the earlier revision"`
	Quick      bool          `arg:"--quick" help:"this version only, calm and reclaim wave, shorter load"`
	Load       time.Duration `arg:"--load" default:"5s" help:"time with load in each run"`
	Seed       uint64        `arg:"--seed" default:"1"`
	Repeat     int           `arg:"--repeat" default:"1" help:"runs of each kind, with growing seeds; the table has their mean"`
	Users      []string      `arg:"--users" help:"default duwende and zlato"`
	Scenarios  []string      `arg:"--scenarios" help:"default all"`
	Variants   []string      `arg:"--variants" help:"default all"`
}

// benchTimeout bounds the whole benchmark: a run is skipped if its load and runMargin would end later.
const (
	benchTimeout = 6 * time.Minute
	runMargin    = 15 * time.Second
)

func main() {
	var a arguments
	arg.MustParse(&a)
	if len(a.Users) == 0 {
		a.Users = []string{"duwende", "zlato"}
	}
	if err := run(a); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

func run(a arguments) error {
	startTime := time.Now()
	variants, cleanUp, err := allVariants(a)
	if err != nil {
		return err
	}
	defer cleanUp()
	// Remove the worktree of the earlier revision on an interrupt too.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		cleanUp()
		os.Exit(1)
	}()
	var rows []report.Row
	skipped := 0
	for _, name := range a.Users {
		user, err := users.ByName(name)
		if err != nil {
			return err
		}
		for _, s := range allScenarios() {
			for _, v := range variants {
				if !isSelected(a, s, v) {
					continue
				}
				var repeats []report.Row
				for n := range a.Repeat {
					if time.Since(startTime)+a.Load+runMargin > benchTimeout {
						skipped++
						continue
					}
					row, err := measure(a, user, s, v, a.Seed+uint64(n))
					if err != nil {
						return errors.Wrapf(err, "measure user %s, scenario %s, variant %s", name, s.name, v.name)
					}
					fmt.Println(row)
					repeats = append(repeats, row)
				}
				if len(repeats) > 0 {
					rows = append(rows, report.Mean(repeats))
				}
			}
		}
	}
	fmt.Printf("%d runs in %s, %d left out for lack of time\n", len(rows), time.Since(startTime).Round(time.Second), skipped)
	return writeReports(a.Out, rows)
}

func writeReports(dir string, rows []report.Row) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "create output directory")
	}
	for name, render := range map[string]func(io.Writer, []report.Row) error{"bench.md": report.Markdown, "bench.csv": report.CSV, "bench.svg": report.SVG} {
		file, err := os.Create(filepath.Join(dir, name))
		if err != nil {
			return errors.Wrap(err, "create result file")
		}
		if err := errors.Wrap(render(file, rows), "write result file"); err != nil {
			return err
		}
		if err := file.Close(); err != nil {
			return errors.Wrap(err, "close result file")
		}
	}
	fmt.Printf("results are in %s\n", dir)
	return nil
}
