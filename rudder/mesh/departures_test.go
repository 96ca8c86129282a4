package mesh

import (
	"log/slog"
	"testing"
	"time"

	"chestnutrudder.example/rudder/backend"
)

// Pattern: hundreds of nodes, one of which got a server's announcement that it leaves. Guards against an announcement that stays
// within the failure domain of that node.
func TestAnnouncedLeavingReachesAllFailureDomains(t *testing.T) {
	f := newTestFleet(4, 30)
	var tables []*backend.Table
	for _, m := range f.meshes {
		table := backend.NewTable(time.Second, slog.New(slog.DiscardHandler))
		table.Put(backend.Entry{ID: "s", Service: "model", Address: "127.0.0.1:1", Slots: 1, StartUnixMillis: 5})
		compose := m.ComposeDigest
		m.ComposeDigest = func() Digest {
			d := compose()
			d.Departures = table.Departures()
			return d
		}
		m.OnDigest = func(member *Member) { table.ApplyDepartures(member.Node, member.Departures) }
		tables = append(tables, table)
	}
	p, refusal := tables[0].Place(backend.Request{Service: "model"}, 0)
	if refusal != nil {
		t.Fatal(refusal.Reason)
	}
	p.RecordDeparture("r", []string{"1"})
	for range 2 {
		f.exchangeDigests()
		f.exchangeSummaries()
	}
	for i, table := range tables {
		if got := table.CountRunners("model")[""].Leaving; got != 1 {
			t.Fatalf("node %d does not know that the server leaves", i)
		}
	}
}
