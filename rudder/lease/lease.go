// Package lease grants one node at a time the right to run a control loop. The leases and their fencing tokens are
// stored in the object API. The control loops (revision, capacity, rollout) and the duties of relay nodes run under a
// Manager.
//
// Clocks of different nodes are never compared. A holder relies only on its own clock, which also runs while the host
// is suspended: its lease ends one lease duration, less a margin, after it sent the last write that took effect. A
// successor relies only on its own observations: it writes after the record has been unchanged for the lease duration
// plus the longest time of a command.
//
// An object API that was restored from an older copy has lost acquisitions, releases and fencing tokens. A record of an
// earlier epoch therefore counts as held, whatever it says, until it has been unchanged for long enough, and the fencing
// tokens of an epoch are higher than all of earlier epochs.
package lease

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/objectapi"
)

// Prefix is the key prefix of the leases in the object API.
const Prefix = "leases/"

// ErrLost means that the holder may no longer act: its lease has expired or another node holds it.
var ErrLost = errors.New("lease is lost")

// Clock is the monotonic clock of this process.
type Clock interface {
	Now() time.Time
}

// SystemClock reads the clock of the host that also runs during a suspension: a holder that was suspended must find
// that its lease has expired.
type SystemClock = boottime.Clock

// Timing holds the durations of a lease.
type Timing struct {
	Duration time.Duration // how long a lease lasts without renewal
	Margin   time.Duration // how much earlier the holder stops, to cover the time between its check and its command
	// MaxCommandDuration is the longest time that a command may take to arrive after the holder's check.
	MaxCommandDuration time.Duration
}

// DefaultTiming lets a successor take over within about 12 s: it waits for 8 s + 2 s after it observed the last
// renewal.
var DefaultTiming = Timing{Duration: 8 * time.Second, Margin: time.Second, MaxCommandDuration: 2 * time.Second}

// record is the value of a lease in the object API.
type record struct {
	Holder                 string `json:"holder"`          // process that holds the lease, unique for each start
	FencingToken           int64  `json:"fence"`           // increases with each acquisition
	Epoch                  int64  `json:"epoch,omitempty"` // of the object API when the record was written
	Renewal                int64  `json:"renewal"`         // number of renewals since the acquisition
	DurationMilliseconds   int64  `json:"duration_ms"`
	MaxCommandMilliseconds int64  `json:"longest_command_ms"`
	Released               bool   `json:"released"`
}

// nextFencingToken returns the token of an acquisition that replaces the record with a version, in an epoch of the object API.
// After a restore a late write of a former holder may have replaced a record with a higher token. The version then is higher
// than that of the acquisition with that token, so that counting it keeps tokens unique.
func (r record) nextFencingToken(version objectapi.Version, epoch int64) int64 {
	if epoch == 0 {
		return r.FencingToken + 1
	}
	return max(r.FencingToken, objectapi.Version{Epoch: epoch, Number: version.Number}.Ordinal()) + 1
}

// takeoverDelay returns how long the record must be unchanged before another process may acquire the lease.
func (r record) takeoverDelay() time.Duration {
	return time.Duration(r.DurationMilliseconds+r.MaxCommandMilliseconds) * time.Millisecond
}

func decodeRecord(o objectapi.Object) (record, error) {
	var r record
	return r, errors.Wrapf(json.Unmarshal(o.Value, &r), "decode lease %q", o.Key)
}

// Lease is the right of a process to act as the holder until the lease expires or is lost. Its methods are safe for
// concurrent use.
type Lease struct {
	Name         string
	FencingToken int64 // to be sent with every command

	clock    Clock
	mu       sync.Mutex
	deadline time.Time
	isLost   bool
}

// Check returns an error that wraps ErrLost unless the holder may act now. It must be called immediately before each
// command.
func (l *Lease) Check() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isLost || !l.clock.Now().Before(l.deadline) {
		l.isLost = true
		return errors.Wrapf(ErrLost, "lease %q with fencing token %d", l.Name, l.FencingToken)
	}
	return nil
}

// remaining returns how long the lease lasts without renewal.
func (l *Lease) remaining() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.deadline.Sub(l.clock.Now())
}

// extend moves the deadline to a later time. A lease that has once been found lost stays lost.
func (l *Lease) extend(deadline time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if deadline.After(l.deadline) {
		l.deadline = deadline
	}
}

func (l *Lease) markLost() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isLost = true
}
