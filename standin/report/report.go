// Package report writes benchmark results as a Markdown table, CSV and an SVG plot. Only cmd/bench uses it.
package report

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Row is the result of one benchmark run: the load of one user in one scenario on one variant of the system.
type Row struct {
	User     string
	Scenario string
	Variant  string

	CostMicrosPer1000Answers   float64 // millionths of a currency unit per 1,000 answers within the latency target; 0: none
	WithinTargetPercent        float64 // share of answers within the latency target
	FirstTokenP95Ms            float64 // 95th percentile of the time to the first token
	BetweenTokensP95Ms         float64 // 95th percentile of the mean time between tokens of an answer
	RecomputedPer1000Generated float64 // recomputed tokens per 1,000 generated tokens
	Requests                   int
	Refused                    int
	Failed                     int
	Violations                 int
	ObjectAPICalls             int64
	// StepOverrunPercent is how much longer the steps of the engines took than planned because the host was overloaded.
	StepOverrunPercent float64
}

var columnNames = []string{
	"user", "scenario", "variant", "cost for 1,000 within target (micros)", "within target (%)", "first token p95 (ms)",
	"between tokens p95 (ms)", "recomputed for 1,000 generated", "asked", "refused", "failed", "violations", "object API calls", "engine steps late (%)",
}

// String returns the cells of the row on one line.
func (r Row) String() string { return strings.Join(r.cells(), "  ") }

func (r Row) cells() []string {
	format := func(v float64, digits int) string { return strconv.FormatFloat(v, 'f', digits, 64) }
	cost := "none within"
	if r.CostMicrosPer1000Answers > 0 {
		cost = format(r.CostMicrosPer1000Answers, 0)
	}
	return []string{
		r.User, r.Scenario, r.Variant, cost, format(r.WithinTargetPercent, 1), format(r.FirstTokenP95Ms, 0),
		format(r.BetweenTokensP95Ms, 1), format(r.RecomputedPer1000Generated, 1), strconv.Itoa(r.Requests), strconv.Itoa(r.Refused),
		strconv.Itoa(r.Failed), strconv.Itoa(r.Violations), strconv.FormatInt(r.ObjectAPICalls, 10), format(r.StepOverrunPercent, 1),
	}
}

// Mean returns one row with the means of the measurements and the sums of the counts. rows must not be empty and must have
// the same user, scenario and variant.
func Mean(rows []Row) Row {
	mean := Row{User: rows[0].User, Scenario: rows[0].Scenario, Variant: rows[0].Variant}
	weight := 1 / float64(len(rows))
	for _, r := range rows {
		mean.CostMicrosPer1000Answers += weight * r.CostMicrosPer1000Answers
		mean.WithinTargetPercent += weight * r.WithinTargetPercent
		mean.FirstTokenP95Ms += weight * r.FirstTokenP95Ms
		mean.BetweenTokensP95Ms += weight * r.BetweenTokensP95Ms
		mean.RecomputedPer1000Generated += weight * r.RecomputedPer1000Generated
		mean.StepOverrunPercent += weight * r.StepOverrunPercent
		mean.Requests += r.Requests
		mean.Refused += r.Refused
		mean.Failed += r.Failed
		mean.Violations += r.Violations
		mean.ObjectAPICalls += r.ObjectAPICalls
	}
	return mean
}

// Markdown writes the rows as a Markdown table with a header.
func Markdown(w io.Writer, rows []Row) error {
	var b strings.Builder
	b.WriteString("| " + strings.Join(columnNames, " | ") + " |\n|" + strings.Repeat("---|", len(columnNames)) + "\n")
	for _, r := range rows {
		b.WriteString("| " + strings.Join(r.cells(), " | ") + " |\n")
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// CSV writes the rows as CSV with a header.
func CSV(w io.Writer, rows []Row) error {
	writer := csv.NewWriter(w)
	if err := writer.Write(columnNames); err != nil {
		return err
	}
	for _, r := range rows {
		if err := writer.Write(r.cells()); err != nil {
			return err
		}
	}
	writer.Flush()
	return writer.Error()
}

// Sizes in the plot, in pixels.
const (
	barHeight  = 14
	labelWidth = 330
	plotWidth  = 300
	margin     = 30
)

// SVG writes a plot with two columns of bars, cost and recomputed tokens, each scaled to its largest value.
func SVG(w io.Writer, rows []Row) error {
	var b strings.Builder
	width, height := labelWidth+2*plotWidth+2*margin, len(rows)*(barHeight+4)+2*margin
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`+"\n", width, height)
	fmt.Fprintf(&b, `<rect width="%d" height="%d" fill="white"/>`+"\n", width, height)
	writeText(&b, labelWidth, margin-12, "cost for 1,000 answers within the target (micros)")
	writeText(&b, labelWidth+plotWidth+margin, margin-12, "tokens recomputed for 1,000 generated")
	cost := func(r Row) float64 { return r.CostMicrosPer1000Answers }
	recomputed := func(r Row) float64 { return r.RecomputedPer1000Generated }
	for i, r := range rows {
		y := margin + i*(barHeight+4)
		writeText(&b, 4, y+11, r.User+", "+r.Scenario+", "+r.Variant)
		writeBar(&b, labelWidth, y, cost(r), maxValue(rows, cost), "#8a5a2b")
		writeBar(&b, labelWidth+plotWidth+margin, y, recomputed(r), maxValue(rows, recomputed), "#2b5a8a")
	}
	b.WriteString("</svg>\n")
	_, err := io.WriteString(w, b.String())
	return err
}

func maxValue(rows []Row, value func(Row) float64) float64 {
	maximum := 0.0
	for _, r := range rows {
		maximum = max(maximum, value(r))
	}
	return maximum
}

func writeText(b *strings.Builder, x, y int, content string) {
	fmt.Fprintf(b, `<text x="%d" y="%d">%s</text>`+"\n", x, y, content)
}

func writeBar(b *strings.Builder, x, y int, value, scaleMax float64, colour string) {
	length := 0.0
	if scaleMax > 0 {
		length = value / scaleMax * (plotWidth - 60)
	}
	fmt.Fprintf(b, `<rect x="%d" y="%d" width="%.1f" height="%d" fill="%s"/>`+"\n", x, y, length, barHeight, colour)
	writeText(b, x+int(length)+4, y+11, strconv.FormatFloat(value, 'f', 1, 64))
}
