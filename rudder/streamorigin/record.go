package streamorigin

import (
	"maps"
	"slices"

	"chestnutrudder.example/rudder/boottime"
)

// maxRecordedStreams bounds the streams in a record, the latest ones count.
const maxRecordedStreams = 1000

// Record is what a node writes down where it outlives the end of all nodes: the versions at which streams may have begun,
// and for services with several versions the streams that this node began.
type Record struct {
	Versions          map[string][]string `json:"versions"` // by service
	Streams           []StreamsRecord     `json:"streams,omitempty"`
	WrittenUnixMillis int64               `json:"written_unix_ms"`
}

// StreamsRecord holds the attempts that began streams at one version of a service.
type StreamsRecord struct {
	Service  string   `json:"service"`
	Version  string   `json:"version"`
	Attempts []string `json:"attempts"`
}

// TakeRecord returns the present record of this node. needsWrite tells whether it says more than the last one that was
// taken, and hasStreams whether it names streams.
func (b *Book) TakeRecord() (record Record, needsWrite, hasStreams bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	record.Versions = map[string][]string{}
	for service := range b.versions {
		if versions := b.possibleVersions(service, now); len(versions) > 0 {
			record.Versions[service] = versions
		}
	}
	mixed := b.mixedServices(now)
	areVersionsNew := !maps.EqualFunc(record.Versions, b.recordedSets, slices.Equal)
	if !areVersionsNew && !(len(mixed) > 0 && b.isUnrecorded) {
		return record, false, false
	}
	record.Streams = b.recordedStreams(mixed, now)
	b.recordedSets, b.isUnrecorded = record.Versions, false
	return record, true, len(record.Streams) > 0
}

// recordedStreams returns the latest streams of this node at services with several versions. The caller holds the lock.
func (b *Book) recordedStreams(mixed map[string]bool, now boottime.Instant) []StreamsRecord {
	var reports []Report
	count := 0
	for _, attempt := range slices.Backward(b.own.order) {
		if e := b.own.entries[attempt]; mixed[e.Service] && now.Sub(e.usedAt) <= Retention && count < maxRecordedStreams {
			count++
			reports = addToReports(reports, e.Origin, attempt)
		}
	}
	var list []StreamsRecord
	for _, r := range reports {
		list = append(list, StreamsRecord{Service: r.Service, Version: r.Version, Attempts: r.Attempts})
	}
	return list
}

// ForgetRecord makes the next TakeRecord return a record to be written: the last one was not, or is lost.
func (b *Book) ForgetRecord() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recordedSets, b.isUnrecorded = nil, true
}

// ApplyRecord adds what a node has recorded. isOwn tells whether it is the record of an earlier process of this node, whose
// streams this one keeps on record.
func (b *Book) ApplyRecord(record Record, isOwn bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	for service, versions := range record.Versions {
		for _, version := range versions {
			b.noteVersion(Origin{service, version}, now)
		}
	}
	l := &b.peers
	if isOwn {
		l = &b.own
	}
	for _, s := range record.Streams {
		b.applyReport(l, Report{Service: s.Service, Version: s.Version, Attempts: s.Attempts}, now)
	}
}

// SetLoaded tells that all records of before the start of this node have been applied.
func (b *Book) SetLoaded() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isLoaded = true
}
