package registry

import (
	"context"
	"errors"
	"time"
)

// DefaultMaxHops bounds how often an update is forwarded.
const DefaultMaxHops = 3

// ErrHopLimit means that an update was forwarded too often: section 7.17 has no
// loop detection, so the number of hops is bounded instead.
var ErrHopLimit = errors.New("registry: update was forwarded too often")

// Forwarder passes updates from a secondary toward the primary (section 6).
type Forwarder struct {
	Exchanger Exchanger
	// Timeout bounds the wait for one source. Default DefaultServerTimeout.
	Timeout time.Duration
	// MaxHops bounds the forwardings of one update. Default DefaultMaxHops.
	MaxHops int
}

// Forward asks the sources of this secondary in order, and answers what the first
// reachable one answers, whatever its code (section 6.6). The next source is asked
// only if no answer came (section 6.5). hops counts the forwardings before this
// one. Without an answer the code is ServFail (section 2.2) and the error says
// why; the update may then have been applied, unless the error is ErrHopLimit.
func (f *Forwarder) Forward(ctx context.Context, sources []string, hops int, update *Update) (Result, error) {
	limit := f.MaxHops
	if limit <= 0 {
		limit = DefaultMaxHops
	}
	unanswered := Result{Code: ServFail, FailedIndex: -1}
	if hops < 0 || hops >= limit {
		return unanswered, ErrHopLimit
	}
	failures := []error{ErrNoServer}
	for _, source := range sources {
		result, err := exchange(ctx, f.Exchanger, f.Timeout, source, hops+1, update)
		if err == nil {
			return result, nil
		}
		failures = append(failures, &ServerError{Server: source, Err: err})
		if ctx.Err() != nil {
			break
		}
	}
	return unanswered, errors.Join(failures...)
}
