// Package report writes the benchmark's results as Markdown, CSV and a plot. Only cmd/bench uses it.
package report

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Row is the result of one run of one user in one scenario with one variant of the system.
type Row struct {
	User     string
	Scenario string
	Variant  string

	CostPer1000    float64 // micros for 1,000 answers within the target
	WithinPercent  float64
	FirstTokenMs   float64 // 95 in 100
	BetweenMs      float64 // 95 in 100
	RecomputedPer  float64 // tokens for 1,000 generated
	Asked          int
	Refused        int
	Failed         int
	Violations     int
	ObjectAPICalls int64
	// LatePercent says by how much the engines' steps took longer than planned, because the machine was busy.
	LatePercent float64
}

var header = []string{
	"user", "scenario", "variant", "cost for 1,000 within target (micros)", "within target (%)", "first token p95 (ms)",
	"between tokens p95 (ms)", "recomputed for 1,000 generated", "asked", "refused", "failed", "violations", "object API calls", "engine steps late (%)",
}

// String returns the row as one line.
func (r Row) String() string { return strings.Join(r.cells(), "  ") }

func (r Row) cells() []string {
	number := func(v float64, digits int) string { return strconv.FormatFloat(v, 'f', digits, 64) }
	cost := "none within"
	if r.CostPer1000 > 0 {
		cost = number(r.CostPer1000, 0)
	}
	return []string{
		r.User, r.Scenario, r.Variant, cost, number(r.WithinPercent, 1), number(r.FirstTokenMs, 0),
		number(r.BetweenMs, 1), number(r.RecomputedPer, 1), strconv.Itoa(r.Asked), strconv.Itoa(r.Refused),
		strconv.Itoa(r.Failed), strconv.Itoa(r.Violations), strconv.FormatInt(r.ObjectAPICalls, 10), number(r.LatePercent, 1),
	}
}

// Mean returns the mean of the measured figures and the sum of the counts. Rows must be of the same kind.
func Mean(rows []Row) Row {
	mean := Row{User: rows[0].User, Scenario: rows[0].Scenario, Variant: rows[0].Variant}
	share := 1 / float64(len(rows))
	for _, r := range rows {
		mean.CostPer1000 += share * r.CostPer1000
		mean.WithinPercent += share * r.WithinPercent
		mean.FirstTokenMs += share * r.FirstTokenMs
		mean.BetweenMs += share * r.BetweenMs
		mean.RecomputedPer += share * r.RecomputedPer
		mean.LatePercent += share * r.LatePercent
		mean.Asked += r.Asked
		mean.Refused += r.Refused
		mean.Failed += r.Failed
		mean.Violations += r.Violations
		mean.ObjectAPICalls += r.ObjectAPICalls
	}
	return mean
}

// Markdown writes a table.
func Markdown(w io.Writer, rows []Row) error {
	var b strings.Builder
	b.WriteString("| " + strings.Join(header, " | ") + " |\n|" + strings.Repeat("---|", len(header)) + "\n")
	for _, r := range rows {
		b.WriteString("| " + strings.Join(r.cells(), " | ") + " |\n")
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// CSV writes one line for each row.
func CSV(w io.Writer, rows []Row) error {
	out := csv.NewWriter(w)
	if err := out.Write(header); err != nil {
		return err
	}
	for _, r := range rows {
		if err := out.Write(r.cells()); err != nil {
			return err
		}
	}
	out.Flush()
	return out.Error()
}

// Sizes of the plot in pixels.
const (
	barHeight  = 14
	labelWidth = 330
	plotWidth  = 300
	margin     = 30
)

// SVG writes two columns of bars: cost and recomputed tokens.
func SVG(w io.Writer, rows []Row) error {
	var b strings.Builder
	width, height := labelWidth+2*plotWidth+2*margin, len(rows)*(barHeight+4)+2*margin
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`+"\n", width, height)
	fmt.Fprintf(&b, `<rect width="%d" height="%d" fill="white"/>`+"\n", width, height)
	text(&b, labelWidth, margin-12, "cost for 1,000 answers within the target (micros)")
	text(&b, labelWidth+plotWidth+margin, margin-12, "tokens recomputed for 1,000 generated")
	cost := func(r Row) float64 { return r.CostPer1000 }
	recomputed := func(r Row) float64 { return r.RecomputedPer }
	for i, r := range rows {
		y := margin + i*(barHeight+4)
		text(&b, 4, y+11, r.User+", "+r.Scenario+", "+r.Variant)
		bar(&b, labelWidth, y, cost(r), largest(rows, cost), "#8a5a2b")
		bar(&b, labelWidth+plotWidth+margin, y, recomputed(r), largest(rows, recomputed), "#2b5a8a")
	}
	b.WriteString("</svg>\n")
	_, err := io.WriteString(w, b.String())
	return err
}

func largest(rows []Row, value func(Row) float64) float64 {
	most := 0.0
	for _, r := range rows {
		most = max(most, value(r))
	}
	return most
}

func text(b *strings.Builder, x, y int, content string) {
	fmt.Fprintf(b, `<text x="%d" y="%d">%s</text>`+"\n", x, y, content)
}

func bar(b *strings.Builder, x, y int, value, most float64, colour string) {
	length := 0.0
	if most > 0 {
		length = value / most * (plotWidth - 60)
	}
	fmt.Fprintf(b, `<rect x="%d" y="%d" width="%.1f" height="%d" fill="%s"/>`+"\n", x, y, length, barHeight, colour)
	text(b, x+int(length)+4, y+11, strconv.FormatFloat(value, 'f', 1, 64))
}
