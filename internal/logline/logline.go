// Package logline writes structured log lines to standard output without ever
// making the caller wait, and within a bounded rate.
package logline

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/metrics"
)

const (
	// queueLines is how many lines may wait for the output. At some 300 bytes each
	// they hold under 1 MB.
	queueLines = 2048
	// linesPerSecond bounds the volume under load; burstLines may come at once, as
	// when a batch of samples starts.
	linesPerSecond = 400
	burstLines     = 2000
)

var dropped = metrics.Counter("log_lines_dropped")

// Writer queues lines for a slower writer. A line that finds no room, or exceeds
// the rate, is dropped and counted. It is safe for concurrent use.
type Writer struct {
	out   io.Writer
	lines chan []byte
	done  chan struct{}
	now   func() time.Time

	closed atomic.Bool
	mu     sync.Mutex
	tokens float64
	at     time.Time
}

// New returns a Writer that writes to out until Close.
func New(out io.Writer) *Writer { return newWriter(out, time.Now) }

func newWriter(out io.Writer, now func() time.Time) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueLines), done: make(chan struct{}), now: now, tokens: burstLines, at: now()}
	go w.run()
	return w
}

// Write queues one line. It never fails and never waits.
func (w *Writer) Write(line []byte) (int, error) {
	if w.closed.Load() || !w.allow() {
		dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		dropped.Add(1)
	}
	return len(line), nil
}

func (w *Writer) allow() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	w.tokens = min(burstLines, w.tokens+now.Sub(w.at).Seconds()*linesPerSecond)
	w.at = now
	if w.tokens < 1 {
		return false
	}
	w.tokens--
	return true
}

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		if line == nil {
			return
		}
		if _, err := w.out.Write(w.gather(line)); err != nil {
			dropped.Add(1)
		}
	}
}

// gather joins the lines that wait, so that a burst costs one call.
func (w *Writer) gather(line []byte) []byte {
	for range len(w.lines) {
		next := <-w.lines
		if next == nil {
			w.lines <- nil // Close is waiting; it comes last
			return line
		}
		line = append(line, next...)
	}
	return line
}

// closeWait bounds the wait for an output that doesn't take the last lines.
const closeWait = 200 * time.Millisecond

// Close writes what is queued, as far as the output takes it.
func (w *Writer) Close() {
	if w.closed.Swap(true) {
		return
	}
	select {
	case w.lines <- nil:
	case <-time.After(closeWait):
		return
	}
	select {
	case <-w.done:
	case <-time.After(closeWait):
	}
}
