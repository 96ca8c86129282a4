package relaynode

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/singleflight"

	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/mesh"
	"chestnutrudder.example/rudder/objectapi"
	"chestnutrudder.example/rudder/sleep"
	"chestnutrudder.example/rudder/streamorigin"
)

const (
	// streamRecordPrefix is the key prefix of the records in the object API from which nodes learn where streams began.
	streamRecordPrefix = "rudder-streams/"
	// streamRecordInterval is the pause between two records of a node, or two attempts to read them after the start. What
	// began since the last record is lost if all nodes end.
	streamRecordInterval = 500 * time.Millisecond
	// streamRecordMinReadInterval is the shortest time between two readings of the records, however many callers wait for
	// them.
	streamRecordMinReadInterval = 100 * time.Millisecond
	// streamRecordTimeout bounds one call to the object API.
	streamRecordTimeout = 2 * time.Second
)

// streamRecords keeps the record of the streams that this node began, and reads those of all nodes.
type streamRecords struct {
	node     *node
	log      *slog.Logger
	book     *streamorigin.Book
	readings singleflight.Group

	// version is that of this node's record, AbsentVersion if it has none, and recordedEpoch is the epoch that it names. Only run
	// uses them.
	version       objectapi.Version
	recordedEpoch int64

	mu     sync.Mutex
	readAt boottime.Instant // when the last successful reading began; 0 if there was none
}

// streamRecord is the value of a node's record in the object API.
type streamRecord struct {
	streamorigin.Record
	Store epochRecord `json:"store"`
}

func newStreamRecords(n *node) *streamRecords {
	r := &streamRecords{node: n, log: n.logger.Part("streams"), version: objectapi.AbsentVersion}
	r.book = streamorigin.New(r.log)
	r.book.Refresh, r.book.HasHeardPeersSince = r.refresh, r.hasHeardPeersSince
	return r
}

// run reads the records once and then keeps that of this node, until ctx ends.
func (r *streamRecords) run(ctx context.Context) {
	for ctx.Err() == nil {
		r.book.ObserveVersions(r.node.backends.SoftwareVersions())
		if r.isLoaded() {
			r.write(ctx)
		} else if err := r.refresh(ctx); err != nil && !errors.Is(err, errStoreUnsettled) {
			r.log.Warn("Reading the recorded beginnings of streams failed; trying again.", "error", err)
		}
		sleep.For(ctx, streamRecordInterval)
	}
}

func (r *streamRecords) isLoaded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readAt > 0
}

// hasHeardPeersSince reports whether most of the nodes have told since a moment that they know no later state of the registry
// than this node, and with it no other software version.
func (r *streamRecords) hasHeardPeersSince(t boottime.Instant) bool {
	n := r.node
	if !n.storeHistory.isSettled(n.mesh.MedianTime()) {
		return false
	}
	own := n.registry.currentRevision()
	heard, known, _ := n.mesh.CountDirectPeers(func(m *mesh.Member) bool {
		return m.HasReliableSentAt && m.SentAt >= t && m.Registry.Revision.Epoch == own.Epoch && m.Registry.Revision.Compare(own) <= 0
	})
	return known > 0 && isMajority(heard, known)
}

// errStoreUnsettled means that the object API was restored a moment ago: servers and nodes have not written everything again.
var errStoreUnsettled = errors.New("the object API was restored a moment ago")

// refresh reads the records of all nodes and the versions of the servers in the registry. Callers that wait at the same time
// share a reading, which begins after the call of each of them.
func (r *streamRecords) refresh(ctx context.Context) error {
	calledAt := boottime.Now()
	for {
		r.mu.Lock()
		readAt := r.readAt
		r.mu.Unlock()
		if readAt >= calledAt {
			break
		}
		sleep.For(ctx, streamRecordMinReadInterval-boottime.Since(readAt))
		done := r.readings.DoChan("", func() (any, error) { return nil, r.read() })
		select {
		case <-ctx.Done():
			return ctx.Err()
		case result := <-done:
			if result.Err != nil {
				return result.Err
			}
		}
	}
	if !r.node.storeHistory.isSettled(r.node.mesh.MedianTime()) {
		return errStoreUnsettled
	}
	return nil
}

// read reads the records of all nodes and the versions of the servers in the registry, and passes them to the book.
func (r *streamRecords) read() error {
	r.mu.Lock()
	isFirst, beganAt := r.readAt == 0, boottime.Now()
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), streamRecordTimeout)
	defer cancel()
	listing, err := r.node.platform.Store.List(ctx, streamRecordPrefix)
	if err != nil {
		return err
	}
	if !isFirst {
		if err := r.readServingVersions(ctx); err != nil {
			return err
		}
	}
	now := r.node.mesh.MedianTime()
	var epochs []epochRecord
	for _, o := range listing.Objects {
		var record streamRecord
		if err := o.Decode(&record); err != nil {
			r.log.Warn("Decoding a record of streams failed; it is left out.", "key", abbreviate(o.Key), "error", err)
			continue
		}
		epochs = append(epochs, record.Store)
		// A record is not renewed while nothing changes, so that an old one may tell of the time before the start of this
		// node. Later readings are for what has begun since.
		if isFirst || now.Sub(time.UnixMilli(record.WrittenUnixMillis)) < streamorigin.Retention {
			r.book.ApplyRecord(record.Record, isFirst && strings.TrimPrefix(o.Key, streamRecordPrefix) == r.node.settings.Node)
		}
	}
	r.node.storeHistory.load(listing.Revision.Epoch, epochs, r.node.settings.IsFirstStart)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readAt = beganAt
	if isFirst {
		r.book.SetLoaded()
		keptSince, _ := r.node.storeHistory.keptSince(now)
		r.log.Info("Read the recorded beginnings of streams.", "records", len(listing.Objects), "epoch", listing.Revision.Epoch, "store_kept_since", keptSince)
	}
	return nil
}

// readServingVersions passes the versions of the servers in the registry to the book.
func (r *streamRecords) readServingVersions(ctx context.Context) error {
	listing, err := r.node.platform.Store.List(ctx, r.node.platform.ServerPrefix)
	if err != nil {
		return err
	}
	versions := map[string][]string{}
	for _, o := range listing.Objects {
		// The watch of the registry tells of entries that cannot be decoded.
		if entry, err := r.node.platform.DecodeServer(o); err == nil {
			versions[entry.Service] = append(versions[entry.Service], entry.SoftwareVersion)
		}
	}
	r.book.ObserveVersions(versions)
	return nil
}

// write writes the record of this node if it says something new or the object API has lost it. Some nodes of each failure
// domain record the versions; what streams began is recorded by all. Writes are conditional: one that got no answer may take
// effect late, and must not replace a later one.
func (r *streamRecords) write(ctx context.Context) {
	n := r.node
	hasRecord := r.version != objectapi.AbsentVersion
	history := n.storeHistory.record(n.mesh.MedianTime())
	if hasRecord && r.recordedEpoch < history.Epoch {
		r.book.ForgetRecord()
	}
	taken, needsWrite, hasStreams := r.book.TakeRecord()
	if !needsWrite {
		return
	}
	if !hasStreams && !hasRecord && !needsRecord(n.settings.Node, n.settings.FailureDomain, n.mesh.ReachableMembers()) {
		r.book.ForgetRecord()
		return
	}
	record := streamRecord{Record: taken, Store: history}
	record.WrittenUnixMillis = n.mesh.MedianTime().UnixMilli()
	ctx, cancel := context.WithTimeout(ctx, streamRecordTimeout)
	defer cancel()
	key := streamRecordPrefix + n.settings.Node
	o, err := n.platform.Store.Put(ctx, key, record, r.version)
	if errors.Is(err, objectapi.ErrConflict) {
		// An earlier process has left a record, a write without an answer took effect, or the object API was restored.
		if o, err = n.platform.Store.Get(ctx, key); err == nil || errors.Is(err, objectapi.ErrNotFound) {
			r.version = objectapi.AbsentVersion
			if err == nil {
				r.version = o.Version
			}
			o, err = n.platform.Store.Put(ctx, key, record, r.version)
		}
	}
	if err != nil {
		r.log.Warn("Recording the beginnings of streams failed; trying again.", "key", key, "error", err)
		r.book.ForgetRecord()
		return
	}
	r.version, r.recordedEpoch = o.Version, history.Epoch
}
