// Package pause waits.
package pause

import (
	"context"
	"time"
)

// For waits until the time is up or the context ends. It reports whether the context lives.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Every calls a function after each interval until the context ends.
func Every(ctx context.Context, interval time.Duration, do func()) {
	for For(ctx, interval) {
		do()
	}
}
