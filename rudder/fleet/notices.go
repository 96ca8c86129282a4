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
	// noticeWatchKey is the matter in which one node acts for its failure domain.
	noticeWatchKey              = "watch-notices"
	retryDelay                  = time.Second
	responsibilityCheckInterval = 250 * time.Millisecond
	// storedNoticeRetention is how long a notice stays in the object API.
	storedNoticeRetention = 24 * time.Hour
)

// NoticeSource is the part of the cloud API that tells of reclaims.
type NoticeSource interface {
	Notices(ctx context.Context, from int64) (cloud.Notices, error)
}

// NoticeRecord is the value of a notice record and of an object under notices/.
type NoticeRecord struct {
	FailureDomain       string `json:"failure_domain"`
	LeavingAtUnixMillis int64  `json:"at_unix_ms"` // when the host goes away, by the clock of the node that saw the notice
	RemainingMillis     int64  `json:"in_ms"`      // time left when that node saw it
}

// NoticeDistributor collects notices from all sources and spreads them.
type NoticeDistributor struct {
	Table   *Table
	Members *membership.Table
	Records *membership.Records
	Store   objectapi.Store
	Source  NoticeSource
	Log     *slog.Logger

	mu             sync.Mutex
	unsavedNotices map[string]NoticeRecord
	saveSignal     chan struct{}
}

// Start connects the table and the records, so that a notice from either reaches the other.
func (n *NoticeDistributor) Start() {
	n.unsavedNotices = map[string]NoticeRecord{}
	n.saveSignal = make(chan struct{}, 1)
	n.Table.mu.Lock()
	n.Table.onNewNotice = n.propagate
	n.Table.mu.Unlock()
	n.Records.Watch(membership.RecordHostNotice, n.applyRecord)
}

// Run polls the cloud API, follows the object API and saves notices until ctx ends.
func (n *NoticeDistributor) Run(ctx context.Context) {
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){n.pollCloud, n.watchObjects, n.saveNotices} {
		loops.Go(func() { loop(ctx) })
	}
	loops.Wait()
}

// propagate makes a record of a notice that is new to this node. The node that dispatches to the host saves it.
func (n *NoticeDistributor) propagate(host, failureDomain string, at time.Time) {
	remaining := time.Until(at)
	n.Log.Warn("Host is leaving.", "host", host, "failure_domain", failureDomain, "in_ms", remaining.Milliseconds())
	notice := NoticeRecord{FailureDomain: failureDomain, LeavingAtUnixMillis: at.UnixMilli(), RemainingMillis: remaining.Milliseconds()}
	if err := n.Records.Put(membership.RecordHostNotice+host, 1, notice); err != nil {
		n.Log.Error("Notice could not be put.", "host", host, "error", err)
	}
	dispatcher, found := membership.DispatcherFor(host, failureDomain, n.Members.Live())
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

func (n *NoticeDistributor) applyRecord(record *peerpb.Record) {
	n.applyNotice(strings.TrimPrefix(record.Key, membership.RecordHostNotice), record.Value)
}

// applyNotice marks a host as leaving. Clocks of nodes may differ: no more time is left than the node that saw the notice had.
func (n *NoticeDistributor) applyNotice(host string, encoded []byte) {
	var notice NoticeRecord
	if err := json.Unmarshal(encoded, &notice); err != nil {
		n.Log.Warn("Notice could not be decoded.", "host", host, "error", err)
		return
	}
	leavingAt := time.UnixMilli(notice.LeavingAtUnixMillis)
	if latest := time.Now().Add(time.Duration(notice.RemainingMillis) * time.Millisecond); leavingAt.After(latest) {
		leavingAt = latest
	}
	n.Table.markLeaving(host, notice.FailureDomain, leavingAt)
}

// pollCloud waits for notices of the cloud while this node acts for its failure domain.
func (n *NoticeDistributor) pollCloud(ctx context.Context) {
	var nextSequence int64
	isFailing := false
	for ctx.Err() == nil {
		if !n.Members.Responsible(noticeWatchKey) {
			sleep.For(ctx, responsibilityCheckInterval)
			continue
		}
		page, err := n.Source.Notices(ctx, nextSequence)
		if err != nil {
			if !isFailing {
				n.Log.Warn("Notices could not be read from the cloud.", "error", err)
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
			// The cloud counts from the start again.
			page.Next = 0
		}
		nextSequence = page.Next
	}
}

// watchObjects reads and watches notices in the object API while this node acts for its failure domain.
func (n *NoticeDistributor) watchObjects(ctx context.Context) {
	afterRevision := int64(-1)
	for ctx.Err() == nil {
		if !n.Members.Responsible(noticeWatchKey) {
			afterRevision = -1
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

// listOrWatchObjects lists if after is negative, else watches, and returns the next position.
func (n *NoticeDistributor) listOrWatchObjects(ctx context.Context, afterRevision int64) (int64, error) {
	if afterRevision < 0 {
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
		return -1, nil
	}
	for _, event := range changes.Events {
		if !event.Deleted {
			n.applyObject(ctx, event.Object)
		}
	}
	return changes.Revision, nil
}

// applyObject takes a saved notice and deletes it when it is old.
func (n *NoticeDistributor) applyObject(ctx context.Context, o objectapi.Object) {
	var notice NoticeRecord
	if json.Unmarshal(o.Value, &notice) == nil && time.Since(time.UnixMilli(notice.LeavingAtUnixMillis)) > storedNoticeRetention {
		_ = n.Store.Delete(ctx, o.Key, o.Version)
		return
	}
	n.applyNotice(strings.TrimPrefix(o.Key, noticeKeyPrefix), o.Value)
}

// saveNotices writes new notices to the object API, and tries again while it is down.
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
			_, err := n.Store.Put(ctx, noticeKeyPrefix+host, notice, objectapi.Absent)
			if err != nil && !errors.Is(err, objectapi.ErrConflict) {
				break
			}
			n.mu.Lock()
			delete(n.unsavedNotices, host)
			n.mu.Unlock()
		}
	}
}
