// Package claim makes non-idempotent calls take effect at most once. A claim on the caller's idempotency key is durable in
// the object API before the call is sent; the outcome of the call is recorded under the same key. Entry nodes use Client,
// which calls the Coordinator of the node that owns the key's bucket.
//
// Each bucket is a log of numbered segments, each stored as one object. Records are only appended, and only to the last
// segment, by conditional update. A full segment is sealed by the write that fills it, and the next one is created on
// condition that it does not exist. Any node may therefore write to any bucket: the conditional update decides which write
// takes effect, and ownership only avoids conflicts.
package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// BucketCount is the number of buckets over which keys are distributed by hash.
	BucketCount = 64
	// Retention is how long a claim is kept at least. After its deletion the same key stands for a new call.
	Retention = 24 * time.Hour
	// MaxBodyBytes is the size of the largest response body that is recorded; a longer one is left out of the record.
	MaxBodyBytes = 8 << 10

	keyPrefix = "claims/"
	// segmentSealBytes is the size from which a segment is sealed; it bounds how much one commit rewrites. After a batch of
	// maxBatchOperations records at MaxBodyBytes a segment is still below the object API's limit of 1 MiB.
	segmentSealBytes   = 32 << 10
	maxBatchOperations = 64
)

// kind is the state of a key after a record.
type kind string

const (
	kindClaimed  kind = "claimed"  // the claimant may send the call
	kindReleased kind = "released" // the claimant has not sent the call and never will
	kindDone     kind = "done"     // the call was run; the record has its response

	// Kinds of operations that no record has.
	kindUnknown kind = "unknown" // the call was sent; its outcome is not known
	kindNone    kind = ""        // only reads the log if it has to be read
)

// record is one entry of a bucket's log. The last record of a key is the state of the key.
type record struct {
	Key         string `json:"key"` // hash of organisation and idempotency key, see hashKey
	Kind        kind   `json:"kind"`
	Fingerprint string `json:"fingerprint"` // hash of the call's content; empty if it is not known
	Claimant    string `json:"claimant"`    // identity of the call that holds the claim
	UnixSeconds int64  `json:"unix_seconds"`
	Status      int32  `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	BodyDropped bool   `json:"body_dropped,omitempty"` // the body was longer than MaxBodyBytes
}

// segment is the value of one object, a part of a bucket's log. Nothing is appended to a sealed segment.
type segment struct {
	Sealed  bool     `json:"sealed"`
	Records []record `json:"records"`
}

// hashKey returns the stored form of an idempotency key of an organisation. The separator cannot occur in an organisation's
// name.
func hashKey(organisation, key string) string {
	sum := sha256.Sum256([]byte(organisation + "\x00" + key))
	return hex.EncodeToString(sum[:16])
}

// Bucket returns the number of the bucket that holds an idempotency key of an organisation.
func Bucket(organisation, key string) int {
	return int(xxhash.Sum64String(hashKey(organisation, key)) % BucketCount)
}

func bucketPrefix(bucket int) string { return fmt.Sprintf("%s%04d/", keyPrefix, bucket) }

func segmentKey(bucket int, number int64) string {
	return fmt.Sprintf("%s%012d", bucketPrefix(bucket), number)
}
