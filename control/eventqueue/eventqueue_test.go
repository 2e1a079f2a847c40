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
		t.Errorf("Ask returned %v, %v; want 7s without an error", answer, err)
	}
}

func TestAskReturnsWhenItsContextIsCanceled(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := Ask(ctx, New(), func(time.Duration) int { return 1 }); !errors.Is(err, context.Canceled) {
		t.Errorf("Ask returned error %v, want context.Canceled", err)
	}
}

func TestAskReturnsWhenTheQueueIsClosed(t *testing.T) {
	queue := New()
	queue.Close()
	if _, err := Ask(t.Context(), queue, func(time.Duration) int { return 1 }); !errors.Is(err, ErrStopped) {
		t.Errorf("Ask returned error %v, want ErrStopped", err)
	}
}

func TestOfferNeverWaits(t *testing.T) {
	queue := New()
	for i := range capacity {
		if !queue.Offer(func(time.Duration) {}) {
			t.Fatalf("Offer rejected event %d of a queue that is not full", i)
		}
	}
	if queue.Offer(func(time.Duration) {}) {
		t.Error("Offer queued an event beyond the capacity")
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if queue.Post(ctx, func(time.Duration) {}) {
		t.Error("Post queued an event beyond the capacity")
	}
}
