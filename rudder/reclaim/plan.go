// Package reclaim decides what happens to the runs of a host that will be taken away. The dispatcher to which the host is
// assigned calls it and carries out the decisions.
package reclaim

import (
	"cmp"
	"slices"
	"time"
)

// Action says what to do with a run.
type Action int

const (
	// Finish leaves the run on its host: it ends before the host goes away.
	Finish Action = iota
	// Export copies the KV cache of the run to another host, where the run continues.
	Export
	// Resume continues the run on another host from the prompt and the tokens so far, which are recomputed there.
	Resume
)

// String returns the name of the action.
func (a Action) String() string { return [...]string{"finish", "export", "resume"}[a] }

// Run is one run on the host.
type Run struct {
	ID        string
	Tokens    int           // of the prompt and the answer so far; recomputed if the run is resumed by prefix
	Remaining time.Duration // predicted time until it ends
}

// Limits are the limits for moving runs off the host.
type Limits struct {
	TimeLeft              time.Duration // until the host goes away
	Margin                time.Duration // kept free at the end for imports and for runs that end late
	ExportTokensPerSecond float64       // shared by all exports of the host; 0 means that it cannot export
	ExportOverhead        time.Duration // time for each export, independent of its size
}

// Decision is the action for one run.
type Decision struct {
	Run
	Action    Action
	ExportEnd time.Duration // when the export should have ended, counted from now; only with Export
}

// exportTime returns how long the export of a run takes.
func (l Limits) exportTime(r Run) time.Duration {
	return l.ExportOverhead + time.Duration(float64(r.Tokens)/l.ExportTokensPerSecond*float64(time.Second))
}

// Plan decides for each run. Runs that end within the time left less the margin finish. Of the others, those that save the
// most tokens per second of export time are exported first, as many as fit; the rest are resumed by prefix. The exports come
// first in the result, in the order in which they are to be made.
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

// savedTokensPerSecond returns how many tokens an export saves from recomputation per second of export time.
func (l Limits) savedTokensPerSecond(r Run) float64 {
	return float64(r.Tokens) / max(l.exportTime(r).Seconds(), 1e-9)
}
