package sleep

import (
	"context"
	"testing"
	"time"
)

// TestForReturnsWhenContextIsDone guards against a loop that keeps waiting after its context is cancelled.
func TestForReturnsWhenContextIsDone(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(10*time.Millisecond, cancel)
	start := time.Now()
	if For(ctx, time.Hour) {
		t.Error("For reports that the duration has passed, although its context was cancelled")
	}
	if took := time.Since(start); took > time.Minute {
		t.Errorf("For took %s to return after the context was cancelled", took)
	}
	if !For(context.Background(), time.Millisecond) {
		t.Error("For reports that the context is done, although the duration has passed")
	}
}
