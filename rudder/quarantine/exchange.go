package quarantine

import (
	"context"
	"encoding/json"
	"time"

	"github.com/fxamacker/cbor/v2"

	"chestnutrudder.example/rudder/culprit"
	"chestnutrudder.example/rudder/membership"
	"chestnutrudder.example/rudder/peer/peerpb"
	"chestnutrudder.example/rudder/sleep"
)

const (
	// exchangeInterval is the pause between two checks whether other nodes must learn of crashes.
	exchangeInterval = 200 * time.Millisecond
	// maxReportBytes is the size of a report that still fits into a record.
	maxReportBytes = 2800
	// maxReportedMessages bounds the suspect messages in a report to what leaves room for crashes and answers.
	maxReportedMessages = 64
)

// crashRecord is the value of a node's record of crashes.
type crashRecord struct {
	UnixMillis int64  `json:"unix_ms"` // time of the report
	Report     []byte `json:"report"`  // culprit.Report in CBOR
}

// Run tells other nodes of crashes, answers and quarantines until ctx ends.
func (l *List) Run(ctx context.Context) {
	for sleep.For(ctx, exchangeInterval) {
		if report := l.Parts.UrgentReport(); report != nil {
			l.publishCrashes(report, time.Now())
		}
	}
}

// publishCrashes writes this node's record of crashes. Crashes that do not fit are left out, those listed first.
func (l *List) publishCrashes(report *culprit.Report, now time.Time) {
	data, err := cbor.Marshal(report)
	for err == nil && len(data) > maxReportBytes && len(report.Crashes) > 0 {
		report.Crashes = report.Crashes[(len(report.Crashes)+1)/2:]
		data, err = cbor.Marshal(report)
	}
	if err == nil {
		err = l.records.Put(membership.RecordCrashes+l.node, now.UnixNano(), crashRecord{UnixMillis: now.UnixMilli(), Report: data})
	}
	if err != nil {
		l.log.Warn("Failed to publish crashes of backend servers.", "error", err)
	}
}

// applyCrashRecord applies the record of another node. A record that cannot be decoded is ignored.
func (l *List) applyCrashRecord(r *peerpb.Record) {
	var record crashRecord
	var report culprit.Report
	if r.Key == membership.RecordCrashes+l.node || json.Unmarshal(r.Value, &record) != nil || cbor.Unmarshal(record.Report, &report) != nil {
		return
	}
	report.AddAge(max(time.Since(time.UnixMilli(record.UnixMillis)), 0))
	l.Parts.Apply(&report)
}
