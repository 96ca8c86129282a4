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

// The benchmarks below check no limits; they print figures for commit messages and docs/CAPACITY.md. Run them with
// go test ./standin/e2e -run - -bench Membership -benchtime 1x.

// measurementPeriod is the time over which traffic and CPU time of an idle system are measured.
const measurementPeriod = 10 * time.Second

// startBenchmarkCluster starts a system with a number of failure domains, each with a number of nodes.
func startBenchmarkCluster(b *testing.B, domains, nodesPerDomain int) *process.Cluster {
	b.Helper()
	user := users.Zlato()
	clusterConfig := user.ClusterConfig(binDir, b.TempDir(), filepath.Join("..", "..", "examples"), nodesPerDomain)
	for d := len(clusterConfig.FailureDomains); d < domains; d++ {
		clusterConfig.FailureDomains = append(clusterConfig.FailureDomains, fmt.Sprintf("domain-%d", d))
	}
	cluster, err := process.StartCluster(clusterConfig)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(cluster.Stop)
	return cluster
}

// sumMetric returns the sum of a node's counter over all series whose line contains the text of an attribute.
func sumMetric(b *testing.B, n *process.Node, name, attribute string) float64 {
	b.Helper()
	response, err := http.Get("http://" + n.AdminAddress + "/metrics")
	if err != nil {
		b.Fatal(err)
	}
	defer response.Body.Close()
	total := 0.0
	for lines := bufio.NewScanner(io.LimitReader(response.Body, 1<<20)); lines.Scan(); {
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

// sumUsage returns the sums over all nodes of the heartbeat bytes sent, the CPU time and the resident memory.
func sumUsage(b *testing.B, cluster *process.Cluster) (sentBytes float64, cpu time.Duration, residentBytes int) {
	b.Helper()
	for _, n := range cluster.Nodes {
		sentBytes += sumMetric(b, n, "control_bytes_total", `way="sent"`)
		u, err := n.Usage()
		if err != nil {
			b.Fatal(err)
		}
		cpu += u.CPUTime
		residentBytes += u.ResidentBytes
	}
	return sentBytes, cpu, residentBytes
}

// BenchmarkMembershipOverhead measures the traffic, CPU time and memory of an idle node. Each heartbeat is sent by one node
// and received by another, so that the traffic of a node is twice what it sends, on average.
func BenchmarkMembershipOverhead(b *testing.B) {
	for _, size := range [][2]int{{3, 1}, {3, 2}, {3, 3}, {3, 7}, {3, 14}, {6, 4}, {12, 2}} {
		b.Run(fmt.Sprintf("domains=%d/nodes=%d", size[0], size[0]*size[1]), func(b *testing.B) {
			cluster := startBenchmarkCluster(b, size[0], size[1])
			time.Sleep(10 * time.Second)
			for range b.N {
				sentBytes, cpu, _ := sumUsage(b, cluster)
				time.Sleep(measurementPeriod)
				sentBytesAfter, cpuAfter, residentBytes := sumUsage(b, cluster)
				nodeSeconds := float64(len(cluster.Nodes)) * measurementPeriod.Seconds()
				b.ReportMetric(2*(sentBytesAfter-sentBytes)/nodeSeconds, "B/s/node")
				b.ReportMetric(100*(cpuAfter-cpu).Seconds()/nodeSeconds, "%core/node")
				b.ReportMetric(float64(residentBytes)/float64(len(cluster.Nodes))/1e6, "MB/node")
			}
		})
	}
}

// BenchmarkMembershipNoticePropagation measures the time from a reclaim notice of the cloud until all nodes have logged that
// the host is leaving.
func BenchmarkMembershipNoticePropagation(b *testing.B) {
	for _, objectAPIDown := range []bool{false, true} {
		b.Run(fmt.Sprintf("object_API_down=%v", objectAPIDown), func(b *testing.B) {
			cluster := startBenchmarkCluster(b, 3, 3)
			if objectAPIDown {
				if err := process.DoJSON(http.MethodPut, cluster.ObjectAPIURL+"/control/faults", map[string]any{"down": true}, nil); err != nil {
					b.Fatal(err)
				}
			}
			time.Sleep(3 * time.Second)
			var total, longest time.Duration
			count := 0
			for _, name := range modelRunnerNames(b, cluster) {
				start := time.Now()
				body := standincloud.ReclaimRequest{Host: name, NoticeMillis: 60_000}
				if err := process.DoJSON(http.MethodPost, cluster.CloudURL+"/control/reclaim", body, nil); err != nil {
					b.Fatal(err)
				}
				for !isLoggedByAllNodes(b, cluster, "Host is leaving", name) {
					if time.Since(start) > 10*time.Second {
						b.Fatalf("not all nodes have logged the notice for host %s within 10 s", name)
					}
					time.Sleep(time.Millisecond)
				}
				elapsed := time.Since(start)
				total, longest, count = total+elapsed, max(longest, elapsed), count+1
				time.Sleep(700 * time.Millisecond)
			}
			b.ReportMetric(float64(total.Milliseconds())/float64(count), "ms/notice")
			b.ReportMetric(float64(longest.Milliseconds()), "ms-longest")
		})
	}
}

// modelRunnerNames returns the names of the hosts of the model runners.
func modelRunnerNames(b *testing.B, cluster *process.Cluster) []string {
	b.Helper()
	var hosts []cloud.Host
	if err := process.DoJSON(http.MethodGet, cluster.CloudURL+"/v1/hosts", nil, &hosts); err != nil {
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

// isLoggedByAllNodes reports whether the log of each node has a line with a message about a host.
func isLoggedByAllNodes(b *testing.B, cluster *process.Cluster, message, host string) bool {
	b.Helper()
	for _, n := range cluster.Nodes {
		raw, err := os.ReadFile(n.LogPath())
		if err != nil {
			b.Fatal(err)
		}
		found := false
		for _, line := range strings.Split(string(raw), "\n") {
			found = found || (strings.Contains(line, message) && strings.Contains(line, "host="+host))
		}
		if !found {
			return false
		}
	}
	return true
}
