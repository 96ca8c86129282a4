package fleet

import (
	"context"
	"encoding/json"
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/cloud"
	"chestnutrudder.example/rudder/membership"
	"chestnutrudder.example/rudder/objectapi"
	"chestnutrudder.example/rudder/peer/peerpb"
	"chestnutrudder.example/rudder/sleep"
)

const (
	noticeKeyPrefix = "notices/"
	// taskWatchNotices names the task that one node does for its failure domain: reading notices from the cloud and from
	// the object API.
	taskWatchNotices            = "watch-notices"
	retryDelay                  = time.Second
	responsibilityCheckInterval = 250 * time.Millisecond
	// storedNoticeRetention is how long a notice stays in the object API after the time when its host goes away.
	storedNoticeRetention = 24 * time.Hour
	// maxCopyAge is how old a copy is at most from which the object API is restored.
	maxCopyAge = 10 * time.Minute
)

// NoticeSource is the part of the cloud API that announces reclaims.
type NoticeSource interface {
	// Notices waits for notices from a sequence number on. It returns an empty page if none comes in time, and the errors of
	// cloud.API.Notices.
	Notices(ctx context.Context, from int64) (cloud.Notices, error)
}

// NoticeRecord is the value of a membership record for a notice and of an object under notices/.
type NoticeRecord struct {
	FailureDomain       string `json:"failure_domain"`
	LeavingAtUnixMillis int64  `json:"at_unix_ms"` // when the host goes away, by the clock of the node that recorded the notice
	RemainingMillis     int64  `json:"in_ms"`      // time left when that node got the notice
}

// NoticeDistributor collects notices from the cloud, the object API and other nodes, and passes them on to all nodes.
type NoticeDistributor struct {
	Table   *Table
	Members *membership.Table
	Records *membership.Records
	Store   objectapi.Store
	Source  NoticeSource
	Log     *slog.Logger

	mu             sync.Mutex
	unsavedNotices map[string]NoticeRecord // by host, not written to the object API yet
	saveSignal     chan struct{}           // wakes saveNotices
}

// Start connects the table with the membership records, so that a notice in either reaches the other. It must be called
// before Run.
func (n *NoticeDistributor) Start() {
	n.unsavedNotices = map[string]NoticeRecord{}
	n.saveSignal = make(chan struct{}, 1)
	n.Table.mu.Lock()
	n.Table.onNewNotice = n.propagate
	n.Table.mu.Unlock()
	n.Records.Watch(membership.RecordHostNotice, n.applyRecord)
	n.Records.WatchEpoch(func(int64) { n.saveAgain() })
}

// Run polls the cloud API, watches the object API and saves notices until ctx ends.
func (n *NoticeDistributor) Run(ctx context.Context) {
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){n.pollCloud, n.watchObjects, n.saveNotices} {
		loops.Go(func() { loop(ctx) })
	}
	loops.Wait()
}

// propagate stores a notice that is new to this node as a membership record. Only the node that dispatches to the host
// also writes it to the object API.
func (n *NoticeDistributor) propagate(host, failureDomain string, at time.Time) {
	remaining := time.Until(at)
	n.Log.Warn("Host is leaving.", "host", host, "failure_domain", failureDomain, "in_ms", remaining.Milliseconds())
	notice := NoticeRecord{FailureDomain: failureDomain, LeavingAtUnixMillis: at.UnixMilli(), RemainingMillis: remaining.Milliseconds()}
	if err := n.Records.Put(membership.RecordHostNotice+host, 1, notice); err != nil {
		n.Log.Error("Failed to store the notice in the membership records.", "host", host, "error", err)
	}
	n.save(host, notice)
}

// save writes a notice to the object API, in the background, if this node dispatches to the host.
func (n *NoticeDistributor) save(host string, notice NoticeRecord) {
	dispatcher, found := membership.DispatcherFor(host, notice.FailureDomain, n.Members.Live())
	if found && dispatcher.Name != n.Members.Self().Name {
		return
	}
	n.mu.Lock()
	n.unsavedNotices[host] = notice
	n.mu.Unlock()
	select {
	case n.saveSignal <- struct{}{}:
	default:
	}
}

// saveAgain writes the notices again that an object API that was restored from an older copy may have lost.
func (n *NoticeDistributor) saveAgain() {
	for _, record := range n.Records.List(membership.RecordHostNotice) {
		var notice NoticeRecord
		if json.Unmarshal(record.Value, &notice) != nil {
			continue
		}
		if recordedAt := time.UnixMilli(notice.LeavingAtUnixMillis - notice.RemainingMillis); time.Since(recordedAt) < maxCopyAge {
			n.save(strings.TrimPrefix(record.Key, membership.RecordHostNotice), notice)
		}
	}
}

func (n *NoticeDistributor) applyRecord(record *peerpb.Record) {
	n.applyNotice(strings.TrimPrefix(record.Key, membership.RecordHostNotice), record.Value)
}

// applyNotice marks a host as leaving. Since the clocks of nodes may differ, the time left is at most what it was on the
// node that got the notice first.
func (n *NoticeDistributor) applyNotice(host string, encoded []byte) {
	var notice NoticeRecord
	if err := json.Unmarshal(encoded, &notice); err != nil {
		n.Log.Warn("Failed to decode a notice; ignoring it.", "host", host, "error", err)
		return
	}
	leavingAt := time.UnixMilli(notice.LeavingAtUnixMillis)
	if latest := time.Now().Add(time.Duration(notice.RemainingMillis) * time.Millisecond); leavingAt.After(latest) {
		leavingAt = latest
	}
	n.Table.markLeaving(host, notice.FailureDomain, leavingAt)
}

// pollCloud reads notices from the cloud while this node does taskWatchNotices for its failure domain.
func (n *NoticeDistributor) pollCloud(ctx context.Context) {
	var nextSequence int64
	isFailing := false
	for ctx.Err() == nil {
		if !n.Members.IsResponsibleFor(taskWatchNotices) {
			sleep.For(ctx, responsibilityCheckInterval)
			continue
		}
		page, err := n.Source.Notices(ctx, nextSequence)
		if errors.Is(err, cloud.ErrUnreadableEntries) {
			n.Log.Warn("Notices of the cloud cannot be read; they are left out.", "error", err)
			err = nil
		}
		if err != nil {
			if !isFailing {
				n.Log.Warn("Failed to read notices from the cloud; retrying until it answers.", "error", err)
			}
			isFailing = true
			sleep.For(ctx, retryDelay)
			continue
		}
		isFailing = false
		for _, notice := range page.Notices {
			n.Table.markLeaving(notice.Host, notice.FailureDomain, time.Now().Add(time.Duration(notice.InMillis)*time.Millisecond))
		}
		if page.Next < nextSequence {
			// The cloud has restarted its sequence numbers.
			page.Next = 0
		}
		nextSequence = page.Next
	}
}

// watchObjects reads notices from the object API while this node does taskWatchNotices for its failure domain.
func (n *NoticeDistributor) watchObjects(ctx context.Context) {
	afterRevision := objectapi.UnknownRevision
	for ctx.Err() == nil {
		if !n.Members.IsResponsibleFor(taskWatchNotices) {
			afterRevision = objectapi.UnknownRevision
			sleep.For(ctx, responsibilityCheckInterval)
			continue
		}
		nextRevision, err := n.listOrWatchObjects(ctx, afterRevision)
		if err != nil {
			sleep.For(ctx, retryDelay)
			continue
		}
		afterRevision = nextRevision
	}
}

// listOrWatchObjects lists the notices if afterRevision is objectapi.UnknownRevision, else waits for changes after that revision. It
// returns the revision to continue from, objectapi.UnknownRevision to list again.
func (n *NoticeDistributor) listOrWatchObjects(ctx context.Context, afterRevision objectapi.Version) (objectapi.Version, error) {
	if afterRevision == objectapi.UnknownRevision {
		listing, err := n.Store.List(ctx, noticeKeyPrefix)
		if err != nil {
			return afterRevision, err
		}
		for _, o := range listing.Objects {
			n.applyObject(ctx, o)
		}
		return listing.Revision, nil
	}
	changes, err := n.Store.Watch(ctx, noticeKeyPrefix, afterRevision)
	if err != nil {
		return afterRevision, err
	}
	if changes.Reset {
		return objectapi.UnknownRevision, nil
	}
	for _, event := range changes.Events {
		if !event.Deleted {
			n.applyObject(ctx, event.Object)
		}
	}
	return changes.Revision, nil
}

// applyObject applies a notice from the object API, or deletes it if it is older than storedNoticeRetention.
func (n *NoticeDistributor) applyObject(ctx context.Context, o objectapi.Object) {
	var notice NoticeRecord
	if json.Unmarshal(o.Value, &notice) == nil && time.Since(time.UnixMilli(notice.LeavingAtUnixMillis)) > storedNoticeRetention {
		_ = n.Store.Delete(ctx, o.Key, o.Version)
		return
	}
	n.applyNotice(strings.TrimPrefix(o.Key, noticeKeyPrefix), o.Value)
}

// saveNotices writes new notices to the object API, and retries every second while it is not available.
func (n *NoticeDistributor) saveNotices(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-n.saveSignal:
		case <-time.After(retryDelay):
		}
		n.mu.Lock()
		pending := make(map[string]NoticeRecord, len(n.unsavedNotices))
		for host, notice := range n.unsavedNotices {
			pending[host] = notice
		}
		n.mu.Unlock()
		for host, notice := range pending {
			_, err := n.Store.Put(ctx, noticeKeyPrefix+host, notice, objectapi.AbsentVersion)
			if err != nil && !errors.Is(err, objectapi.ErrConflict) {
				break
			}
			n.mu.Lock()
			delete(n.unsavedNotices, host)
			n.mu.Unlock()
		}
	}
}
