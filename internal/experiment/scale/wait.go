package scale

import (
	"context"
	"fmt"
	"time"
)

const pollInterval = 20 * time.Millisecond

// TimeoutError names what did not come in time.
type TimeoutError struct {
	What  string
	Limit time.Duration
}

func (e *TimeoutError) Error() string {
	return fmt.Sprintf("scale: %s did not come within %v", e.What, e.Limit)
}

// waitUntil returns once ok is true, with a TimeoutError at the limit, or with the context's error.
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

// sleepContext lets a measurement run on for some time.
func sleepContext(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
