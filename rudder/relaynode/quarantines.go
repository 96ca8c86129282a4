package relaynode

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/culprit"
	"chestnutrudder.example/rudder/objectapi"
	"chestnutrudder.example/rudder/sleep"
)

const (
	// quarantinePrefix is the key prefix of the records in the object API from which starting nodes learn what is quarantined.
	// While any node runs, its digests tell it as well.
	quarantinePrefix = "rudder-quarantines/"
	// quarantineSaveInterval is the pause between two comparisons of the quarantines with their records.
	quarantineSaveInterval = 500 * time.Millisecond
	// quarantineLoadInterval is the pause between two attempts to read the records.
	quarantineLoadInterval = time.Second
)

// quarantineRecord is the value of the record of a quarantine. Its times are those on which the nodes agree.
type quarantineRecord struct {
	Traits            []string `json:"traits"` // in hexadecimal: JSON numbers are not exact
	BeganUnixMillis   int64    `json:"began_unix_ms"`
	NextTrialMillis   int64    `json:"next_trial_unix_ms"`
	Trials            int      `json:"trials"`
	WrittenUnixMillis int64    `json:"written_unix_ms"`
}

// keepQuarantines reads the recorded quarantines, and then records those of this node as long as it is the first one by name,
// until ctx ends.
func (n *node) keepQuarantines(ctx context.Context) {
	saved, err := n.loadQuarantines(ctx)
	for err != nil {
		n.log.Warn("Reading the recorded quarantines failed; trying again.", "error", err)
		if !sleep.For(ctx, quarantineLoadInterval) {
			return
		}
		saved, err = n.loadQuarantines(ctx)
	}
	for sleep.For(ctx, quarantineSaveInterval) {
		isOutdated := saved.epoch < n.storeHistory.latestEpoch()
		if !isOutdated && !n.relay.Crashes.HasQuarantines() && len(saved.trials) == 0 || !n.isFirstNode() {
			continue
		}
		if isOutdated {
			// Records may be missing, and those of ended quarantines may be back: they are deleted, not applied.
			// The cheap listing may return data from before the restore.
			records, err := n.readQuarantines(ctx, n.platform.Store.List)
			if err != nil {
				n.log.Warn("Reading the recorded quarantines of the restored object API failed; trying again.", "error", err)
				continue
			}
			saved = records.saved
		}
		n.saveQuarantines(ctx, saved.trials)
	}
}

// savedQuarantines is what this node knows of the records in the object API.
type savedQuarantines struct {
	trials map[string]int // number of trials in each record by key
	epoch  int64          // of the object API when they were read
}

// quarantineRecords holds the recorded quarantines as reports of a peer.
type quarantineRecords struct {
	saved       savedQuarantines
	quarantines []culprit.QuarantineReport
}

// loadQuarantines reads the recorded quarantines and applies them.
func (n *node) loadQuarantines(ctx context.Context) (savedQuarantines, error) {
	list := n.platform.Store.List
	if n.platform.ListStale != nil {
		list = n.platform.ListStale
	}
	records, err := n.readQuarantines(ctx, list)
	if err != nil {
		return savedQuarantines{}, err
	}
	n.relay.Crashes.Apply(&culprit.Report{Quarantines: records.quarantines})
	return records.saved, nil
}

// readQuarantines reads the recorded quarantines with one of the list calls of the object API. Those that are too old are
// included, so that saveQuarantines deletes them.
func (n *node) readQuarantines(ctx context.Context, list func(context.Context, string) (objectapi.Listing, error)) (quarantineRecords, error) {
	listing, err := list(ctx, quarantinePrefix)
	if err != nil {
		return quarantineRecords{}, err
	}
	records := quarantineRecords{saved: savedQuarantines{trials: map[string]int{}, epoch: listing.Revision.Epoch}}
	for _, o := range listing.Objects {
		record, quarantine, err := decodeQuarantine(o, n.mesh.MedianTime())
		if err != nil {
			n.log.Warn("Decoding a recorded quarantine failed; it is left out.", "error", err)
			continue
		}
		records.saved.trials[o.Key] = record.Trials
		records.quarantines = append(records.quarantines, quarantine)
	}
	return records, nil
}

// decodeQuarantine translates a record to the report of a peer at the given time.
func decodeQuarantine(o objectapi.Object, now time.Time) (quarantineRecord, culprit.QuarantineReport, error) {
	var record quarantineRecord
	if err := o.Decode(&record); err != nil {
		return record, culprit.QuarantineReport{}, errors.Wrapf(err, "decode quarantine %s", o.Key)
	}
	age := max(now.UnixMilli()-record.BeganUnixMillis, 0)
	report := culprit.QuarantineReport{
		AgeMillis: age, ClearAgeMillis: age, MatchAgeMillis: max(now.UnixMilli()-record.WrittenUnixMillis, 0),
		TrialInMillis: record.NextTrialMillis - now.UnixMilli(), Trials: record.Trials,
	}
	for _, text := range record.Traits {
		trait, err := strconv.ParseUint(text, 16, 64)
		if err != nil {
			return record, report, errors.Wrapf(err, "decode quarantine %s: traits", o.Key)
		}
		report.Traits = append(report.Traits, culprit.Trait(trait))
	}
	return record, report, nil
}

// saveQuarantines writes the records of quarantines that are new or have had a trial, and deletes those of ended ones. saved
// holds the number of trials in each record by key, and is updated.
func (n *node) saveQuarantines(ctx context.Context, saved map[string]int) {
	now := n.mesh.MedianTime().UnixMilli()
	current := map[string]bool{}
	for _, q := range n.relay.Crashes.Quarantines() {
		key := quarantinePrefix + strconv.FormatUint(q.ID(), 16)
		current[key] = true
		trials, isSaved := saved[key]
		if isSaved && trials == q.Trials {
			continue
		}
		record := quarantineRecord{BeganUnixMillis: now - q.AgeMillis, NextTrialMillis: now + q.TrialInMillis, Trials: q.Trials, WrittenUnixMillis: now}
		for _, t := range q.Traits {
			record.Traits = append(record.Traits, strconv.FormatUint(uint64(t), 16))
		}
		version := objectapi.AnyVersion
		if !isSaved {
			version = objectapi.AbsentVersion
		}
		// After a conflict the record is that of another node, which was the first one before.
		if _, err := n.platform.Store.Put(ctx, key, record, version); err != nil && !errors.Is(err, objectapi.ErrConflict) {
			n.log.Warn("Recording a quarantine failed; trying again.", "key", key, "error", err)
			return
		}
		n.log.Info("Recorded a quarantine in the object API.", "key", key, "trials", q.Trials)
		saved[key] = q.Trials
	}
	for key := range saved {
		if current[key] {
			continue
		}
		if err := n.platform.Store.Delete(ctx, key, objectapi.AnyVersion); err != nil && !errors.Is(err, objectapi.ErrNotFound) {
			n.log.Warn("Deleting the record of an ended quarantine failed; trying again.", "key", key, "error", err)
			return
		}
		delete(saved, key)
	}
}
