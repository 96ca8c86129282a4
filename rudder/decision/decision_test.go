package decision

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
)

// TestRingIsBounded guards against memory use that grows with the number of requests, and against the loss of recent
// decisions.
func TestRingIsBounded(t *testing.T) {
	r := NewRecorder("n", 8, func(string) *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) })
	for i := range 20 {
		r.Record("entry", fmt.Sprintf("run-%d", i), "first by hash", "node-a", nil)
	}
	found := r.Find("node-a")
	if len(found) != 8 || found[0].Subject != "run-12" || found[7].Subject != "run-19" {
		t.Errorf("found %v, expected the decisions on run-12 to run-19", found)
	}
	if len(r.Find("run-11")) != 0 || len(r.Find("run-19")) != 1 {
		t.Error("an overwritten decision is found, or the newest one is not found exactly once")
	}
	r.Record("capacity", "deployment", "notice", "drain host-7", nil)
	if len(r.Find("host-7")) != 1 || len(r.Find("host")) != 0 {
		t.Error("a host is not found by its name, or is found by a part of its name")
	}
	(*Recorder)(nil).Record("entry", "run", "reason", "choice", nil)
}
