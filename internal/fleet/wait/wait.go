// Package wait waits for a time or for a condition, and no longer than a context lasts.
package wait

import (
	"context"
	"time"
)

// Sleep waits for the given time. It returns the error of ctx if that ends first.
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

// Poll calls condition until it returns nil, with a pause of interval after each call
// that does not. If ctx ends first, it returns the last error of condition, which is
// called at least once.
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
