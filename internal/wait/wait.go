package wait

import (
	"context"
	"time"
)

// For returns after d or when ctx is done, whichever comes first. It returns at once if d isn't positive.
func For(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
