// Package e2e holds integration tests with real processes on loopback.
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

var binDir string

// TestMain builds the programs once for all tests.
func TestMain(m *testing.M) {
	code, err := buildAndRun(m)
	if err != nil {
		fmt.Fprintln(os.Stderr, "e2e:", err)
		code = 1
	}
	os.Exit(code)
}

func buildAndRun(m *testing.M) (int, error) {
	dir, err := os.MkdirTemp("", "chestnutrudder-e2e-")
	if err != nil {
		return 1, err
	}
	defer os.RemoveAll(dir)
	binDir = dir
	cmd := exec.Command("go", "build", "-o", dir+"/", "../../rudder/cmd/rudderd", "../../rudder/cmd/rudderctl", "../cmd/standin")
	if out, err := cmd.CombinedOutput(); err != nil {
		return 1, fmt.Errorf("build: %w: %s", err, out)
	}
	return m.Run(), nil
}

// startCluster starts a user's system and stops it with the test. The logs are kept if the test fails.
func startCluster(t *testing.T, user users.User, nodesPerDomain int, changePlan func(*process.Plan)) *process.Cluster {
	t.Helper()
	logs, err := os.MkdirTemp("", "chestnutrudder-logs-")
	if err != nil {
		t.Fatal(err)
	}
	plan := user.Plan(binDir, logs, filepath.Join("..", "..", "examples"), nodesPerDomain)
	if changePlan != nil {
		changePlan(&plan)
	}
	cluster, err := process.StartCluster(plan)
	if err != nil {
		t.Fatalf("%v (logs in %s)", err, logs)
	}
	t.Cleanup(func() {
		cluster.Stop()
		if t.Failed() {
			t.Logf("logs are in %s", logs)
			return
		}
		_ = os.RemoveAll(logs)
	})
	return cluster
}
