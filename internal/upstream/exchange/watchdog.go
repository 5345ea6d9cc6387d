package exchange

import (
	"sync"
	"time"
)

// watchdog calls onExpiry if it isn't reset or stopped within a limit.
type watchdog struct {
	mu       sync.Mutex
	timer    *time.Timer
	onExpiry func()
}

func newWatchdog(onExpiry func()) *watchdog { return &watchdog{onExpiry: onExpiry} }

// reset restarts the timer with a new limit. A limit of 0 stops it.
func (w *watchdog) reset(limit time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case limit <= 0 && w.timer != nil:
		w.timer.Stop()
	case limit <= 0:
	case w.timer == nil:
		w.timer = time.AfterFunc(limit, w.onExpiry)
	default:
		w.timer.Reset(limit)
	}
}

func (w *watchdog) stop() { w.reset(0) }
