package wait

import (
	"context"
	"errors"
	"testing"
	"time"
)

func TestSleepReturnsWhenTheContextEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := Sleep(ctx, time.Hour); !errors.Is(err, context.Canceled) {
		t.Errorf("error %v, want context canceled", err)
	}
	if err := Sleep(t.Context(), time.Nanosecond); err != nil {
		t.Errorf("error %v after the duration elapsed, want none", err)
	}
}

func TestPollCallsUntilTheConditionHolds(t *testing.T) {
	errNotYet := errors.New("not yet")
	calls := 0
	err := Poll(t.Context(), time.Nanosecond, func() error {
		calls++
		if calls < 3 {
			return errNotYet
		}
		return nil
	})
	if err != nil || calls != 3 {
		t.Errorf("%d calls, error %v; want 3 calls and no error", calls, err)
	}
}

func TestPollReturnsTheLastErrorOfTheCondition(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	errNotYet := errors.New("not yet")
	calls := 0
	err := Poll(ctx, time.Hour, func() error { calls++; return errNotYet })
	if !errors.Is(err, errNotYet) || calls != 1 {
		t.Errorf("%d calls, error %v; want 1 call and the error of the condition", calls, err)
	}
}
