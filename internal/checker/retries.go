package checker

import (
	"fmt"
	"time"

	"github.com/deckpulley/deckpulley/internal/eventlog"
)

const (
	// retryWindow is the length of the sliding window in which retries are counted.
	retryWindow = 10 * time.Second
	// retryStep is the time between the starts of consecutive windows.
	retryStep = time.Second
	// maximumRetryRatio is the allowed ratio of retries to first attempts.
	maximumRetryRatio = 0.20
	// minimumFirstAttempts is the number of first attempts that a window needs for a
	// meaningful ratio.
	minimumFirstAttempts = 40
	// retryEvidence is the maximum number of retries listed as evidence of a violation.
	retryEvidence = 2
)

// checkRetries compares the number of retries with that of first attempts in sliding
// windows.
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
			summary := fmt.Sprintf("%d retries for %d first attempts in the %v from %.1f s",
				len(retries), first, retryWindow, time.Duration(from-start).Seconds())
			verdict.addViolation(summary, retries[max(0, len(retries)-retryEvidence):]...)
		}
	}
}

// countAttempts returns the number of first attempts and the retries among the events
// received before the given time.
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
