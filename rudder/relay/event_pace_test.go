package relay

import (
	"testing"
	"time"

	"chestnutrudder.example/rudder/boottime"
)

// Guards against servers that count as slow because they sent several events at once, or because a caller read slowly.
func TestEventPaceMeasuresServerOnly(t *testing.T) {
	at := func(millis int) boottime.Instant { return boottime.Instant(time.Duration(millis) * time.Millisecond) }
	var p eventPace
	p.observe([]byte("id: 1\n\nid: 2\n\n"), at(100))
	p.observe([]byte("id: 3\r\n\r\n"), at(110))
	p.observe([]byte("id: 4\n\nid: 5\n\n"), at(130))
	if p.laterEvents != 3 || p.took() != 30*time.Millisecond || !p.isOfServer() {
		t.Errorf("%d events in %s, of the server %t, want 3 in 30ms of the server", p.laterEvents, p.took(), p.isOfServer())
	}
	p.blocked = 10 * time.Millisecond
	if p.isOfServer() {
		t.Error("a stream that waited for its caller for a third of its time counts as a measurement of the server")
	}
}
