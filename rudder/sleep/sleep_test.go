package sleep

import (
	"context"
	"testing"
	"time"
)

// A loop that waits must end as soon as its context does.
func TestForReturnsWhenContextIsDone(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(10*time.Millisecond, cancel)
	start := time.Now()
	if For(ctx, time.Hour) {
		t.Error("reports that the time has passed")
	}
	if took := time.Since(start); took > time.Minute {
		t.Errorf("took %s", took)
	}
	if !For(context.Background(), time.Millisecond) {
		t.Error("reports an ended context")
	}
}
