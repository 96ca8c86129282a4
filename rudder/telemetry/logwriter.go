package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// logBufferBytes is how much of the log waits for the output at most.
	logBufferBytes = 128 << 10
	// logBytesPerSecond bounds the volume of the log under load, and logBurstBytes what may come at once.
	logBytesPerSecond = 256 << 10
	logBurstBytes     = 1 << 20
	// logFlushInterval is how long a line waits at most, so that many leave in one write.
	logFlushInterval = 100 * time.Millisecond
)

// LogWriter passes log lines on without ever waiting for the output. Lines that find the buffer full, or the volume above
// its bound, are dropped and counted.
type LogWriter struct {
	out             io.Writer
	mu              sync.Mutex
	buffer          bytes.Buffer
	burstCredit     float64 // bytes that may still be written
	creditedAt      time.Time
	unreportedDrops int64
	totalDrops      int64
	stop            chan struct{}
	done            chan struct{}
}

// NewLogWriter returns a writer that passes lines on to out until Close.
func NewLogWriter(out io.Writer) *LogWriter {
	w := &LogWriter{out: out, burstCredit: logBurstBytes, creditedAt: time.Now(), stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes one line. It never fails and never waits.
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

// Dropped returns the number of lines dropped since the start.
func (w *LogWriter) Dropped() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.totalDrops
}

// Close writes what waits and ends the writer.
func (w *LogWriter) Close() {
	close(w.stop)
	<-w.done
}

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

// flush writes the lines that wait. The output may block; lines that come meanwhile fill the buffer.
func (w *LogWriter) flush() {
	w.mu.Lock()
	if w.unreportedDrops > 0 {
		fmt.Fprintf(&w.buffer, "time=%s level=WARN msg=\"Log lines were dropped.\" part=telemetry lines=%d\n", time.Now().UTC().Format(time.RFC3339Nano), w.unreportedDrops)
		w.unreportedDrops = 0
	}
	lines := bytes.Clone(w.buffer.Bytes())
	w.buffer.Reset()
	w.mu.Unlock()
	if len(lines) > 0 {
		_, _ = w.out.Write(lines) // there is nowhere else to tell of it
	}
}
