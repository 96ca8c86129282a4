package backend

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"chestnutrudder.example/rudder/boottime"
)

// useTestClock makes the table read the clock of package time, which a synctest bubble controls.
func (t *Table) useTestClock() {
	t.now = func() boottime.Instant { return boottime.Instant(time.Now().UnixNano()) }
}

// announceLeaving answers a request with the announcement of its server that it leaves, and returns the server's id.
func announceLeaving(t *testing.T, table *Table) string {
	t.Helper()
	p, refusal := table.Place(Request{Service: "m"}, 0)
	if refusal != nil {
		t.Fatal(refusal.Reason)
	}
	if !p.RecordDeparture("r1", []string{"1"}) || p.RecordDeparture("r2", []string{"1"}) {
		t.Error("the first announcement must be new, the second must not")
	}
	p.Release(ResultCompleted)
	return p.ID
}

func (t *Table) isServing(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, found := t.servers[id]
	return found && s.isServing()
}

// Guards against an announcement that is lost while the process of the server lives, or that outlives it: it must hold through
// later entries, the loss and return of the entry, and a change of the address, but not for another start of the server.
func TestAnnouncedLeavingBelongsToProcessOfServer(t *testing.T) {
	entry := Entry{ID: "a", Service: "m", Address: "127.0.0.1:9", Slots: 4, StartUnixMillis: 5}
	moved, restarted, restartedWithEarlierClock := entry, entry, entry
	moved.Address = "127.0.0.1:8"
	restarted.StartUnixMillis = 6
	restartedWithEarlierClock.StartUnixMillis = 4
	for name, test := range map[string]struct {
		change func(*Table)
		serves bool
	}{
		"later entry":                {func(table *Table) { table.Put(entry) }, false},
		"listing":                    {func(table *Table) { table.Replace([]Entry{entry}) }, false},
		"entry that comes back":      {func(table *Table) { table.Remove("a"); table.Maintain(0); table.Put(entry) }, false},
		"another address":            {func(table *Table) { table.Put(moved) }, false},
		"restart":                    {func(table *Table) { table.Put(restarted) }, true},
		"restart, clock was stepped": {func(table *Table) { table.Remove("a"); table.Put(restartedWithEarlierClock) }, true},
		"another server at the address": {func(table *Table) {
			table.Put(Entry{ID: "b", Service: "m", Address: entry.Address, Slots: 4, StartUnixMillis: 5})
		}, true},
	} {
		table := newTestTable(0, 0)
		table.Put(entry)
		announceLeaving(t, table)
		test.change(table)
		if serves := table.isServing("a") || table.isServing("b"); serves != test.serves {
			t.Errorf("%s: server serves: %t, want %t", name, serves, test.serves)
		}
	}
}

// Guards against an answer that is lost on the way to the process of its server, because the server's address changed while the
// request was there.
func TestAnswerAfterChangeOfAddressCounts(t *testing.T) {
	entry := Entry{ID: "a", Service: "m", Address: "127.0.0.1:9", Slots: 4, StartUnixMillis: 5}
	place := func() (*Table, *Placement) {
		table := newTestTable(0, 0)
		table.Put(entry)
		p, refusal := table.Place(Request{Service: "m"}, 0)
		if refusal != nil {
			t.Fatal(refusal.Reason)
		}
		moved := entry
		moved.Address = "127.0.0.1:8"
		table.Put(moved)
		return table, p
	}
	table, p := place()
	if p.RecordDeparture("r", []string{"1"}); table.isServing("a") {
		t.Error("the server serves after it has announced that it leaves")
	}
	table, p = place()
	p.RecordPause("r", []string{"5"})
	if _, refusal := table.Place(Request{Service: "m"}, 0); refusal == nil || p.SendProblem() == "" {
		t.Error("the server gets requests in its pause")
	}
}

// Guards against nodes that do not stop together, and against announcements that are passed on among nodes without end.
func TestPeersLearnOfAnnouncedLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := newTestTable(3, 8), newTestTable(3, 8)
		a.useTestClock()
		b.useTestClock()
		id := announceLeaving(t, a)
		urgent := a.UrgentDepartures()
		if len(urgent) != 1 || a.UrgentDepartures() != nil {
			t.Fatalf("urgent reports %+v, want one server, once", urgent)
		}
		b.ApplyDepartures("a", urgent)
		if b.isServing(id) || b.UrgentDepartures() != nil {
			t.Error("the peer still uses the server, or reports it as urgent")
		}
		restarted := newTestTable(0, 8)
		restarted.Put(Entry{ID: id, Service: "m", Address: "127.0.0.1:9", Slots: 8, StartUnixMillis: 5})
		restarted.ApplyDepartures("a", urgent)
		restarted.ApplyDepartures("a", []DepartureReport{{Server: urgent[0].Server, AgeMillis: -1}})
		if !restarted.isServing(id) {
			t.Error("a report of an earlier start of the server took it out of use")
		}
		for begin := time.Now(); time.Since(begin) < 2*departureReportTime; time.Sleep(time.Second) {
			a.ApplyDepartures("b", b.Departures())
			b.ApplyDepartures("a", a.Departures())
		}
		if len(a.Departures())+len(b.Departures()) > 0 || a.isServing(id) || b.isServing(id) {
			t.Error("the server is still reported, or used again, after its announcement is old")
		}
	})
}

// Guards against memory that grows with each server that has ever left.
func TestMemoryOfLeftServersIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTestTable(0, 0)
		table.useTestClock()
		for i := range 2 * maxUnlistedServers {
			table.Put(Entry{ID: fmt.Sprint("x", i), Service: "m", Address: "127.0.0.1:9", Slots: 4})
			id := announceLeaving(t, table)
			time.Sleep(time.Millisecond)
			table.Remove(id)
		}
		table.Maintain(0)
		if got := len(table.servers); got != maxUnlistedServers || table.servers[fmt.Sprint("x", 2*maxUnlistedServers-1)] == nil {
			t.Errorf("%d servers are remembered, want the latest %d", got, maxUnlistedServers)
		}
		if got := len(table.Departures()); got != maxDepartureReports {
			t.Errorf("%d servers are reported, want %d", got, maxDepartureReports)
		}
		time.Sleep(departureRetention)
		if table.Maintain(0); len(table.servers) > 0 {
			t.Errorf("%d servers are remembered after %s, want none", len(table.servers), departureRetention)
		}
	})
}
