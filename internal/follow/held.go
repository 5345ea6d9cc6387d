package follow

import (
	"context"
	"sync"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/pause"
)

// LookInterval is between two looks whether anybody still holds a view.
const LookInterval = time.Second

// HeldOptions of a Held.
type HeldOptions struct {
	Options
	// Linger is how long a whole view is followed on after the last hold ended.
	Linger time.Duration
	// OnForget is called when the view isn't followed any more: what the sink was given
	// is old from now on. Nobody holds the view then.
	OnForget func()
}

// Held follows a partition of the log only while somebody holds its view. Were each daemon
// to follow whatever it may need some day, the reads of a fleet would grow with its daemons
// times the topics. It is safe for concurrent use.
type Held struct {
	*Follower
	options HeldOptions
	needs   chan struct{} // wakes Run when a hold begins

	mu        sync.Mutex
	following bool          // the log is read
	holds     int           // who needs the view now
	released  time.Duration // when the last hold ended
}

// NewHeld returns a Held that nobody holds.
func NewHeld(o HeldOptions) *Held {
	return &Held{Follower: New(o.Options), options: o, needs: make(chan struct{}, 1)}
}

// Run follows the log whenever somebody holds the view, until the context ends.
func (h *Held) Run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-h.needs:
			h.session(ctx)
		}
	}
}

// session follows the log from its oldest record until nobody needs the view any more,
// and then forgets it.
func (h *Held) session(ctx context.Context) {
	if !h.begin() {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		h.Follower.Run(ctx)
		close(done)
	}()
	for ctx.Err() == nil && !h.end() {
		pause.For(ctx, LookInterval)
	}
	cancel()
	<-done
	h.forget()
}

// begin reports whether somebody needs the view, which is followed from now on.
func (h *Held) begin() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.following = h.holds > 0
	return h.following
}

// end reports whether nobody has needed the view for a while, which isn't followed from
// now on: whoever holds it next waits for a new session. A view that isn't whole is of no
// use to those that come: they are daemons without a way to the store, and all of them
// would read on when an outage ends.
func (h *Held) end() bool {
	whole := h.Follower.Loaded()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.holds > 0 || whole && h.options.Now()-h.released < h.options.Linger {
		return false
	}
	h.following = false
	return true
}

func (h *Held) forget() {
	h.mu.Lock()
	h.following = false
	h.mu.Unlock()
	if h.options.OnForget != nil {
		h.options.OnForget()
	}
	h.Restart()
	h.options.Logger.Info().Str("topic", h.options.Topic).Int("part", h.options.Part).Msg("partition not followed any more")
	h.wake()
}

// Hold keeps the view followed until release is called.
func (h *Held) Hold() (release func()) {
	h.mu.Lock()
	h.holds++
	h.mu.Unlock()
	h.wake()
	return sync.OnceFunc(func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.holds--
		h.released = h.options.Now()
	})
}

func (h *Held) wake() {
	select {
	case h.needs <- struct{}{}:
	default:
	}
}

// Loaded reports whether the view was whole once since it's followed.
func (h *Held) Loaded() bool {
	// Not under mu: records are applied under the follower's lock.
	return h.Following() && h.Follower.Loaded()
}

// Following reports whether the log is read now.
func (h *Held) Following() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.following
}

// Held reports whether somebody needs the view now.
func (h *Held) Held() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.following && h.holds > 0
}

// Await waits until the view, which the caller holds, is whole.
func (h *Held) Await(ctx context.Context) error {
	for {
		changed := h.Changed()
		if h.Loaded() {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
