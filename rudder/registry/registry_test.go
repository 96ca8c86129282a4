package registry

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"

	"chestnutrudder.example/rudder/membership"
	"chestnutrudder.example/rudder/peer"
	"chestnutrudder.example/rudder/peer/peerpb"
	"chestnutrudder.example/rudder/peer/peerpb/peerpbconnect"
)

func place(organisation, run, key string, sequence int64) *peerpb.RunPlace {
	return &peerpb.RunPlace{Organisation: organisation, Run: run, Key: key, Sequence: sequence}
}

// TestTableRegister guards against a second run under an idempotency key, an older place that replaces a newer one, and
// a run that another organisation can find.
func TestTableRegister(t *testing.T) {
	table := NewTable()
	lookup := func(organisation, key, run string) int64 {
		return table.Lookup(&peerpb.LookupRequest{Organisation: organisation, Key: key, Run: run}).Place.GetSequence()
	}
	table.Register(&peerpb.RegisterRequest{Place: place("a", "r1", "k", 3), IfAbsent: true})
	if existing := table.Register(&peerpb.RegisterRequest{Place: place("a", "r2", "k", 1), IfAbsent: true}).Existing; existing.GetRun() != "r1" {
		t.Errorf("second registration of a key returned run %q, expected r1", existing.GetRun())
	}
	if existing := table.Register(&peerpb.RegisterRequest{Place: place("b", "r3", "k", 9), IfAbsent: true}).Existing; existing != nil {
		t.Errorf("another organisation found run %q under its own key", existing.Run)
	}
	table.Register(&peerpb.RegisterRequest{Place: place("a", "r1", "k", 2)})
	if got := lookup("a", "k", ""); got != 3 {
		t.Errorf("sequence %d after a registration with an older sequence, expected 3", got)
	}
	if got := lookup("b", "", "r1"); got != 0 {
		t.Errorf("another organisation found the run at sequence %d", got)
	}
	table.Register(&peerpb.RegisterRequest{Place: place("a", "r1", "k", 3), Release: true})
	if got := lookup("a", "k", ""); got != 0 {
		t.Errorf("released key found at sequence %d", got)
	}
}

// TestTableBounds guards against a table that grows without bound, and against a place that stays after its node has
// stopped registering it.
func TestTableBounds(t *testing.T) {
	table := NewTable()
	now := time.Now()
	table.now = func() time.Time { return now }
	for i := range maxPlaces + 1 {
		table.Register(&peerpb.RegisterRequest{Place: place("a", fmt.Sprint(i), fmt.Sprint("k", i), 1)})
	}
	if len(table.byRun) != maxPlaces || len(table.byKey) != maxPlaces || table.order.Len() != maxPlaces {
		t.Errorf("table holds %d runs, %d keys and %d entries, expected %d of each", len(table.byRun), len(table.byKey), table.order.Len(), maxPlaces)
	}
	now = now.Add(unfinishedTTL + time.Second)
	if found := table.Lookup(&peerpb.LookupRequest{Organisation: "a", Run: "9"}).Place; found != nil || len(table.byRun) != 0 {
		t.Errorf("expired place found, %d runs left", len(table.byRun))
	}
}

// TestReplicaNodesAreInTwoFailureDomains guards against the loss of a place together with one failure domain.
func TestReplicaNodesAreInTwoFailureDomains(t *testing.T) {
	var nodes []membership.Node
	for i := range 9 {
		nodes = append(nodes, membership.Node{Name: fmt.Sprint("n", i), FailureDomain: fmt.Sprint("d", i/3)})
	}
	for i := range 1000 {
		replicas := ReplicaNodes(fmt.Sprint("key", i), nodes)
		if len(replicas) != 2 || replicas[0].FailureDomain == replicas[1].FailureDomain {
			t.Fatalf("place for key %d is stored by %v, expected two failure domains", i, replicas)
		}
	}
}

// inProcessPeer calls the table of a node without a network; a dead node returns an error.
type inProcessPeer struct {
	peerpbconnect.PeerServiceClient
	table  *Table
	isDead *bool
}

func (p inProcessPeer) Register(_ context.Context, r *connect.Request[peerpb.RegisterRequest]) (*connect.Response[peerpb.RegisterResponse], error) {
	if *p.isDead {
		return nil, connect.NewError(connect.CodeUnavailable, peer.ErrNotSent)
	}
	return connect.NewResponse(p.table.Register(r.Msg)), nil
}

func (p inProcessPeer) Lookup(_ context.Context, r *connect.Request[peerpb.LookupRequest]) (*connect.Response[peerpb.LookupResponse], error) {
	if *p.isDead {
		return nil, connect.NewError(connect.CodeUnavailable, peer.ErrNotSent)
	}
	return connect.NewResponse(p.table.Lookup(r.Msg)), nil
}

// TestRunIsFoundAfterRegistryNodesDie guards against a run that cannot be found any more after its registry nodes have
// died one after the other.
func TestRunIsFoundAfterRegistryNodesDie(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members := membership.NewTable(membership.Node{Name: "n0", FailureDomain: "d", PeerAddress: "n0"})
		tables, isDead := map[string]*Table{"n0": NewTable()}, map[string]*bool{}
		for i := 1; i < 6; i++ {
			name := fmt.Sprint("n", i)
			members.Merge(membership.Node{Name: name, FailureDomain: "d", PeerAddress: name, Incarnation: 1})
			tables[name], isDead[name] = NewTable(), new(bool)
		}
		client := &Client{Members: members, LocalTable: tables["n0"], Dial: func(address string) peerpbconnect.PeerServiceClient {
			return inProcessPeer{table: tables[address], isDead: isDead[address]}
		}}
		ctx, cancel := context.WithCancel(t.Context())
		registered := place("a", "r1", "k", 1)
		go client.Renew(ctx, func() []*peerpb.RunPlace { return []*peerpb.RunPlace{registered} })
		if existing := client.Claim(ctx, registered); existing != nil {
			t.Fatalf("first claim found run %q", existing.Run)
		}
		for range 5 {
			replicas := client.replicaNodesOf(registered, members.Live())
			if existing := client.Claim(ctx, place("a", "r2", "k", 1)); existing.GetRun() != "r1" {
				t.Fatalf("claim with %d live nodes returned run %q, expected r1", len(members.Live()), existing.GetRun())
			}
			if found := client.Find(ctx, "a", "", "r1"); found == nil {
				t.Fatalf("run not found with %d live nodes", len(members.Live()))
			}
			for _, n := range replicas {
				if n.Name != "n0" {
					*isDead[n.Name] = true
					members.Merge(membership.Node{Name: n.Name, FailureDomain: "d", Incarnation: 1, State: membership.StateDead})
				}
			}
			time.Sleep(2 * membershipCheckInterval)
		}
		cancel()
	})
}
