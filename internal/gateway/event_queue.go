package gateway

import (
	"context"
	"sync"

	"github.com/dogwoodflow/dogwoodflow/internal/membudget"
	"github.com/dogwoodflow/dogwoodflow/internal/upstream/exchange"
)

// eventQueue reads a stream's events as they arrive, so that a caller that reads slowly does not
// make the upstream wait. The events that the caller has yet to get are held by the call's lease.
type eventQueue struct {
	events Events
	lease  *membudget.Lease
	cancel context.CancelFunc // ends a read in progress
	done   chan struct{}      // closed when reading has ended

	mu      sync.Mutex
	pending []Event
	err     error         // of the read after the last pending event
	changed chan struct{} // receives a value when pending or err has changed
}

// newEventQueue starts to read the events; cancel must make a read in progress fail. The queue
// must be closed.
func newEventQueue(events Events, lease *membudget.Lease, cancel context.CancelFunc) *eventQueue {
	q := &eventQueue{events: events, lease: lease, cancel: cancel, done: make(chan struct{}), changed: make(chan struct{}, 1)}
	go q.read()
	return q
}

func (q *eventQueue) read() {
	defer close(q.done)
	for {
		e, err := q.events.Next()
		if err == nil && !q.lease.Grow(int64(len(e.Raw))) {
			err = &exchange.Failure{Kind: exchange.NoRoom, Sent: true, Err: membudget.ErrNoRoom}
			// Rather than left unread, the upstream's connection is closed now.
			q.cancel()
		}
		q.mu.Lock()
		if err == nil {
			q.pending = append(q.pending, e)
		}
		q.err = err
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
func (q *eventQueue) sent(e Event) { q.lease.Shrink(int64(len(e.Raw))) }

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
