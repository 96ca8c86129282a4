package service

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
)

// TestFaults guards against a refused call that takes effect, and against a dropped response whose call takes none.
func TestFaults(t *testing.T) {
	var crashes atomic.Int64
	runner := &Runner{Ledger: &Ledger{}, OnCrash: func() { crashes.Add(1) }}
	server := httptest.NewServer(runner.Handler())
	defer server.Close()
	for _, test := range []struct {
		name     string
		faults   Faults
		answered bool
		effects  int
		crashes  int64
	}{
		{"none", Faults{}, true, 1, 0},
		{"refused", Faults{RefuseCalls: true}, true, 1, 0},
		{"response dropped", Faults{DropResponses: 1}, false, 2, 0},
		{"crash", Faults{CrashOnCalls: 1}, false, 3, 1},
	} {
		runner.SetFaults(test.faults)
		response, err := http.Post(server.URL+"/deposits", "application/json", strings.NewReader("{}"))
		if err == nil {
			_ = response.Body.Close()
		}
		if effects := len(runner.Ledger.Effects()); (err == nil) != test.answered || effects != test.effects || crashes.Load() != test.crashes {
			t.Errorf("%s: error is %v with %d effects and %d crashes, expected %d effects and %d crashes", test.name, err, effects, crashes.Load(), test.effects, test.crashes)
		}
	}
}
