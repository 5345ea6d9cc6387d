package exchange

import (
	"sync"
	"time"
)

// watchdog calls expire once when it isn't reset in time.
type watchdog struct {
	mu     sync.Mutex
	timer  *time.Timer
	expire func()
}

func newWatchdog(expire func()) *watchdog { return &watchdog{expire: expire} }

// reset starts the wait anew; a limit of 0 stops it.
func (w *watchdog) reset(limit time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case limit <= 0 && w.timer != nil:
		w.timer.Stop()
	case limit <= 0:
	case w.timer == nil:
		w.timer = time.AfterFunc(limit, w.expire)
	default:
		w.timer.Reset(limit)
	}
}

func (w *watchdog) stop() { w.reset(0) }
