package telemetry

import (
	"bytes"
	"strings"
	"sync"
	"testing"
)

// blockedOutput blocks until it is released.
type blockedOutput struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (o *blockedOutput) Write(b []byte) (int, error) {
	<-o.release
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.written.Write(b)
}

// An output that does not take the log must not hold up requests; what is lost is counted and told.
func TestBlockedOutputDropsLines(t *testing.T) {
	out := &blockedOutput{release: make(chan struct{})}
	w := NewLogWriter(out)
	line := []byte(strings.Repeat("x", 1000) + "\n")
	for range 1000 {
		if n, err := w.Write(line); n != len(line) || err != nil {
			t.Fatalf("write: %d, %v", n, err)
		}
	}
	if w.Dropped() < 500 {
		t.Fatalf("%d lines dropped of a megabyte, the buffer holds %d bytes", w.Dropped(), logBufferBytes)
	}
	close(out.release)
	w.Close()
	if !strings.Contains(out.written.String(), "Log lines were dropped.") {
		t.Fatal("the log does not tell of dropped lines")
	}
}

// Lines that were written before the end of the process reach the output.
func TestCloseWritesBufferedLines(t *testing.T) {
	var out bytes.Buffer
	w := NewLogWriter(&out)
	if _, err := w.Write([]byte("last line\n")); err != nil {
		t.Fatal(err)
	}
	w.Close()
	if out.String() != "last line\n" {
		t.Fatalf("output %q", out.String())
	}
}
