package e2e

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"chestnutrudder.example/rudder/cloud"
	"chestnutrudder.example/rudder/object"

	standincloud "chestnutrudder.example/standin/cloud"
	"chestnutrudder.example/standin/process"
	"chestnutrudder.example/standin/users"
)

// The benchmarks below make no verdict; they print figures for commit messages and docs/CAPACITY.md. Run them with
// go test ./standin/e2e -run - -bench Membership -benchtime 1x.

const measureFor = 10 * time.Second

func startMeasured(b *testing.B, domains, perDomain int) *process.Cluster {
	b.Helper()
	user := users.Zlato()
	plan := user.Plan(binDir, b.TempDir(), filepath.Join("..", "..", "examples"), perDomain)
	for d := len(plan.FailureDomains); d < domains; d++ {
		plan.FailureDomains = append(plan.FailureDomains, fmt.Sprintf("domain-%d", d))
	}
	cluster, err := process.StartCluster(plan)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(cluster.Stop)
	return cluster
}

// metric sums up a counter of a node over all attributes that contain a text.
func metric(b *testing.B, n *process.Node, name, attribute string) float64 {
	b.Helper()
	reply, err := http.Get("http://" + n.Admin + "/metrics")
	if err != nil {
		b.Fatal(err)
	}
	defer reply.Body.Close()
	total := 0.0
	for lines := bufio.NewScanner(io.LimitReader(reply.Body, 1<<20)); lines.Scan(); {
		line := lines.Text()
		if !strings.HasPrefix(line, name) || !strings.Contains(line, attribute) {
			continue
		}
		value, err := strconv.ParseFloat(line[strings.LastIndex(line, " ")+1:], 64)
		if err != nil {
			b.Fatal(err)
		}
		total += value
	}
	return total
}

// usage sums up over all nodes: bytes of heartbeats sent, CPU and memory.
func usage(b *testing.B, cluster *process.Cluster) (sent float64, cpu time.Duration, resident int) {
	b.Helper()
	for _, n := range cluster.Nodes {
		sent += metric(b, n, "control_bytes_total", `way="sent"`)
		u, err := n.Usage()
		if err != nil {
			b.Fatal(err)
		}
		cpu += u.CPU
		resident += u.ResidentBytes
	}
	return sent, cpu, resident
}

// BenchmarkMembershipOverhead measures the idle overhead of a node. Each heartbeat is sent by one node and answered by
// another, so that the traffic of a node is twice what it sends, on average.
func BenchmarkMembershipOverhead(b *testing.B) {
	for _, size := range [][2]int{{3, 1}, {3, 2}, {3, 3}, {3, 7}, {3, 14}, {6, 4}, {12, 2}} {
		b.Run(fmt.Sprintf("domains=%d/nodes=%d", size[0], size[0]*size[1]), func(b *testing.B) {
			cluster := startMeasured(b, size[0], size[1])
			time.Sleep(10 * time.Second)
			for range b.N {
				sent, cpu, _ := usage(b, cluster)
				time.Sleep(measureFor)
				sentAfter, cpuAfter, resident := usage(b, cluster)
				nodeSeconds := float64(len(cluster.Nodes)) * measureFor.Seconds()
				b.ReportMetric(2*(sentAfter-sent)/nodeSeconds, "B/s/node")
				b.ReportMetric(100*(cpuAfter-cpu).Seconds()/nodeSeconds, "%core/node")
				b.ReportMetric(float64(resident)/float64(len(cluster.Nodes))/1e6, "MB/node")
			}
		})
	}
}

// BenchmarkMembershipNotice measures the time from a reclaim notice of the cloud until all nodes know it, by their logs.
func BenchmarkMembershipNotice(b *testing.B) {
	for _, down := range []bool{false, true} {
		b.Run(fmt.Sprintf("object_API_down=%v", down), func(b *testing.B) {
			cluster := startMeasured(b, 3, 3)
			if down {
				if err := process.Control(http.MethodPut, cluster.ObjectAPI+"/control/faults", map[string]any{"down": true}, nil); err != nil {
					b.Fatal(err)
				}
			}
			time.Sleep(3 * time.Second)
			var total, longest time.Duration
			count := 0
			for _, name := range runners(b, cluster) {
				started := time.Now()
				body := standincloud.ReclaimRequest{Host: name, NoticeMillis: 60_000}
				if err := process.Control(http.MethodPost, cluster.Cloud+"/control/reclaim", body, nil); err != nil {
					b.Fatal(err)
				}
				for !allLogged(b, cluster, "Host is leaving", name) {
					if time.Since(started) > 10*time.Second {
						b.Fatalf("not all nodes know the notice for %s", name)
					}
					time.Sleep(time.Millisecond)
				}
				took := time.Since(started)
				total, longest, count = total+took, max(longest, took), count+1
				time.Sleep(700 * time.Millisecond)
			}
			b.ReportMetric(float64(total.Milliseconds())/float64(count), "ms/notice")
			b.ReportMetric(float64(longest.Milliseconds()), "ms-longest")
		})
	}
}

// runners returns the names of the model runners.
func runners(b *testing.B, cluster *process.Cluster) []string {
	b.Helper()
	var hosts []cloud.Host
	if err := process.Control(http.MethodGet, cluster.Cloud+"/v1/hosts", nil, &hosts); err != nil {
		b.Fatal(err)
	}
	var names []string
	for _, h := range hosts {
		if h.Backend == object.BackendModel {
			names = append(names, h.Name)
		}
	}
	return names
}

func allLogged(b *testing.B, cluster *process.Cluster, text, host string) bool {
	b.Helper()
	for _, n := range cluster.Nodes {
		raw, err := os.ReadFile(n.LogPath())
		if err != nil {
			b.Fatal(err)
		}
		found := false
		for _, line := range strings.Split(string(raw), "\n") {
			found = found || (strings.Contains(line, text) && strings.Contains(line, "host="+host))
		}
		if !found {
			return false
		}
	}
	return true
}
