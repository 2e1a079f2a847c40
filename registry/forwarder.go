package registry

import (
	"context"
	"errors"
	"time"
)

// DefaultMaxHops is the default maximum number of times that an update is forwarded.
const DefaultMaxHops = 3

// ErrHopLimit means that an update has reached the limit of forwardings. The draft has
// no loop detection (section 7.17), so the number of hops is limited instead.
var ErrHopLimit = errors.New("registry: update has reached the hop limit")

// Forwarder forwards updates from a secondary toward the primary (section 6).
type Forwarder struct {
	Exchanger Exchanger
	// Timeout limits the wait for one source; 0 selects DefaultServerTimeout.
	Timeout time.Duration
	// MaxHops limits how often one update is forwarded; 0 selects DefaultMaxHops.
	MaxHops int
}

// Forward sends the update to the sources of this secondary in order and returns
// the first answer, whatever its code (section 6.6). The next source is tried only
// if there was no answer (section 6.5). hops is the number of times that the update
// has already been forwarded. Without an answer the code is ServFail (section 2.2) and
// the error gives the reason; the update may have been applied nevertheless, unless the
// error is ErrHopLimit.
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
