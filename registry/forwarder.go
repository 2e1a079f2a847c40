package registry

import (
	"context"
	"errors"
	"time"
)

// DefaultMaxHops is how often an update is forwarded at most.
const DefaultMaxHops = 3

// ErrHopLimit means that an update was forwarded too often: the draft has no loop
// detection (section 7.17), so the number of hops is limited instead.
var ErrHopLimit = errors.New("registry: update was forwarded too often")

// Forwarder passes updates from a secondary toward the primary (section 6).
type Forwarder struct {
	Exchanger Exchanger
	// Timeout limits the wait for one source; 0 is DefaultServerTimeout.
	Timeout time.Duration
	// MaxHops limits the forwardings of one update; 0 is DefaultMaxHops.
	MaxHops int
}

// Forward sends the update to the sources of this secondary in order and returns
// the first answer, whatever its code (section 6.6). The next source is tried only
// if no answer came (section 6.5). hops is the number of forwardings before this
// one. Without an answer the code is ServFail (section 2.2) and the error says
// why; the update may then have been applied, unless the error is ErrHopLimit.
func (f *Forwarder) Forward(ctx context.Context, sources []string, hops int, update *Update) (Result, error) {
	limit := f.MaxHops
	if limit <= 0 {
		limit = DefaultMaxHops
	}
	if hops < 0 || hops >= limit {
		return unanswered(), ErrHopLimit
	}
	sequence := serverSequence{
		exchanger:  f.Exchanger,
		timeout:    f.Timeout,
		hops:       hops + 1,
		conclusive: func(ResponseCode) bool { return true },
	}
	return sequence.send(ctx, sources, update)
}
