package checker

import (
	"fmt"
	"time"

	"github.com/deckpulley/deckpulley/internal/eventlog"
)

const (
	// retryWindow is the time over which retries are counted.
	retryWindow = 10 * time.Second
	// retryStep is the time from one window to the next.
	retryStep = time.Second
	// maximumRetryRatio is the allowed ratio of retries to first attempts.
	maximumRetryRatio = 0.20
	// minimumFirstAttempts is the number of first attempts in a window below which there
	// is no meaningful ratio.
	minimumFirstAttempts = 40
	// retryEvidence is the number of retries that a violation shows.
	retryEvidence = 2
)

// checkRetries compares retries with first attempts over sliding windows.
func checkRetries(x *index, _ Options, verdict *Verdict) {
	verdict.Bound = &Bound{Allowed: maximumRetryRatio, Unit: "retries per first attempt"}
	if len(x.received) == 0 {
		return
	}
	start := x.received[0].At
	for from := start; from+int64(retryWindow) <= x.end; from += int64(retryStep) {
		first, retries := countAttempts(x.receivedAfter(from-1), from+int64(retryWindow))
		if first < minimumFirstAttempts {
			continue
		}
		verdict.Examined += first + len(retries)
		ratio := float64(len(retries)) / float64(first)
		verdict.measure(ratio)
		if ratio > maximumRetryRatio {
			summary := fmt.Sprintf("%d further attempts beside %d first ones in the %v from %.1f s",
				len(retries), first, retryWindow, time.Duration(from-start).Seconds())
			verdict.addViolation(summary, retries[max(0, len(retries)-retryEvidence):]...)
		}
	}
}

// countAttempts returns the number of first attempts and the retries received before
// the given time.
func countAttempts(received []eventlog.Event, before int64) (first int, retries []eventlog.Event) {
	for _, event := range received {
		if event.At >= before {
			break
		}
		if event.Attempt <= 1 {
			first++
			continue
		}
		retries = append(retries, event)
	}
	return first, retries
}
