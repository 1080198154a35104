package pause

import (
	"context"
	"time"
)

// For waits for a time, or less if the context ends.
func For(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
