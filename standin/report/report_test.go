package report

import (
	"bytes"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// TestFormats guards against results that lose a row or a column in one of the formats.
func TestFormats(t *testing.T) {
	calm := Row{User: "duwende", Scenario: "calm", Variant: "this version", CostPer1000: 60000, WithinPercent: 99.5, Asked: 100}
	worse := calm
	worse.CostPer1000, worse.RecomputedPer, worse.Violations = 62000, 5, 1
	rows := []Row{Mean([]Row{calm, worse}), {User: "zlato", Scenario: "calm", Variant: "previous"}}
	var out bytes.Buffer
	for _, err := range []error{Markdown(&out, rows), CSV(&out, rows), SVG(&out, rows)} {
		if err != nil {
			t.Fatal(err)
		}
	}
	goldie.New(t).Assert(t, "formats", out.Bytes())
}
