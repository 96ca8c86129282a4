package membership

import "chestnutrudder.example/rudder/peer/peerpb"

// AnnounceEpoch tells all nodes of an epoch of the object API. One that sees the object API after it was restored from an older
// copy thereby tells those that do not call it at present.
func (r *Records) AnnounceEpoch(epoch int64) {
	r.Merge(&peerpb.Record{Key: RecordEpoch, Version: epoch, Value: []byte("{}")})
}

// WatchEpoch calls notify with each later epoch of the object API that this node learns of. notify must not block.
func (r *Records) WatchEpoch(notify func(epoch int64)) {
	r.Watch(RecordEpoch, func(record *peerpb.Record) { notify(record.Version) })
}

// Epoch returns the latest known epoch of the object API.
func (r *Records) Epoch() int64 {
	var epoch int64
	for _, record := range r.List(RecordEpoch) {
		epoch = max(epoch, record.Version)
	}
	return epoch
}
