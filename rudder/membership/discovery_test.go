package membership

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"chestnutrudder.example/rudder/objectapi/objectapitest"
)

// TestNodeRegistersAgainAfterRestore guards against a node that new nodes cannot find because the object API, restored from an
// older copy, has lost its object. The node that watches the objects and those that do not must write it.
func TestNodeRegistersAgainAfterRestore(t *testing.T) {
	ranked := Rank(taskWatchNodes, []Node{{Name: "a", FailureDomain: "d"}, {Name: "b", FailureDomain: "d"}})
	for i, self := range ranked {
		store := objectapitest.NewMemoryStore()
		emptyCopy := store.Copy()
		e := &Exchanger{Table: NewTable(self), Records: NewRecords(), Store: store, Log: slog.New(slog.DiscardHandler)}
		e.initialise()
		e.Table.Merge(ranked[1-i])
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); e.syncNodeObjects(ctx) }()
		waitForObject := func(when string) {
			// The limit only ends a test that would hang.
			for started := time.Now(); ; time.Sleep(time.Millisecond) {
				if _, err := store.Get(ctx, nodeObjectPrefix+self.Name); err == nil {
					return
				}
				if time.Since(started) > 10*time.Second {
					t.Fatalf("node %s (rank %d) is not registered %s", self.Name, i, when)
				}
			}
		}
		waitForObject("at its start")
		store.Restore(emptyCopy)
		e.Records.AnnounceEpoch(1)
		waitForObject("after the restore")
		cancel()
		<-done
	}
}
