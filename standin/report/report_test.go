package report

import (
	"bytes"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// TestFormats checks that every format contains all rows and columns.
func TestFormats(t *testing.T) {
	calm := Row{User: "duwende", Scenario: "calm", Variant: "this version", CostMicrosPer1000Answers: 60000, WithinTargetPercent: 99.5, Requests: 100}
	violating := calm
	violating.CostMicrosPer1000Answers, violating.RecomputedPer1000Generated, violating.Violations = 62000, 5, 1
	rows := []Row{Mean([]Row{calm, violating}), {User: "zlato", Scenario: "calm", Variant: "previous"}}
	var out bytes.Buffer
	for _, err := range []error{Markdown(&out, rows), CSV(&out, rows), SVG(&out, rows)} {
		if err != nil {
			t.Fatal(err)
		}
	}
	goldie.New(t).Assert(t, "formats", out.Bytes())
}
