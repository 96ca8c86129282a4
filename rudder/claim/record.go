// Package claim makes non-idempotent calls take effect at most once. A claim on the caller's key is durable in the
// object API before the call is sent; how the call ended is recorded under the same key. Entry nodes use the Client,
// which talks to the Keeper of the node that owns the key's bucket.
//
// Each bucket is a chain of segments, each one object, named by number. Records are only ever appended, and only to the
// last segment, by conditional update. A full segment is sealed by the same write that fills it, and the next one is
// created with the condition that it does not exist. Any node may therefore write to any bucket: the conditional update
// decides, and ownership only saves conflicts.
package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// BucketCount is the number of buckets that claims are hashed to.
	BucketCount = 64
	// Retention is how long a claim is kept; the same key is a new call after that.
	Retention = 24 * time.Hour
	// MaxBodyBytes is the largest recorded answer; a longer one is recorded without its body.
	MaxBodyBytes = 8 << 10

	keyPrefix = "claims/"
	// segmentSealBytes bounds what one commit rewrites. With a batch of maxBatch records at MaxBodyBytes a segment stays
	// below the object API's limit of 1 MiB.
	segmentSealBytes   = 32 << 10
	maxBatchOperations = 64
)

// kind says what a record states about a key.
type kind string

const (
	kindClaimed  kind = "claimed"  // the claimant may send the call
	kindReleased kind = "released" // the claimant sent nothing and will not
	kindDone     kind = "done"     // the call was run and this is its answer
)

// record is one line of a bucket's log. The last record of a key is its state.
type record struct {
	Key         string `json:"key"` // hash of organisation and caller's key
	Kind        kind   `json:"kind"`
	Fingerprint string `json:"fingerprint"`
	Claimant    string `json:"claimant"`
	UnixSeconds int64  `json:"unix_seconds"`
	Status      int32  `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	BodyDropped bool   `json:"body_dropped,omitempty"` // the answer was longer than MaxBodyBytes
}

// segment is one object of a bucket.
type segment struct {
	Sealed  bool     `json:"sealed"`
	Records []record `json:"records"`
}

// hashKey names a caller's key within its organisation. The separator cannot occur in an organisation's name.
func hashKey(organisation, key string) string {
	sum := sha256.Sum256([]byte(organisation + "\x00" + key))
	return hex.EncodeToString(sum[:16])
}

// Bucket returns the bucket of a caller's key.
func Bucket(organisation, key string) int {
	return int(xxhash.Sum64String(hashKey(organisation, key)) % BucketCount)
}

func bucketPrefix(bucket int) string { return fmt.Sprintf("%s%04d/", keyPrefix, bucket) }

func segmentKey(bucket int, number int64) string {
	return fmt.Sprintf("%s%012d", bucketPrefix(bucket), number)
}
