package backend

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// network stands in for the network between a node and the servers of the service "s", at the addresses s0, s1 and so on.
type network struct {
	mu      sync.Mutex
	errs    map[string]error // of connection attempts, by address; errSilent means that nobody answers
	dials   int
	changes []bool
}

var errSilent = errors.New("silent")

func (n *network) dial(ctx context.Context, address string) error {
	n.mu.Lock()
	n.dials++
	err := n.errs[address]
	n.mu.Unlock()
	if errors.Is(err, errSilent) {
		<-ctx.Done()
		return ctx.Err()
	}
	return err
}

func (n *network) set(address string, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.errs[address] = err
}

func (n *network) setAll(servers int, err error) {
	for i := range servers {
		n.set(fmt.Sprint("s", i), err)
	}
}

func (n *network) dialCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dials
}

// newPaths returns running Paths to a service with the given number of servers in three failure domains.
func newPaths(t *testing.T, servers int) (*Paths, *network) {
	t.Helper()
	table := NewTable(time.Second, slog.New(slog.DiscardHandler))
	for i := range servers {
		table.Put(Entry{ID: fmt.Sprint("id", i), Service: "s", Address: fmt.Sprint("s", i), FailureDomain: fmt.Sprint("fd", i%3), Slots: 8})
	}
	n := &network{errs: map[string]error{}}
	p := &Paths{Table: table, Log: slog.New(slog.DiscardHandler), Dial: n.dial, OnChange: func(c PathChange) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.changes = append(n.changes, c.IsLost)
	}}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go p.Run(ctx)
	return p, n
}

// await waits until the path is lost or not, and returns how long that took.
func await(t *testing.T, p *Paths, isLost bool, within time.Duration) time.Duration {
	t.Helper()
	beganAt := time.Now()
	for p.IsLost("s") != isLost {
		if time.Since(beganAt) > within {
			t.Fatalf("IsLost is %v after %v, want %v", !isLost, within, isLost)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(beganAt)
}

// stays fails if the path becomes lost in the given time.
func stays(t *testing.T, p *Paths, d time.Duration) {
	t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if p.IsLost("s") {
			t.Fatal("path is lost, want it to be there")
		}
	}
}

func TestPathIsLostWhenServersRefuse(t *testing.T) {
	p, n := newPaths(t, 12)
	n.setAll(12, syscall.ECONNREFUSED)
	p.RecordBytes("s") // on an older connection
	p.SuspectConnect("s", syscall.ECONNREFUSED)
	await(t, p, true, time.Second)
	if lost := p.Lost(); len(lost) != 1 || lost[0] != "s" {
		t.Errorf("lost services are %q, want s", lost)
	}
	if n.dialCount() > probedServers {
		t.Errorf("%d connection attempts, want at most %d", n.dialCount(), probedServers)
	}
}

func TestPathIsLostWhenServersAreSilent(t *testing.T) {
	p, n := newPaths(t, 12)
	n.setAll(12, errSilent)
	end := p.BeginWait("s")
	defer end()
	await(t, p, true, 2*time.Second)
}

func TestPathIsLostWhenConnectionsBreak(t *testing.T) {
	p, n := newPaths(t, 1)
	n.setAll(1, syscall.ECONNRESET)
	p.SuspectBreak("s", syscall.ECONNRESET)
	await(t, p, true, time.Second)
}

func TestPathStaysWithoutSuspicion(t *testing.T) {
	p, n := newPaths(t, 4)
	n.setAll(4, syscall.ECONNREFUSED)
	end := p.BeginWait("s")
	end()
	stays(t, p, 2*silenceBeforeProbe)
	if n.dialCount() > 0 {
		t.Errorf("%d connection attempts of an idle node, want 0", n.dialCount())
	}
}

func TestPathStaysWhenSomeServersAccept(t *testing.T) {
	for _, err := range []error{syscall.ECONNREFUSED, errSilent} {
		for servers, accepting := range map[int]int{1: 1, 2: 1, 3: 1, 8: 3, 4: 2} {
			t.Run(fmt.Sprint(err, accepting, " of ", servers), func(t *testing.T) {
				p, n := newPaths(t, servers)
				n.setAll(servers, err)
				for i := range accepting {
					n.set(fmt.Sprint("s", i), nil)
				}
				p.SuspectConnect("s", err)
				stays(t, p, 2*probeTimeout)
			})
		}
	}
}

// A node that reaches a few servers only would send all its requests to these.
func TestPathIsLostWhenFewServersAccept(t *testing.T) {
	for _, err := range []error{syscall.ECONNREFUSED, errSilent} {
		for servers, accepting := range map[int]int{8: 2, 4: 1} {
			t.Run(fmt.Sprint(err, accepting, " of ", servers), func(t *testing.T) {
				p, n := newPaths(t, servers)
				n.setAll(servers, err)
				for i := range accepting {
					n.set(fmt.Sprint("s", i), nil)
				}
				for end := time.Now().Add(2 * time.Second); !p.IsLost("s"); time.Sleep(5 * time.Millisecond) {
					p.SuspectConnect("s", err) // again if the first attempts were all accepted
					if time.Now().After(end) {
						t.Fatal("path is there, want it to be lost")
					}
				}
				n.setAll(servers, nil)
				await(t, p, false, 2*time.Second)
			})
		}
	}
}

func TestEvidenceSparesProbes(t *testing.T) {
	p, n := newPaths(t, 8)
	p.RecordConnection("s")
	p.SuspectConnect("s", syscall.ECONNREFUSED)
	p.RecordBytes("s")
	p.SuspectBreak("s", syscall.ECONNRESET)
	time.Sleep(50 * time.Millisecond)
	if n.dialCount() > 0 {
		t.Errorf("%d connection attempts just after a server accepted one, want 0", n.dialCount())
	}
}

func TestSuspicionsOfSoundServiceProbeFew(t *testing.T) {
	p, n := newPaths(t, 8)
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		p.SuspectConnect("s", syscall.ECONNRESET)
	}
	if most := firstProbes * (1 + int(time.Second/roundInterval)); n.dialCount() > most {
		t.Errorf("%d connection attempts in a second, want at most %d", n.dialCount(), most)
	}
}

func TestPathComesBack(t *testing.T) {
	for _, err := range []error{syscall.ECONNREFUSED, errSilent} {
		t.Run(err.Error(), func(t *testing.T) {
			p, n := newPaths(t, 8)
			n.setAll(8, err)
			p.SuspectConnect("s", err)
			await(t, p, true, time.Second)
			before := n.dialCount()
			time.Sleep(time.Second)
			if probes := n.dialCount() - before; probes == 0 || probes > lostProbes*int(time.Second/lostProbeInterval) {
				t.Errorf("%d connection attempts in a second without a path, want 1 to %d", probes, lostProbes*int(time.Second/lostProbeInterval))
			}
			n.setAll(8, nil)
			await(t, p, false, 2*time.Second)
			time.Sleep(10 * time.Millisecond)
			n.mu.Lock()
			defer n.mu.Unlock()
			if len(n.changes) != 2 || !n.changes[0] || n.changes[1] {
				t.Errorf("changes are %v, want lost, then not", n.changes)
			}
		})
	}
}

func TestServiceWithoutServersIsNotLost(t *testing.T) {
	p, _ := newPaths(t, 0)
	p.SuspectConnect("s", syscall.ECONNREFUSED)
	stays(t, p, 200*time.Millisecond)
}

func TestPathIsBackWhenServersHaveLeft(t *testing.T) {
	p, n := newPaths(t, 2)
	n.setAll(2, syscall.ECONNREFUSED)
	p.SuspectConnect("s", syscall.ECONNREFUSED)
	await(t, p, true, time.Second)
	p.Table.Replace(nil)
	await(t, p, false, time.Second)
}

func TestProbeTargetsSpreadOverFailureDomains(t *testing.T) {
	table := NewTable(time.Second, slog.New(slog.DiscardHandler))
	for i := range 30 {
		domain := "large"
		if i < 2 {
			domain = fmt.Sprint("small", i)
		}
		table.Put(Entry{ID: fmt.Sprint(i), Service: "s", Address: fmt.Sprint("s", i), FailureDomain: domain, Slots: 1})
	}
	found := map[string]bool{}
	for _, address := range table.probeTargets("s", probedServers) {
		found[address] = true
	}
	if !found["s0"] || !found["s1"] || len(found) != probedServers {
		t.Errorf("targets are %v, want %d with those of the small failure domains", found, probedServers)
	}
}
