package eventqueue

import (
	"context"
	"errors"
	"testing"
	"time"
)

func TestAskReturnsTheAnswerOfTheEventLoop(t *testing.T) {
	queue := New()
	go func() { (<-queue.Events())(7 * time.Second) }()
	answer, err := Ask(t.Context(), queue, func(now time.Duration) time.Duration { return now })
	if err != nil || answer != 7*time.Second {
		t.Errorf("got %v, %v", answer, err)
	}
}

func TestAskEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := Ask(ctx, New(), func(time.Duration) int { return 1 }); !errors.Is(err, context.Canceled) {
		t.Errorf("got %v", err)
	}
}

func TestAskEndsWithTheQueue(t *testing.T) {
	queue := New()
	queue.Close()
	if _, err := Ask(t.Context(), queue, func(time.Duration) int { return 1 }); !errors.Is(err, ErrStopped) {
		t.Errorf("got %v", err)
	}
}

func TestOfferNeverWaits(t *testing.T) {
	queue := New()
	for i := range capacity {
		if !queue.Offer(func(time.Duration) {}) {
			t.Fatalf("event %d is not queued", i)
		}
	}
	if queue.Offer(func(time.Duration) {}) {
		t.Error("an event is queued beyond the capacity")
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if queue.Post(ctx, func(time.Duration) {}) {
		t.Error("an event is posted beyond the capacity")
	}
}
