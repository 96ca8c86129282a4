package telemetry

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"github.com/pkg/errors"
)

// Guards against log lines with the stack trace of each wrapping of an error, which made lines of an outage longer than a
// kilobyte.
func TestErrorLoggedWithoutStackTrace(t *testing.T) {
	var out bytes.Buffer
	err := errors.Wrap(errors.New("connection is refused"), "get x")
	NewLogger(&out, slog.LevelInfo, "n").Part("p").Warn("Call failed.", "error", err)
	line := out.String()
	if !strings.Contains(line, `error="get x: connection is refused"`) || strings.Contains(line, "telemetry_test.go") {
		t.Fatalf("log line is %s, expected the error message without a stack trace", line)
	}
}
