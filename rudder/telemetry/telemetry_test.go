package telemetry

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"github.com/pkg/errors"
)

// A log line has the message of an error, not the stacks of its wrappings: a line of an outage had over a kilobyte.
func TestErrorLoggedWithoutStackTrace(t *testing.T) {
	var out bytes.Buffer
	err := errors.Wrap(errors.New("connection is refused"), "get x")
	NewLogger(&out, slog.LevelInfo, "n").Part("p").Warn("Call failed.", "error", err)
	line := out.String()
	if !strings.Contains(line, `error="get x: connection is refused"`) || strings.Contains(line, "telemetry_test.go") {
		t.Fatalf("line is %s", line)
	}
}
