// Package lease gives one node at a time the right to run a control loop, with fencing tokens kept in the object API.
// The control loops (revision, capacity, rollout) run under a Manager.
//
// A holder trusts only its own clock, which suspensions don't stop: its right ends one lease duration, less a margin, after it sent the last
// write that took effect. A successor trusts only what it has seen itself: it writes after the record has stood
// unchanged for the whole duration plus the longest command. Clocks of two nodes are never compared.
package lease

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/boottime"
	"chestnutrudder.example/rudder/objectapi"
)

// Prefix is the prefix of the leases in the object API.
const Prefix = "leases/"

// ErrLost means that the holder may no longer act: its time is over or another node holds the lease.
var ErrLost = errors.New("lease is lost")

// Clock is the monotonic clock of this process.
type Clock interface {
	Now() time.Time
}

// SystemClock reads the clock of the machine that goes on during a suspension: a holder that was suspended must find
// that its right has ended.
type SystemClock = boottime.Clock

// Timing is the timing of a lease.
type Timing struct {
	Duration time.Duration // how long a record stands without renewal
	Margin   time.Duration // how much earlier the holder stops, for the time between its check and its command
	// MaxCommandDuration is the longest time that a command may be on its way after the holder's check.
	MaxCommandDuration time.Duration
}

// DefaultTiming takes over within about 12 s: the successor waits for 8 s + 2 s after it saw the last renewal.
var DefaultTiming = Timing{Duration: 8 * time.Second, Margin: time.Second, MaxCommandDuration: 2 * time.Second}

// record is the value of a lease in the object API.
type record struct {
	Holder                 string `json:"holder"` // process that holds it, unique for each start
	FencingToken           int64  `json:"fence"`  // count of acquisitions
	Renewal                int64  `json:"renewal"`
	DurationMilliseconds   int64  `json:"duration_ms"`
	MaxCommandMilliseconds int64  `json:"longest_command_ms"`
	Released               bool   `json:"released"`
}

func (r record) takeoverDelay() time.Duration {
	return time.Duration(r.DurationMilliseconds+r.MaxCommandMilliseconds) * time.Millisecond
}

func decodeRecord(o objectapi.Object) (record, error) {
	var r record
	return r, errors.Wrapf(json.Unmarshal(o.Value, &r), "decode lease %q", o.Key)
}

// Lease is the right of its holder while it lasts.
type Lease struct {
	Name         string
	FencingToken int64 // fencing token, to be sent with every command

	clock    Clock
	mu       sync.Mutex
	deadline time.Time
	isLost   bool
}

// Check returns ErrLost unless the holder may act now. It is called immediately before each command.
func (l *Lease) Check() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isLost || !l.clock.Now().Before(l.deadline) {
		l.isLost = true
		return errors.Wrapf(ErrLost, "lease %q with fencing token %d", l.Name, l.FencingToken)
	}
	return nil
}

// remaining returns how long the right still lasts without renewal.
func (l *Lease) remaining() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.deadline.Sub(l.clock.Now())
}

// extend moves the deadline. A lease that was once found lost stays lost.
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
