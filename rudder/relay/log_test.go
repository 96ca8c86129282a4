package relay

import (
	"bytes"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"chestnutrudder.example/rudder/quota"
	"chestnutrudder.example/rudder/traffic"
)

// logRecorder keeps the log lines of the server under test.
type logRecorder struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

// recordLog makes the server under test write its log to the returned recorder. It must be called before any request.
func (h *harness) recordLog() *logRecorder {
	r := &logRecorder{}
	h.server.Log = slog.New(slog.NewTextHandler(r, nil))
	return r
}

func (r *logRecorder) Write(line []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lines.Write(line)
}

func (r *logRecorder) contains(text string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return strings.Contains(r.lines.String(), text)
}

// linesOf returns the lines about a request, for the message of a failed test.
func (r *logRecorder) linesOf(id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var lines []string
	for line := range strings.Lines(r.lines.String()) {
		if strings.Contains(line, " request="+id+" ") {
			lines = append(lines, line)
		}
	}
	return strings.Join(lines, "")
}

// waitFor waits for a line that contains the text. It returns false if stop is closed before one came.
func (r *logRecorder) waitFor(t *testing.T, text string, stop <-chan struct{}) bool {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !r.contains(text); time.Sleep(time.Millisecond) {
		select {
		case <-stop:
			return r.contains(text)
		default:
		}
		if time.Now().After(deadline) {
			t.Fatalf("no log line with %q after 20 s", text)
		}
	}
	return true
}

// panickingQuotas panics for each request.
type panickingQuotas struct{ Quotas }

func (panickingQuotas) Take(*traffic.Organisation, float64) *quota.Shortage { panic("broken ledger") }

// Guards against a request that ends without an answer because its handler panicked, and of which no line tells: the error
// log of net/http is not written.
func TestPanicOfHandlerIsLogged(t *testing.T) {
	h := newHarness(t)
	log := h.recordLog()
	h.config.Organisations[0].RatePerSecond = 1
	h.server.Quotas = panickingQuotas{}
	if response := h.get("/once/x"); response.err == nil {
		t.Errorf("response %+v, want a closed connection", response)
	}
	if !log.contains("Handling a request panicked.") || !log.contains("broken ledger") {
		t.Error("no log line tells of the panic")
	}
}

// Guards against failures that the log does not explain: it must tell how long a server was silent and what was left of the
// retry budget when an attempt was given up.
func TestFailedAttemptTellsSilenceAndBudget(t *testing.T) {
	h := newHarness(t)
	log := h.recordLog()
	h.server.RetryRate.Burst = 3
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	h.stuckServer("a", done)
	if response := h.get("/short/x"); response.status != http.StatusGatewayTimeout {
		t.Fatalf("response %+v, want 504", response)
	}
	for _, field := range []string{"given_up=true", "silent_ms=", "retries_left=3"} {
		if !log.contains(field) {
			t.Errorf("the log has no %q", field)
		}
	}
	if log.contains("silent_ms=0 ") {
		t.Error("the log says that the server was not silent")
	}
}
