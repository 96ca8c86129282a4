package dispatch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"chestnutrudder.example/rudder/engine"
)

// refusedNotice is the time left that is assumed for a host that refuses runs because it leaves.
const refusedNotice = 5 * time.Second

// observe polls the load of a backend server and tells the fleet table whether it answers and whether it leaves.
func (d *Dispatcher) observe(ctx context.Context, b *Backend) {
	err := d.poll(ctx, b)
	d.mu.Lock()
	b.polling = false
	load := b.load
	d.mu.Unlock()
	if err != nil {
		if ctx.Err() == nil {
			d.Fleet.ReportAnswer(b.Host.Name, false)
			d.noteRefusal(b, err)
		}
		return
	}
	d.Fleet.ReportAnswer(b.Host.Name, true)
	if load.Leaving {
		d.Fleet.MarkLeaving(b.Host.Name, time.Now().Add(time.Duration(load.LeavingInMillis)*time.Millisecond))
	}
}

// noteRefusal takes the refusal of a leaving backend server as a notice.
func (d *Dispatcher) noteRefusal(b *Backend, err error) {
	if errors.Is(err, engine.ErrLeaving) {
		d.Fleet.MarkLeaving(b.Host.Name, time.Now().Add(refusedNotice))
	}
}

// isClosed reports whether a backend server gets no new work: it leaves or does not answer.
func (d *Dispatcher) isClosed(host string) bool {
	_, leaving := d.Fleet.LeavingAt(host)
	return leaving || d.Fleet.Silent(host)
}
