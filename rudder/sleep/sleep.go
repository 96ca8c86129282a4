// Package sleep waits for a time or for the end of a context.
package sleep

import (
	"context"
	"time"
)

// For waits for d or for the end of ctx, and reports whether d has passed.
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
