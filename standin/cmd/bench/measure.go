package main

import (
	"context"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/standin/cloud"
	"chestnutrudder.example/standin/load"
	"chestnutrudder.example/standin/objectapi"
	"chestnutrudder.example/standin/oracle"
	"chestnutrudder.example/standin/process"
	"chestnutrudder.example/standin/report"
	"chestnutrudder.example/standin/users"
)

// rates are about 60% of the arrivals per second at which 95 in 100 answers are still within the target; these were
// 290 and 112 with the engines' default timing model (docs/measurements.md, round 1).
var rates = map[string]float64{"duwende": 175, "zlato": 67}

const nodesPerDomain = 2

// scenario is what happens while the load runs.
type scenario struct {
	name string
	main bool // also measured with the baselines and with --quick
	// begin runs when 3/10 of the load time is over, end when 8/10 are.
	begin, end func(c *process.Cluster, u users.User) error
}

func control(method, url string, body any) error { return process.DoJSON(method, url, body, nil) }

func allScenarios() []scenario {
	nothing := func(*process.Cluster, users.User) error { return nil }
	return []scenario{
		{"calm", true, nothing, nothing},
		{"reclaim wave", true, reclaimWave, nothing},
		{"price change", false, changePrice, nothing},
		{"refused starts", false, refuseStarts, nothing},
		{"object API outage", false, outage(true), outage(false)},
	}
}

// noticeMillis is shorter than in reality, as the answers are.
const noticeMillis = 1000

// reclaimWave takes all reclaimable hosts of the first failure domain.
func reclaimWave(c *process.Cluster, u users.User) error {
	return control(http.MethodPost, c.CloudURL+"/control/reclaim", cloud.ReclaimRequest{FailureDomain: u.FailureDomains[0], NoticeMillis: noticeMillis, RefuseNew: true})
}

// changePrice triples the price of reclaimable hosts in the first failure domain.
func changePrice(c *process.Cluster, u users.User) error {
	price := cloud.PriceChange{HostKind: cloud.HostKind{FailureDomain: u.FailureDomains[0], Class: u.HostGroups[0].Class, Reclaimable: true}}
	price.PriceMicrosPerHour = 3 * u.HostGroups[0].PriceMicrosPerHour
	return control(http.MethodPut, c.CloudURL+"/control/price", price)
}

// refuseStarts takes one host and refuses all starts.
func refuseStarts(c *process.Cluster, _ users.User) error {
	if err := control(http.MethodPut, c.CloudURL+"/control/settings", map[string]any{"refusals": []cloud.RefusalRule{{}}}); err != nil {
		return err
	}
	var busy cloud.BusiestHost
	if err := process.DoJSON(http.MethodGet, c.CloudURL+"/control/busiest", nil, &busy); err != nil {
		return err
	}
	return control(http.MethodPost, c.CloudURL+"/control/reclaim", cloud.ReclaimRequest{Host: busy.Host, NoticeMillis: noticeMillis, RefuseNew: true})
}

func outage(down bool) func(*process.Cluster, users.User) error {
	return func(c *process.Cluster, _ users.User) error {
		return control(http.MethodPut, c.ObjectAPIURL+"/control/faults", objectapi.Faults{Down: down})
	}
}

// counters are read before and after the load.
type counters struct {
	cost  cloud.Cost
	calls int64
}

func read(c *process.Cluster) (counters, error) {
	var r counters
	if err := process.DoJSON(http.MethodGet, c.CloudURL+"/control/cost", nil, &r.cost); err != nil {
		return r, err
	}
	var kinds map[string]int64
	err := process.DoJSON(http.MethodGet, c.ObjectAPIURL+"/control/calls", nil, &kinds)
	for kind, count := range kinds {
		if kind != "limited" {
			r.calls += count
		}
	}
	return r, err
}

// measure runs one cluster.
func measure(a arguments, user users.User, s scenario, v variant, seed uint64) (report.Row, error) {
	logs, err := os.MkdirTemp("", "chestnutrudder-bench-")
	if err != nil {
		return report.Row{}, err
	}
	defer os.RemoveAll(logs)
	plan := user.ClusterConfig(v.binDir, logs, v.examples, nodesPerDomain)
	plan.NodeArgs = v.args
	if v.groups != nil {
		plan.HostGroups = v.groups(plan.HostGroups)
	}
	cluster, err := process.StartCluster(plan)
	if err != nil {
		return report.Row{}, err
	}
	defer cluster.Stop()
	before, err := read(cluster)
	if err != nil {
		return report.Row{}, err
	}
	failed := make(chan error, 2)
	for share, do := range map[float64]func(*process.Cluster, users.User) error{0.3: s.begin, 0.8: s.end} {
		time.AfterFunc(time.Duration(share*float64(a.Load)), func() { failed <- do(cluster, user) })
	}
	o := &oracle.Oracle{}
	result := load.Run(context.Background(), load.Options{
		User: user, Seed: seed, Rate: rates[user.Name], Duration: a.Load, Nodes: cluster.CallerAddresses(), Oracle: o,
	})
	for range 2 {
		if err := <-failed; err != nil {
			return report.Row{}, errors.Wrap(err, "scenario")
		}
	}
	after, err := read(cluster)
	if err != nil {
		return report.Row{}, err
	}
	verdict, err := load.Judge(o, cluster.CloudURL)
	if err != nil {
		return report.Row{}, err
	}
	measured := row(user, s, v, result, verdict, after.cost.Micros-before.cost.Micros, after.calls-before.calls)
	measured.StepOverrunPercent, err = latePercent(cluster)
	return measured, err
}

// latePercent sums up the steps of all engines that are still there.
func latePercent(c *process.Cluster) (float64, error) {
	var engines []cloud.EngineState
	if err := process.DoJSON(http.MethodGet, c.CloudURL+"/control/engines", nil, &engines); err != nil {
		return 0, err
	}
	planned, taken := int64(0), int64(0)
	for _, e := range engines {
		planned += e.Stats.PlannedStepMicros
		taken += e.Stats.ActualStepMicros
	}
	if planned == 0 {
		return 0, nil
	}
	return 100 * (float64(taken)/float64(planned) - 1), nil
}

func row(user users.User, s scenario, v variant, r *load.Result, judged oracle.Verdict, micros float64, calls int64) report.Row {
	row := report.Row{
		User: user.Name, Scenario: s.name, Variant: v.name,
		WithinTargetPercent: 100 * r.WithinShare(),
		FirstTokenP95Ms:     float64(r.FirstToken.ValueAtQuantile(95)) / 1000,
		BetweenTokensP95Ms:  float64(r.BetweenTokens.ValueAtQuantile(95)) / 1000,
		Requests:            judged.Asked,
		Refused:             judged.Refused,
		Failed:              r.Failed,
		Violations:          judged.Violations(),
		ObjectAPICalls:      calls,
	}
	if r.Within > 0 {
		row.CostMicrosPer1000Answers = micros / float64(r.Within) * 1000
	}
	if r.Generated > 0 {
		row.RecomputedPer1000Generated = float64(judged.Recomputed) / float64(r.Generated) * 1000
	}
	return row
}
