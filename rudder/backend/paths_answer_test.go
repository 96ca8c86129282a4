package backend

import (
	"context"
	"errors"
	"log/slog"
	"syscall"
	"testing"
	"time"
)

// newAnsweringPaths returns Paths, not running, to servers that all accept connections. answer answers the questions.
func newAnsweringPaths(t *testing.T, answer func() error) (*Paths, *network) {
	t.Helper()
	table := NewTable(time.Second, slog.New(slog.DiscardHandler))
	n := &network{errs: map[string]error{}}
	for _, name := range []string{"s0", "s1", "s2", "s3"} {
		table.Put(Entry{ID: name, Service: "s", Address: name, FailureDomain: name, Slots: 8})
	}
	return &Paths{Table: table, Log: slog.New(slog.DiscardHandler), Dial: n.dial, Ask: func(context.Context, string) error { return answer() }}, n
}

// Guards against a cut that is not recognised because something between the node and the servers accepts connections, and then resets
// them or drops what follows.
func TestPathIsLostWhenConnectionsAreAcceptedAndNothingAnswers(t *testing.T) {
	for name, err := range map[string]error{"reset": syscall.ECONNRESET, "silent": context.DeadlineExceeded} {
		p, _ := newAnsweringPaths(t, func() error { return err })
		ctx, cancel := context.WithCancel(context.Background())
		go p.Run(ctx)
		if name == "silent" {
			defer p.BeginWait("s")()
			connecting := time.NewTicker(100 * time.Millisecond)
			defer connecting.Stop()
			go func() {
				for range connecting.C {
					p.RecordConnection("s") // by further requests
				}
			}()
		} else {
			p.RecordConnection("s")
			p.SuspectBreak("s", err)
		}
		await(t, p, true, 5*time.Second)
		stays := time.Now().Add(time.Second)
		for time.Now().Before(stays) {
			if !p.IsLost("s") {
				t.Fatalf("%s: path is back while nothing answers", name)
			}
			time.Sleep(5 * time.Millisecond)
		}
		cancel()
	}
}

// While servers send something, a connection needs no answer: a service that is overloaded resets new ones and answers nobody in time.
func TestConnectionNeedsNoAnswerWhileServersSend(t *testing.T) {
	p, n := newAnsweringPaths(t, func() error { return errors.New("question was asked") })
	p.RecordBytes("s")
	p.path("s").connectedAt.Store(1) // no fresh evidence of new connections
	p.SuspectConnect("s", syscall.ECONNRESET)
	for end := time.Now().Add(20 * time.Second); n.dialCount() == 0 || p.path("s").isProbing.Load(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no round of probes ended")
		}
	}
	if p.IsLost("s") {
		t.Error("path is lost while servers send and accept connections")
	}
}

// A path that is lost without answers is back with them.
func TestPathIsBackWhenServersAnswerAgain(t *testing.T) {
	hasHealed := make(chan struct{})
	p, _ := newAnsweringPaths(t, func() error {
		select {
		case <-hasHealed:
			return nil
		default:
			return syscall.ECONNRESET
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go p.Run(ctx)
	p.SuspectBreak("s", syscall.ECONNRESET)
	await(t, p, true, 5*time.Second)
	close(hasHealed)
	await(t, p, false, 20*time.Second)
}
