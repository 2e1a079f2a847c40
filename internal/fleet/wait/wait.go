// Package wait waits for a duration or a condition until a context ends.
package wait

import (
	"context"
	"time"
)

// Sleep waits for the given duration. It returns the error of ctx if ctx ends first.
func Sleep(ctx context.Context, length time.Duration) error {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Poll calls condition until it returns nil, and waits for interval after each failed call.
// If ctx ends first, it returns the last error of condition. It calls condition at least
// once.
func Poll(ctx context.Context, interval time.Duration, condition func() error) error {
	for {
		err := condition()
		if err == nil {
			return nil
		}
		if Sleep(ctx, interval) != nil {
			return err
		}
	}
}
