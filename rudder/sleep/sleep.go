// Package sleep pauses a goroutine until a duration has passed or a context is done.
package sleep

import (
	"context"
	"time"
)

// For waits until d has passed or ctx is done, and reports whether d has passed.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
