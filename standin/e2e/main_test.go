// Package e2e holds end-to-end tests. They run rudderd nodes and the stand-ins for the systems around them as processes on
// loopback addresses, inject faults and check what callers and operators see.
package e2e

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"chestnutrudder.example/standin/process"
	"chestnutrudder.example/standin/users"
)

// binDir is the directory with the built programs.
var binDir string

// TestMain builds the programs once and runs all tests with them.
func TestMain(m *testing.M) {
	code, err := buildAndRun(m)
	if err != nil {
		fmt.Fprintln(os.Stderr, "e2e:", err)
		code = 1
	}
	os.Exit(code)
}

// buildAndRun builds the programs into a temporary directory, runs the tests and returns their exit code.
func buildAndRun(m *testing.M) (int, error) {
	dir, err := os.MkdirTemp("", "chestnutrudder-e2e-")
	if err != nil {
		return 1, err
	}
	defer os.RemoveAll(dir)
	binDir = dir
	cmd := exec.Command("go", "build", "-o", dir+"/", "../../rudder/cmd/rudderd", "../../rudder/cmd/rudderctl", "../cmd/standin")
	if out, err := cmd.CombinedOutput(); err != nil {
		return 1, fmt.Errorf("build programs: %w: %s", err, out)
	}
	return m.Run(), nil
}

// startCluster starts the system of an example user and stops it at the end of the test. changeConfig, unless it is nil,
// changes the cluster configuration before the start. The logs are kept if the test fails.
func startCluster(t *testing.T, user users.User, nodesPerDomain int, changeConfig func(*process.ClusterConfig)) *process.Cluster {
	t.Helper()
	logDir, err := os.MkdirTemp("", "chestnutrudder-logs-")
	if err != nil {
		t.Fatal(err)
	}
	clusterConfig := user.ClusterConfig(binDir, logDir, filepath.Join("..", "..", "examples"), nodesPerDomain)
	if changeConfig != nil {
		changeConfig(&clusterConfig)
	}
	cluster, err := process.StartCluster(clusterConfig)
	if err != nil {
		t.Fatalf("start cluster: %v (logs in %s)", err, logDir)
	}
	t.Cleanup(func() {
		if t.Failed() {
			for _, description := range cluster.DescribeEnded() {
				t.Log(description)
			}
		}
		cluster.Stop()
		if t.Failed() {
			t.Logf("logs of the failed test are in %s", logDir)
			return
		}
		_ = os.RemoveAll(logDir)
	})
	return cluster
}
