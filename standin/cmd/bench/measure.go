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

// arrivalRates holds the arrivals per second for each user: about 60% of the rate at which 95% of answers are still within
// the latency targets, which is 290 and 112 with the default timing model of the engines (docs/measurements.md, round 1).
var arrivalRates = map[string]float64{"duwende": 175, "zlato": 67}

const nodesPerDomain = 2

// scenario is a disturbance of the cluster while the load runs.
type scenario struct {
	name   string
	isCore bool // also measured with the baselines and with --quick
	// begin runs at 30% of the load time, end at 80%.
	begin, end func(c *process.Cluster, u users.User) error
}

func sendControlRequest(method, url string, body any) error {
	return process.DoJSON(method, url, body, nil)
}

func allScenarios() []scenario {
	noAction := func(*process.Cluster, users.User) error { return nil }
	return []scenario{
		{"calm", true, noAction, noAction},
		{"reclaim wave", true, reclaimWave, noAction},
		{"price change", false, changePrice, noAction},
		{"refused starts", false, refuseStarts, noAction},
		{"object API outage", false, setObjectAPIDown(true), setObjectAPIDown(false)},
	}
}

// noticeMillis is the notice period of a reclaimed host; it is shorter than in reality, as the answers are.
const noticeMillis = 1000

// reclaimWave reclaims all reclaimable hosts of the first failure domain, whose backend servers refuse new work at once.
func reclaimWave(c *process.Cluster, u users.User) error {
	return sendControlRequest(http.MethodPost, c.CloudURL+"/control/reclaim", cloud.ReclaimRequest{FailureDomain: u.FailureDomains[0], NoticeMillis: noticeMillis, RefuseNew: true})
}

// changePrice triples the price of reclaimable hosts in the first failure domain.
func changePrice(c *process.Cluster, u users.User) error {
	price := cloud.PriceChange{HostKind: cloud.HostKind{FailureDomain: u.FailureDomains[0], Class: u.HostGroups[0].Class, Reclaimable: true}}
	price.PriceMicrosPerHour = 3 * u.HostGroups[0].PriceMicrosPerHour
	return sendControlRequest(http.MethodPut, c.CloudURL+"/control/price", price)
}

// refuseStarts makes the cloud refuse all starts of hosts and reclaims the host with the most runs.
func refuseStarts(c *process.Cluster, _ users.User) error {
	if err := sendControlRequest(http.MethodPut, c.CloudURL+"/control/settings", map[string]any{"refusals": []cloud.RefusalRule{{}}}); err != nil {
		return err
	}
	var busiest cloud.BusiestHost
	if err := process.DoJSON(http.MethodGet, c.CloudURL+"/control/busiest", nil, &busiest); err != nil {
		return err
	}
	return sendControlRequest(http.MethodPost, c.CloudURL+"/control/reclaim", cloud.ReclaimRequest{Host: busiest.Host, NoticeMillis: noticeMillis, RefuseNew: true})
}

// setObjectAPIDown returns an action that starts or ends an outage of the object API.
func setObjectAPIDown(down bool) func(*process.Cluster, users.User) error {
	return func(c *process.Cluster, _ users.User) error {
		return sendControlRequest(http.MethodPut, c.ObjectAPIURL+"/control/faults", objectapi.Faults{Down: down})
	}
}

// counters is a sample of the cost and of the number of object API calls, without those that were rate limited.
type counters struct {
	cost           cloud.Cost
	objectAPICalls int64
}

func readCounters(c *process.Cluster) (counters, error) {
	var sample counters
	if err := process.DoJSON(http.MethodGet, c.CloudURL+"/control/cost", nil, &sample.cost); err != nil {
		return sample, err
	}
	var callsByKind map[string]int64
	err := process.DoJSON(http.MethodGet, c.ObjectAPIURL+"/control/calls", nil, &callsByKind)
	for kind, count := range callsByKind {
		if kind != "limited" {
			sample.objectAPICalls += count
		}
	}
	return sample, err
}

// measure runs the load of one user in one scenario on a new cluster and returns the result.
func measure(a arguments, user users.User, s scenario, v variant, seed uint64) (report.Row, error) {
	logDir, err := os.MkdirTemp("", "chestnutrudder-bench-")
	if err != nil {
		return report.Row{}, err
	}
	defer os.RemoveAll(logDir)
	clusterConfig := user.ClusterConfig(v.binDir, logDir, v.examples, nodesPerDomain)
	clusterConfig.NodeArgs = v.nodeArgs
	if v.adjustGroups != nil {
		clusterConfig.HostGroups = v.adjustGroups(clusterConfig.HostGroups)
	}
	cluster, err := process.StartCluster(clusterConfig)
	if err != nil {
		return report.Row{}, err
	}
	defer cluster.Stop()
	before, err := readCounters(cluster)
	if err != nil {
		return report.Row{}, err
	}
	actionErrors := make(chan error, 2)
	for fraction, action := range map[float64]func(*process.Cluster, users.User) error{0.3: s.begin, 0.8: s.end} {
		time.AfterFunc(time.Duration(fraction*float64(a.Load)), func() { actionErrors <- action(cluster, user) })
	}
	o := &oracle.Oracle{}
	result := load.Run(context.Background(), load.Options{
		User: user, Seed: seed, Rate: arrivalRates[user.Name], Duration: a.Load, Nodes: cluster.CallerAddresses(), Oracle: o,
	})
	for range 2 {
		if err := <-actionErrors; err != nil {
			return report.Row{}, errors.Wrap(err, "run scenario action")
		}
	}
	after, err := readCounters(cluster)
	if err != nil {
		return report.Row{}, err
	}
	verdict, err := load.Evaluate(o, cluster.CloudURL)
	if err != nil {
		return report.Row{}, err
	}
	row := newRow(user, s, v, result, verdict, after.cost.Micros-before.cost.Micros, after.objectAPICalls-before.objectAPICalls)
	row.StepOverrunPercent, err = stepOverrunPercent(cluster)
	return row, err
}

// stepOverrunPercent returns by how much the steps of all engines that still exist took longer than planned.
func stepOverrunPercent(c *process.Cluster) (float64, error) {
	var engines []cloud.EngineState
	if err := process.DoJSON(http.MethodGet, c.CloudURL+"/control/engines", nil, &engines); err != nil {
		return 0, err
	}
	plannedMicros, actualMicros := int64(0), int64(0)
	for _, e := range engines {
		plannedMicros += e.Stats.PlannedStepMicros
		actualMicros += e.Stats.ActualStepMicros
	}
	if plannedMicros == 0 {
		return 0, nil
	}
	return 100 * (float64(actualMicros)/float64(plannedMicros) - 1), nil
}

// newRow builds a row of the report from the result of one run. costMicros is the cost of the run in
// millionths of a currency unit.
func newRow(user users.User, s scenario, v variant, r *load.Result, verdict oracle.Verdict, costMicros float64, objectAPICalls int64) report.Row {
	row := report.Row{
		User: user.Name, Scenario: s.name, Variant: v.name,
		WithinTargetPercent: 100 * r.WithinTargetShare(),
		FirstTokenP95Ms:     float64(r.TimeToFirstToken.ValueAtQuantile(95)) / 1000,
		BetweenTokensP95Ms:  float64(r.TimeBetweenTokens.ValueAtQuantile(95)) / 1000,
		Requests:            verdict.Asked,
		Refused:             verdict.Refused,
		Failed:              r.FailedCount,
		Violations:          verdict.Violations(),
		ObjectAPICalls:      objectAPICalls,
	}
	if r.WithinTargetCount > 0 {
		row.CostMicrosPer1000Answers = costMicros / float64(r.WithinTargetCount) * 1000
	}
	if r.GeneratedTokens > 0 {
		row.RecomputedPer1000Generated = float64(verdict.Recomputed) / float64(r.GeneratedTokens) * 1000
	}
	return row
}
