package relay

import (
	"bytes"
	"time"

	"chestnutrudder.example/rudder/backend"
	"chestnutrudder.example/rudder/boottime"
)

// maxBlockedShare is the share of a stream's time up to which the caller may have kept it waiting. Beyond it the time between
// events says nothing about the server.
const maxBlockedShare = 0.1

// eventPace measures how fast a server sends the events of a stream after those that it sent first.
type eventPace struct {
	firstAt, latestAt boottime.Instant // 0 before the first event
	laterEvents       int
	blocked           time.Duration // in writes to the caller
}

// observe counts events that were read at the given time.
func (p *eventPace) observe(events []byte, at boottime.Instant) {
	if p.firstAt == 0 {
		p.firstAt, p.latestAt = at, at
		return
	}
	p.latestAt = at
	p.laterEvents += bytes.Count(events, []byte("\n\n")) + bytes.Count(events, []byte("\r\n\r\n"))
}

// took returns the time from the first event to the latest.
func (p *eventPace) took() time.Duration { return p.latestAt.Sub(p.firstAt) }

// isOfServer reports whether the caller did not keep the stream waiting.
func (p *eventPace) isOfServer() bool { return float64(p.blocked) <= maxBlockedShare*float64(p.took()) }

// report records the measurement of a complete stream.
func (p *eventPace) report(placement *backend.Placement) {
	if p.isOfServer() {
		placement.RecordEvents(p.laterEvents, p.took())
	}
}
