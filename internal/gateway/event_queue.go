package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/membudget"
	"github.com/dogwoodflow/dogwoodflow/internal/upstream/exchange"
)

// eventQueue reads a stream's events as they arrive, so that a caller that reads slowly does not
// make the upstream wait. The events that the caller has yet to get are held by the call's lease,
// as far as they exceed what it holds for an answer anyway: otherwise the bodies of new calls
// could fill the memory and so end all streams at their next events.
type eventQueue struct {
	events  Events
	lease   *membudget.Lease
	reserve int64              // bytes that the lease holds already for an answer
	cancel  context.CancelFunc // ends a read in progress
	done    chan struct{}      // closed when reading has ended

	mu      sync.Mutex
	pending []Event
	held    int64         // bytes of the events that the caller has yet to get
	err     error         // of the read after the last pending event
	endedAt time.Time     // when err was returned
	changed chan struct{} // receives a value when pending or err has changed
}

// newEventQueue starts to read the events; cancel must make a read in progress fail. The queue
// must be closed.
func newEventQueue(events Events, lease *membudget.Lease, reserve int64, cancel context.CancelFunc) *eventQueue {
	q := &eventQueue{events: events, lease: lease, reserve: reserve, cancel: cancel, done: make(chan struct{}), changed: make(chan struct{}, 1)}
	go q.read()
	return q
}

func (q *eventQueue) read() {
	defer close(q.done)
	for {
		e, err := q.events.Next()
		if err == nil && !q.hold(int64(len(e.Raw))) {
			err = &exchange.Failure{Kind: exchange.NoRoom, Sent: true, Err: membudget.ErrNoRoom}
			// Rather than left unread, the upstream's connection is closed now.
			q.cancel()
		}
		q.mu.Lock()
		if err == nil {
			q.pending = append(q.pending, e)
		}
		q.err, q.endedAt = err, time.Now()
		q.mu.Unlock()
		select {
		case q.changed <- struct{}{}:
		default:
		}
		if err != nil {
			return
		}
	}
}

// hold counts n bytes more, for which the lease must have room.
func (q *eventQueue) hold(n int64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.lease.Grow(max(0, q.held+n-q.reserve) - max(0, q.held-q.reserve)) {
		return false
	}
	q.held += n
	return true
}

// duration returns the time from a start until the upstream ended the stream.
func (q *eventQueue) duration(startedAt time.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.endedAt.Sub(startedAt)
}

// next returns the next event, as Events.Next does. The event is held until sent is called.
func (q *eventQueue) next() (Event, error) {
	for {
		q.mu.Lock()
		if len(q.pending) > 0 {
			e := q.pending[0]
			q.pending[0] = Event{} // its bytes are no longer referenced by the array
			q.pending = q.pending[1:]
			q.mu.Unlock()
			return e, nil
		}
		err := q.err
		q.mu.Unlock()
		if err != nil {
			return Event{}, err
		}
		<-q.changed
	}
}

// sent gives back the memory of an event that the caller has.
func (q *eventQueue) sent(e Event) {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := int64(len(e.Raw))
	q.lease.Shrink(max(0, q.held-q.reserve) - max(0, q.held-n-q.reserve))
	q.held -= n
}

// close ends the stream, also at the upstream, and gives back the memory of what is pending.
func (q *eventQueue) close() {
	q.cancel()
	<-q.done
	q.events.Close()
	for _, e := range q.pending {
		q.sent(e)
	}
	q.pending = nil
}
