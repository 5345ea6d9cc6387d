package follow

import (
	"context"
	"sync"
	"time"

	"github.com/dogwoodflow/dogwoodflow/internal/pause"
)

// HoldCheckInterval is the time between two checks whether anybody still holds a view.
const HoldCheckInterval = time.Second

// OnDemandOptions adds the options of following on demand.
type OnDemandOptions struct {
	Options
	// Linger is how long a view is still followed after the last hold has ended, if it is loaded or the
	// store answers its reads.
	Linger time.Duration
	// OnDiscard is called when the view isn't followed any more, so that what the sink was given
	// is out of date from now on. Nobody holds the view then.
	OnDiscard func()
}

// OnDemand follows a partition of the log only while somebody holds its view. If each daemon
// followed everything that it may need some day, the reads of a fleet would grow with the
// number of daemons times the number of topics. It is safe for concurrent use.
type OnDemand struct {
	*Follower
	options OnDemandOptions
	wakeups chan struct{} // wakes Run when a hold begins

	mu         sync.Mutex
	following  bool          // the partition is followed
	holders    int           // number of holds that haven't ended
	releasedAt time.Duration // when the last hold ended, in Options.Now's time
}

// NewOnDemand returns one that nobody holds.
func NewOnDemand(o OnDemandOptions) *OnDemand {
	return &OnDemand{Follower: New(o.Options), options: o, wakeups: make(chan struct{}, 1)}
}

// Run follows the partition whenever somebody holds the view, until the context ends.
func (h *OnDemand) Run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-h.wakeups:
			h.followWhileHeld(ctx)
		}
	}
}

// followWhileHeld follows the partition from its oldest record until nobody holds the view any
// more, and then discards the view.
func (h *OnDemand) followWhileHeld(ctx context.Context) {
	if !h.startFollowing() {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		h.Follower.Run(ctx)
		close(done)
	}()
	for ctx.Err() == nil && !h.stopIfUnused() {
		pause.For(ctx, HoldCheckInterval)
	}
	cancel()
	<-done
	h.discard()
}

// startFollowing reports whether somebody holds the view, and if so, marks it as followed.
func (h *OnDemand) startFollowing() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.following = h.holders > 0
	return h.following
}

// stopIfUnused reports whether nobody has held the view for Linger, and if so, marks it as not
// followed: the next holder waits for another run of followWhileHeld. A view that isn't loaded
// lingers only while the store answers its reads: holders that come again and again, each for less
// time than loading takes, would never have it loaded. Otherwise it is stopped at once. That occurs
// on daemons that can't reach the store, and when an outage ends all of them would continue to read it.
func (h *OnDemand) stopIfUnused() bool {
	useful := h.Follower.Loaded() || h.Follower.InContact()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.holders > 0 || useful && h.options.Now()-h.releasedAt < h.options.Linger {
		return false
	}
	h.following = false
	return true
}

// discard resets the view, and starts following it again if it has a new holder.
func (h *OnDemand) discard() {
	h.mu.Lock()
	h.following = false
	h.mu.Unlock()
	if h.options.OnDiscard != nil {
		h.options.OnDiscard()
	}
	h.Restart()
	h.options.Logger.Info().Str("topic", h.options.Topic).Int("part", h.options.Partition).Msg("partition not followed any more")
	h.wake()
}

// Hold keeps the view followed until release is called.
func (h *OnDemand) Hold() (release func()) {
	h.mu.Lock()
	h.holders++
	h.mu.Unlock()
	h.wake()
	return sync.OnceFunc(func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.holders--
		h.releasedAt = h.options.Now()
	})
}

// wake makes Run check whether somebody holds the view.
func (h *OnDemand) wake() {
	select {
	case h.wakeups <- struct{}{}:
	default:
	}
}

// Loaded reports whether the view has been read to the end of the partition since it is followed.
func (h *OnDemand) Loaded() bool {
	// The Follower isn't called under mu, since it calls the sink under its own lock.
	return h.Following() && h.Follower.Loaded()
}

// Following reports whether the partition is followed now.
func (h *OnDemand) Following() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.following
}

// InUse reports whether somebody holds the view and it is followed.
func (h *OnDemand) InUse() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.following && h.holders > 0
}

// WaitLoaded waits until the view, which the caller must hold, is loaded.
func (h *OnDemand) WaitLoaded(ctx context.Context) error {
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
