// Package logline writes log lines asynchronously and at a limited rate, so that a slow reader
// of the log never blocks the daemon.
package logline

import (
	"encoding/json"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/metrics"
)

const (
	// queueLines is the capacity of the queue. At about 300 bytes per line, a full queue
	// takes less than 1 MB, and 8 MB at maxLineBytes.
	queueLines = 2048
	// maxLineBytes is the longest line that is written whole. Lines may quote bytes of others.
	maxLineBytes = 4 << 10
	// shortenedBytes is how much of a longer line is written, before it is quoted.
	shortenedBytes = 1 << 10
	// linesPerSecond limits the volume under load. Up to burstLines are accepted at once, as
	// when a batch of samples starts.
	linesPerSecond = 400
	burstLines     = 2000
)

// dropped counts lines that were not written.
var dropped = metrics.Counter("log_lines_dropped")

// Writer queues lines for another writer. It drops and counts lines that exceed the queue's
// capacity or the rate. It is safe for concurrent use.
type Writer struct {
	out   io.Writer
	lines chan []byte   // nil is sent by Close and ends run
	done  chan struct{} // closed when run returns
	now   func() time.Time

	closed     atomic.Bool
	mu         sync.Mutex // guards the token bucket below
	tokens     float64    // lines that may be written now
	refilledAt time.Time  // when tokens was last refilled
}

// New returns a Writer that writes to out until it is closed.
func New(out io.Writer) *Writer { return newWriter(out, time.Now) }

func newWriter(out io.Writer, now func() time.Time) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueLines), done: make(chan struct{}), now: now, tokens: burstLines, refilledAt: now()}
	go w.run()
	return w
}

// Write queues one line. It never fails and never blocks.
func (w *Writer) Write(line []byte) (int, error) {
	if w.closed.Load() || !w.allow() {
		dropped.Add(1)
		return len(line), nil
	}
	queued := append([]byte(nil), line[:min(len(line), maxLineBytes)]...)
	if len(line) > maxLineBytes {
		queued = shorten(line)
	}
	select {
	case w.lines <- queued:
	default:
		dropped.Add(1)
	}
	return len(line), nil
}

// shorten returns a line about a line that is too long, with the beginning of that one.
func shorten(line []byte) []byte {
	out, err := json.Marshal(struct {
		Level   string `json:"level"`
		Bytes   int    `json:"bytes"`
		Begin   string `json:"begin"`
		Message string `json:"message"`
	}{"warn", len(line), string(line[:shortenedBytes]), "log line too long"})
	if err != nil {
		return []byte{} // a string can always be encoded; nil would end run
	}
	return append(out, '\n')
}

// allow takes a token and reports whether there was one.
func (w *Writer) allow() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	w.tokens = min(burstLines, w.tokens+now.Sub(w.refilledAt).Seconds()*linesPerSecond)
	w.refilledAt = now
	if w.tokens < 1 {
		return false
	}
	w.tokens--
	return true
}

// run writes queued lines to out until it receives nil.
func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		if line == nil {
			return
		}
		if _, err := w.out.Write(w.joinQueued(line)); err != nil {
			dropped.Add(1)
		}
	}
}

// joinQueued appends all queued lines to line, so that a burst is written in one call.
func (w *Writer) joinQueued(line []byte) []byte {
	for range len(w.lines) {
		next := <-w.lines
		if next == nil {
			w.lines <- nil // from Close: run receives it next
			return line
		}
		line = append(line, next...)
	}
	return line
}

// closeTimeout is how long Close waits, at each of its two steps, for an output that blocks.
const closeTimeout = 200 * time.Millisecond

// Close writes the queued lines and stops the Writer. It gives up if the output blocks for
// longer than closeTimeout.
func (w *Writer) Close() {
	if w.closed.Swap(true) {
		return
	}
	select {
	case w.lines <- nil:
	case <-time.After(closeTimeout):
		return
	}
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}
