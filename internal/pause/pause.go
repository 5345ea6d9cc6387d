// Package pause has waits that end when a context ends.
package pause

import (
	"context"
	"time"
)

// For waits for d, or until the context ends. It returns false if the context has ended.
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

// Every calls f after each interval until the context ends.
func Every(ctx context.Context, interval time.Duration, f func()) {
	for For(ctx, interval) {
		f()
	}
}
