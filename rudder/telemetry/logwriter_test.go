package telemetry

import (
	"bytes"
	"strings"
	"sync"
	"testing"
)

// blockedOutput is an output whose Write blocks until release is closed.
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

// Guards against requests that block because the log output does, and against lost lines that are not counted and reported
// in the log.
func TestBlockedOutputDropsLines(t *testing.T) {
	out := &blockedOutput{release: make(chan struct{})}
	w := NewLogWriter(out)
	line := []byte(strings.Repeat("x", 1000) + "\n")
	for range 1000 {
		if n, err := w.Write(line); n != len(line) || err != nil {
			t.Fatalf("Write returned %d, %v, expected the whole line and no error", n, err)
		}
	}
	if w.Dropped() < 500 {
		t.Fatalf("%d of 1000 lines were dropped, expected at least 500 with a buffer of %d bytes", w.Dropped(), logBufferBytes)
	}
	close(out.release)
	w.Close()
	if !strings.Contains(out.written.String(), "Log writer dropped lines that exceeded its buffer or rate limit.") {
		t.Fatal("output has no line that reports the dropped lines")
	}
}

// Guards against the loss of the last lines of a process: Close must write the buffer.
func TestCloseWritesBufferedLines(t *testing.T) {
	var out bytes.Buffer
	w := NewLogWriter(&out)
	if _, err := w.Write([]byte("last line\n")); err != nil {
		t.Fatal(err)
	}
	w.Close()
	if out.String() != "last line\n" {
		t.Fatalf("output after Close is %q, expected the line written before", out.String())
	}
}
