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
	noticePrefix = "notices/"
	// matterNotices is the matter in which one node acts for its failure domain.
	matterNotices = "watch-notices"
	retryPause    = time.Second
	checkPause    = 250 * time.Millisecond
	// deleteAfter is how long a notice stays in the object API.
	deleteAfter = 24 * time.Hour
)

// NoticeSource is the part of the cloud API that tells of reclaims.
type NoticeSource interface {
	Notices(ctx context.Context, from int64) (cloud.Notices, error)
}

// Notice is the value of a notice record and of an object under notices/.
type Notice struct {
	FailureDomain string `json:"failure_domain"`
	AtUnixMillis  int64  `json:"at_unix_ms"` // when the host goes away, by the clock of the node that saw the notice
	InMillis      int64  `json:"in_ms"`      // time left when that node saw it
}

// Notices collects notices from all sources and spreads them.
type Notices struct {
	Table   *Table
	Members *membership.Table
	Records *membership.Records
	Store   objectapi.Store
	Source  NoticeSource
	Log     *slog.Logger

	mu      sync.Mutex
	unsaved map[string]Notice
	changed chan struct{}
}

// Start connects the table and the records, so that a notice from either reaches the other.
func (n *Notices) Start() {
	n.unsaved = map[string]Notice{}
	n.changed = make(chan struct{}, 1)
	n.Table.mu.Lock()
	n.Table.onLeaving = n.spread
	n.Table.mu.Unlock()
	n.Records.Watch(membership.RecordHostNotice, n.takeRecord)
}

// Run polls the cloud API, follows the object API and saves notices until ctx ends.
func (n *Notices) Run(ctx context.Context) {
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){n.pollCloud, n.followObjects, n.save} {
		loops.Go(func() { loop(ctx) })
	}
	loops.Wait()
}

// spread makes a record of a notice that is new to this node. The node that dispatches to the host saves it.
func (n *Notices) spread(host, failureDomain string, at time.Time) {
	left := time.Until(at)
	n.Log.Warn("Host is leaving.", "host", host, "failure_domain", failureDomain, "in_ms", left.Milliseconds())
	value := Notice{FailureDomain: failureDomain, AtUnixMillis: at.UnixMilli(), InMillis: left.Milliseconds()}
	if err := n.Records.Put(membership.RecordHostNotice+host, 1, value); err != nil {
		n.Log.Error("Notice could not be put.", "host", host, "error", err)
	}
	saver, found := membership.DispatcherFor(host, failureDomain, n.Members.Live())
	if found && saver.Name != n.Members.Self().Name {
		return
	}
	n.mu.Lock()
	n.unsaved[host] = value
	n.mu.Unlock()
	select {
	case n.changed <- struct{}{}:
	default:
	}
}

func (n *Notices) takeRecord(record *peerpb.Record) {
	n.take(strings.TrimPrefix(record.Key, membership.RecordHostNotice), record.Value)
}

// take marks a host as leaving. Clocks of nodes may differ: no more time is left than the node that saw the notice had.
func (n *Notices) take(host string, raw []byte) {
	var value Notice
	if err := json.Unmarshal(raw, &value); err != nil {
		n.Log.Warn("Notice could not be decoded.", "host", host, "error", err)
		return
	}
	at := time.UnixMilli(value.AtUnixMillis)
	if latest := time.Now().Add(time.Duration(value.InMillis) * time.Millisecond); at.After(latest) {
		at = latest
	}
	n.Table.markLeaving(host, value.FailureDomain, at)
}

// pollCloud waits for notices of the cloud while this node acts for its failure domain.
func (n *Notices) pollCloud(ctx context.Context) {
	var from int64
	failing := false
	for ctx.Err() == nil {
		if !n.Members.IsResponsibleFor(matterNotices) {
			sleep.For(ctx, checkPause)
			continue
		}
		page, err := n.Source.Notices(ctx, from)
		if err != nil {
			if !failing {
				n.Log.Warn("Notices could not be read from the cloud.", "error", err)
			}
			failing = true
			sleep.For(ctx, retryPause)
			continue
		}
		failing = false
		for _, notice := range page.Notices {
			n.Table.markLeaving(notice.Host, notice.FailureDomain, time.Now().Add(time.Duration(notice.InMillis)*time.Millisecond))
		}
		if page.Next < from {
			// The cloud counts from the start again.
			page.Next = 0
		}
		from = page.Next
	}
}

// followObjects reads and watches notices in the object API while this node acts for its failure domain.
func (n *Notices) followObjects(ctx context.Context) {
	after := int64(-1)
	for ctx.Err() == nil {
		if !n.Members.IsResponsibleFor(matterNotices) {
			after = -1
			sleep.For(ctx, checkPause)
			continue
		}
		next, err := n.readObjects(ctx, after)
		if err != nil {
			sleep.For(ctx, retryPause)
			continue
		}
		after = next
	}
}

// readObjects lists if after is negative, else watches, and returns the next position.
func (n *Notices) readObjects(ctx context.Context, after int64) (int64, error) {
	if after < 0 {
		listing, err := n.Store.List(ctx, noticePrefix)
		if err != nil {
			return after, err
		}
		for _, o := range listing.Objects {
			n.takeObject(ctx, o)
		}
		return listing.Revision, nil
	}
	changes, err := n.Store.Watch(ctx, noticePrefix, after)
	if err != nil {
		return after, err
	}
	if changes.Reset {
		return -1, nil
	}
	for _, event := range changes.Events {
		if !event.Deleted {
			n.takeObject(ctx, event.Object)
		}
	}
	return changes.Revision, nil
}

// takeObject takes a saved notice and deletes it when it is old.
func (n *Notices) takeObject(ctx context.Context, o objectapi.Object) {
	var value Notice
	if json.Unmarshal(o.Value, &value) == nil && time.Since(time.UnixMilli(value.AtUnixMillis)) > deleteAfter {
		_ = n.Store.Delete(ctx, o.Key, o.Version)
		return
	}
	n.take(strings.TrimPrefix(o.Key, noticePrefix), o.Value)
}

// save writes new notices to the object API, and tries again while it is down.
func (n *Notices) save(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-n.changed:
		case <-time.After(retryPause):
		}
		n.mu.Lock()
		pending := make(map[string]Notice, len(n.unsaved))
		for host, value := range n.unsaved {
			pending[host] = value
		}
		n.mu.Unlock()
		for host, value := range pending {
			_, err := n.Store.Put(ctx, noticePrefix+host, value, objectapi.Absent)
			if err != nil && !errors.Is(err, objectapi.ErrConflict) {
				break
			}
			n.mu.Lock()
			delete(n.unsaved, host)
			n.mu.Unlock()
		}
	}
}
