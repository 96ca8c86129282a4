package streamorigin

import (
	"slices"

	"chestnutrudder.example/rudder/boottime"
)

// maxReportedStreams bounds the streams in one message to peers. The others follow in the next one.
const maxReportedStreams = 400

// Report tells peers of streams that began at one version of a service.
type Report struct {
	_        struct{} `cbor:",toarray"`
	Service  string
	Version  string
	Attempts []string
}

// TakeReports returns what peers have not been told of: the streams that began at services with several versions. A message
// that gets lost is made up for by the record.
func (b *Book) TakeReports() []Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	mixed := b.mixedServices(now)
	if len(mixed) == 0 {
		return nil
	}
	var reports []Report
	reported := 0
	b.unreported = slices.DeleteFunc(b.unreported, func(attempt string) bool {
		e, found := b.own.entries[attempt]
		switch {
		case !found:
			return true
		case reported >= maxReportedStreams || !mixed[e.Service]:
			return now.Sub(e.usedAt) > Retention
		}
		reported++
		reports = addToReports(reports, e.Origin, attempt)
		return true
	})
	return reports
}

// addToReports adds an attempt to the report of its origin.
func addToReports(reports []Report, o Origin, attempt string) []Report {
	i := slices.IndexFunc(reports, func(r Report) bool { return r.Service == o.Service && r.Version == o.Version })
	if i < 0 {
		i, reports = len(reports), append(reports, Report{Service: o.Service, Version: o.Version})
	}
	reports[i].Attempts = append(reports[i].Attempts, attempt)
	return reports
}

// ApplyReports adds what a peer told.
func (b *Book) ApplyReports(reports []Report) {
	if len(reports) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	for _, r := range reports {
		b.applyReport(&b.peers, r, now)
	}
}

// applyReport adds the streams of a report to a ledger. The caller holds the lock.
func (b *Book) applyReport(l *ledger, r Report, now boottime.Instant) {
	o := Origin{Service: r.Service, Version: r.Version}
	b.noteVersion(o, now)
	for _, attempt := range r.Attempts {
		if attempt != "" && len(attempt) <= MaxAttemptBytes {
			l.put(attempt, o, now)
		}
	}
}
