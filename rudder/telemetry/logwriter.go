package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// logBufferBytes is the maximum size of the lines that wait for the output.
	logBufferBytes = 128 << 10
	// logBytesPerSecond limits the average rate of the log under load, and logBurstBytes the size of a burst.
	logBytesPerSecond = 256 << 10
	logBurstBytes     = 1 << 20
	// logFlushInterval is the longest time that a line waits in the buffer, so that one write takes many lines.
	logFlushInterval = 100 * time.Millisecond
)

// LogWriter buffers log lines and writes them to its output in the background, so that logging never blocks. It drops and
// counts the lines that exceed the buffer or the rate limit. It is safe for concurrent use.
type LogWriter struct {
	out             io.Writer
	mu              sync.Mutex
	buffer          bytes.Buffer
	burstCredit     float64   // bytes that the rate limit allows now
	creditedAt      time.Time // when burstCredit was last refilled
	unreportedDrops int64     // lines dropped since the last line that reports them
	totalDrops      int64     // lines dropped since the start
	stop            chan struct{}
	done            chan struct{}
}

// NewLogWriter returns a writer to out and starts its background goroutine, which ends with Close.
func NewLogWriter(out io.Writer) *LogWriter {
	w := &LogWriter{out: out, burstCredit: logBurstBytes, creditedAt: time.Now(), stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write adds one line to the buffer or drops it. It never blocks on the output and never returns an error.
func (w *LogWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.burstCredit = min(w.burstCredit+now.Sub(w.creditedAt).Seconds()*logBytesPerSecond, logBurstBytes)
	w.creditedAt = now
	if w.buffer.Len()+len(line) > logBufferBytes || w.burstCredit < float64(len(line)) {
		w.unreportedDrops++
		w.totalDrops++
		return len(line), nil
	}
	w.burstCredit -= float64(len(line))
	w.buffer.Write(line)
	return len(line), nil
}

// Dropped returns the number of lines dropped since the writer was created.
func (w *LogWriter) Dropped() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.totalDrops
}

// Close writes the buffered lines and ends the background goroutine. It blocks as long as the output does.
func (w *LogWriter) Close() {
	close(w.stop)
	<-w.done
}

// run flushes the buffer at each logFlushInterval until Close.
func (w *LogWriter) run() {
	defer close(w.done)
	for {
		select {
		case <-w.stop:
			w.flush()
			return
		case <-time.After(logFlushInterval):
			w.flush()
		}
	}
}

// flush writes the buffered lines and a line that reports dropped ones. The lock is not held during the write, so that Write
// can fill the buffer while the output blocks.
func (w *LogWriter) flush() {
	w.mu.Lock()
	if w.unreportedDrops > 0 {
		fmt.Fprintf(&w.buffer, "time=%s level=WARN msg=\"Log writer dropped lines that exceeded its buffer or rate limit.\" part=telemetry lines=%d\n", time.Now().UTC().Format(time.RFC3339Nano), w.unreportedDrops)
		w.unreportedDrops = 0
	}
	lines := bytes.Clone(w.buffer.Bytes())
	w.buffer.Reset()
	w.mu.Unlock()
	if len(lines) > 0 {
		_, _ = w.out.Write(lines) // a failure cannot be logged: this is the log
	}
}
