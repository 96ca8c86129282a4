// Package reclaim decides what happens to the runs of a host that will be taken away. The dispatcher of the host calls it
// and carries the decisions out.
package reclaim

import (
	"cmp"
	"slices"
	"time"
)

// Action says what to do with a run.
type Action int

const (
	// Finish leaves the run where it is: it ends before the host goes away.
	Finish Action = iota
	// Export copies the run's KV cache to another host and continues there.
	Export
	// Resume continues elsewhere from the prompt and the tokens so far, which are computed again.
	Resume
)

// String returns the name of the action.
func (a Action) String() string { return [...]string{"finish", "export", "resume"}[a] }

// Run is one run of the host.
type Run struct {
	ID        string
	Tokens    int           // prompt and answer so far: lost if the run is resumed by prefix
	Remaining time.Duration // predicted time to its end
}

// Limits are what the host allows.
type Limits struct {
	TimeLeft              time.Duration // until the host goes away
	Margin                time.Duration // kept free at the end, for imports and late answers
	ExportTokensPerSecond float64       // shared by all exports of the host; 0 means that it cannot export
	ExportOverhead        time.Duration // of each export, whatever its size
}

// Decision is the action for one run.
type Decision struct {
	Run
	Action    Action
	ExportEnd time.Duration // Export: when it should have ended, counted from now
}

// exportTime returns how long the export of a run takes.
func (l Limits) exportTime(r Run) time.Duration {
	return l.ExportOverhead + time.Duration(float64(r.Tokens)/l.ExportTokensPerSecond*float64(time.Second))
}

// Plan decides for each run. Runs that end within the time left less the margin finish. Of the others, those that save
// most tokens for each second of export are exported first, as many as fit; the rest is resumed by prefix. Exports come
// first and in the order in which they are to be made.
func Plan(runs []Run, l Limits) []Decision {
	usableTime := l.TimeLeft - l.Margin
	var finish, move []Decision
	for _, r := range runs {
		if r.Remaining <= usableTime {
			finish = append(finish, Decision{Run: r, Action: Finish})
		} else {
			move = append(move, Decision{Run: r, Action: Resume})
		}
	}
	if l.ExportTokensPerSecond > 0 {
		slices.SortFunc(move, func(a, b Decision) int {
			return cmp.Or(cmp.Compare(l.savedTokensPerSecond(b.Run), l.savedTokensPerSecond(a.Run)), cmp.Compare(a.ID, b.ID))
		})
		used := time.Duration(0)
		for i, d := range move {
			if cost := l.exportTime(d.Run); d.Tokens > 0 && used+cost <= usableTime {
				used += cost
				move[i].Action, move[i].ExportEnd = Export, used
			}
		}
	}
	slices.SortStableFunc(move, func(a, b Decision) int { return cmp.Compare(a.Action, b.Action) })
	return append(move, finish...)
}

func (l Limits) savedTokensPerSecond(r Run) float64 {
	return float64(r.Tokens) / max(l.exportTime(r).Seconds(), 1e-9)
}
