package resource

import (
	"bytes"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fixture is an account with one port whose closed connections are recorded.
type fixture struct {
	account *Account
	port    *Port
	closed  map[*Charge]bool
}

func newFixture(bytes int64, connections int, logs io.Writer) *fixture {
	f := &fixture{account: NewAccount(bytes, slog.New(slog.NewTextHandler(logs, nil))), closed: map[*Charge]bool{}}
	f.port = f.account.NewPort("front", connections)
	return f
}

func (f *fixture) open() (*Charge, error) {
	var c *Charge
	c, err := f.port.Open(func() { f.closed[c] = true })
	return c, err
}

// mustOpen opens a connection that the node waits for since the given time.
func (f *fixture) mustOpen(t *testing.T, behind time.Duration) *Charge {
	t.Helper()
	c, err := f.open()
	if err != nil {
		t.Fatal(err)
	}
	c.setBehind(behind)
	return c
}

// endClosed ends the connections that were closed to make room, as their goroutines do.
func (f *fixture) endClosed() {
	for c := range f.closed {
		c.Close()
	}
}

func (c *Charge) setBehind(d time.Duration) { c.awaitedSince.Store(int64(elapsed() - d)) }

// hostClasses are the hosts of the deployments by memory in MB and number of descriptors.
var hostClasses = []struct{ memoryMB, descriptors int }{{144, 3075}, {184, 4100}, {284, 4100}, {424, 8192}, {536, 10250}}

// Guards against limits that ordinary callers reach: 32 long prompts of 72 kB at once, and a single body of 4 MiB, must find room
// on each class of hosts, also beside callers that take all of the rest and have stopped.
func TestOrdinaryCallersFindRoom(t *testing.T) {
	for _, class := range hostClasses {
		limits := LimitsOf(int64(class.memoryMB)<<20, class.descriptors)
		f := newFixture(limits.Bytes, limits.CallerConnections, io.Discard)
		for range limits.CallerConnections / 2 {
			c := f.mustOpen(t, time.Second)
			if c.Resize(Body, 4<<20) != nil {
				break
			}
			c.setBehind(time.Second)
		}
		for range 32 {
			c := f.mustOpen(t, 0)
			for _, step := range []struct {
				part  Part
				bytes int64
			}{{Request, RequestBytes}, {Body, 16 << 10}, {Body, 136 << 10}, {Body, 72 << 10}} {
				if err := c.Resize(step.part, step.bytes); err != nil {
					t.Fatalf("%d MB: part %d of %d bytes: %v", class.memoryMB, step.part, step.bytes, err)
				}
			}
			c.EndAwait()
			f.endClosed()
		}
		if err := f.mustOpen(t, 0).Resize(Body, 6<<20); err != nil { // the buffer of a body of 4 MiB while it grows
			t.Errorf("%d MB: body of 4 MiB: %v", class.memoryMB, err)
		}
	}
}

// Guards against closing the connections of ordinary callers in place of those that have stopped: the one that holds most for
// longest gives way, and one whose request runs or that sends at a usual pace never does.
func TestFurthestBehindGivesWay(t *testing.T) {
	f := newFixture(16<<20, 100, io.Discard)
	idle := f.mustOpen(t, 10*time.Second)
	running := f.mustOpen(t, 0)
	sending := f.mustOpen(t, 3*time.Second)
	stopped := f.mustOpen(t, 2*time.Second)
	for _, c := range []*Charge{running, sending, stopped} {
		if err := c.Resize(Body, 4<<20); err != nil {
			t.Fatal(err)
		}
	}
	running.EndAwait()
	sending.RecordArrival(1 << 20)
	stopped.RecordArrival(100)
	if err := f.mustOpen(t, 0).Resize(Body, 4<<20); err != nil {
		t.Fatalf("body of a newcomer: %v", err)
	}
	if !f.closed[stopped] || len(f.closed) != 1 {
		t.Errorf("closed: stopped %t, idle %t, sending %t, running %t; want only the stopped one", f.closed[stopped], f.closed[idle], f.closed[sending], f.closed[running])
	}
	if err := stopped.Resize(Body, 5<<20); err == nil {
		t.Error("a connection that was closed to make room still grows")
	}
}

// Guards against a node that opens more connections than it may, or that refuses new ones although some callers do nothing.
func TestConnectionsMakeRoom(t *testing.T) {
	f := newFixture(16<<20, 20, io.Discard)
	var running []*Charge
	for range 10 {
		c := f.mustOpen(t, 0)
		c.EndAwait()
		running = append(running, c)
	}
	for range 100 {
		c := f.mustOpen(t, time.Second)
		f.endClosed()
		if n := f.account.Usage().Connections; n > 20 {
			t.Fatalf("%d connections are open, want at most 20", n)
		}
		c.setBehind(time.Second)
	}
	for _, c := range running {
		if f.closed[c] {
			t.Fatal("the connection of a running request was closed")
		}
	}
	for range 10 {
		if c, err := f.open(); err == nil {
			c.EndAwait()
		}
		f.endClosed()
	}
	if c, err := f.open(); err == nil {
		t.Errorf("connection %p is opened beyond the limit", c)
	}
	if !running[0].IsCrowded() {
		t.Error("the port is full, but not crowded")
	}
}

// Guards against a charge that is lost or counted twice, which would fill the account or make it useless over time.
func TestAccountBalances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture(4<<20, 1000, io.Discard)
		var charges []*Charge
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			pick := func() *Charge { return charges[rapid.IntRange(0, len(charges)-1).Draw(t, "charge")] }
			action := rapid.IntRange(0, 4).Draw(t, "action")
			switch {
			case action == 0 || len(charges) == 0:
				if c, err := f.open(); err == nil {
					c.setBehind(rapid.SampledFrom([]time.Duration{0, time.Second}).Draw(t, "behind"))
					charges = append(charges, c)
				}
			case action == 1:
				part := Part(rapid.IntRange(int(Head), int(Response)).Draw(t, "part"))
				_ = pick().Resize(part, rapid.Int64Range(0, 2<<20).Draw(t, "bytes"))
				if used := f.account.used; used > f.account.capacity {
					t.Fatalf("%d bytes are charged, want at most %d", used, f.account.capacity)
				}
			case action == 2:
				pick().Release(Body, Request)
			case action == 3:
				pick().EndAwait()
			default:
				pick().Close()
			}
			f.checkSums(t, charges)
		}
		for _, c := range charges {
			c.Close()
		}
		if u := f.account.Usage(); u != (Usage{}) || f.port.open != 0 || f.port.leaving != 0 {
			t.Fatalf("after the end of all connections: %+v, %d open, %d leaving, want none", u, f.port.open, f.port.leaving)
		}
	})
}

// checkSums fails unless the sums of the account are those of its charges.
func (f *fixture) checkSums(t *rapid.T, charges []*Charge) {
	var used, leaving int64
	open := 0
	for _, c := range charges {
		switch {
		case c.isClosed:
			continue
		case c.isLeaving:
			leaving += c.bytes
		default:
			used += c.bytes
		}
		open++
	}
	if used != f.account.used || leaving != f.account.leaving || open != f.port.open {
		t.Fatalf("account has %d used, %d leaving, %d open, want %d, %d, %d", f.account.used, f.account.leaving, f.port.open, used, leaving, open)
	}
}

// Guards against a log line for each connection, which would fill the log when it is needed most.
func TestOneLogLineForEachReason(t *testing.T) {
	var logs bytes.Buffer
	f := newFixture(16<<20, 4, &logs)
	for range 40 {
		if c, err := f.open(); err == nil {
			c.setBehind(time.Second)
		}
	}
	f.account.Report()
	f.account.Report()
	if lines := strings.Count(logs.String(), "\n"); lines == 0 || lines > 2 {
		t.Errorf("%d log lines, want one for each of at most 2 reasons:\n%s", lines, logs.String())
	}
}

// Guards against a nil pointer where nothing is charged, as in tests of other packages.
func TestNilChargeCountsNothing(t *testing.T) {
	var c *Charge
	c.AwaitCaller()
	c.RecordArrival(1)
	c.EndAwait()
	c.BeginWrite()
	c.EndWrite()
	c.ForceResize(Body, 1)
	c.Release(Body)
	c.Close()
	if err := c.Resize(Body, 1<<40); err != nil || c.IsCrowded() {
		t.Errorf("a nil charge refuses: %v", err)
	}
}

// BenchmarkOrdinaryRequest measures what an ordinary request with a body costs in the account.
func BenchmarkOrdinaryRequest(b *testing.B) {
	f := newFixture(36<<20, 1000, io.Discard)
	c, err := f.open()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		c.AwaitCaller()
		c.RecordArrival(1000)
		c.EndAwait()
		_ = c.Resize(Request, RequestBytes)
		_ = c.Resize(Body, 1000)
		c.BeginWrite()
		c.EndWrite()
		c.Release(Body, Request, Response)
	}
}
