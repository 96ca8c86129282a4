package backend

import (
	"log/slog"
	"testing"
	"time"
)

// A restored registry listed a server with a start before that of the incarnation that had been removed since, and the server
// got requests again.
func TestEarlierIncarnationOfDepartedServerIsNotAddedAgain(t *testing.T) {
	table := NewTable(time.Second, slog.New(slog.DiscardHandler))
	entry := func(start int64) Entry {
		return Entry{ID: "a", Service: "s", Address: "127.0.0.1:1", Slots: 1, StartUnixMillis: start}
	}
	table.Replace([]Entry{entry(1)})
	table.Put(entry(2))
	table.Remove("a")
	for _, c := range []struct {
		start       int64
		wantServing bool
	}{{1, false}, {2, false}, {3, true}} {
		_, departed := table.ReplaceAfterRestore([]Entry{entry(c.start)})
		_, refusal := table.Place(Request{Service: "s"}, 0)
		if isServing := refusal == nil; isServing != c.wantServing || (len(departed) == 0) != c.wantServing {
			t.Errorf("start %d after the removal of start 2: serving %t, departed %v, want serving %t", c.start, isServing, departed, c.wantServing)
		}
	}
}
