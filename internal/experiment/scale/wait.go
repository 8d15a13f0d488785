package scale

import (
	"context"
	"fmt"
	"time"
)

const pollInterval = 20 * time.Millisecond

// TimeoutError reports what did not happen in time.
type TimeoutError struct {
	What  string
	Limit time.Duration
}

func (e *TimeoutError) Error() string {
	return fmt.Sprintf("scale: timed out waiting for %s after %v", e.What, e.Limit)
}

// waitUntil polls until ok returns true. It returns a TimeoutError at the limit, or the context's error.
func waitUntil(ctx context.Context, what string, limit time.Duration, ok func() bool) error {
	end := time.Now().Add(limit)
	for !ok() {
		if time.Now().After(end) {
			return &TimeoutError{what, limit}
		}
		if err := sleepContext(ctx, pollInterval); err != nil {
			return err
		}
	}
	return nil
}

// sleepContext waits for a duration, or returns the context's error if the context ends first.
func sleepContext(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
