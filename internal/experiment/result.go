package experiment

import (
	"slices"
	"time"

	"github.com/deckpulley/deckpulley/internal/emulator"
)

// Result sums up one run after its warm-up.
type Result struct {
	// Answered and Refused count requests; Unfinished were still on their way.
	Answered   int
	Refused    int
	Unfinished int
	// HitRate is the part of the shared prefix tokens found in KV caches.
	HitRate float64
	// FirstToken and Gap are quantiles over the requests; the gap is the mean
	// time between two tokens of a request. A refused request counts as one with
	// the slowest first token, so that refusing makes nothing look faster.
	FirstTokenP50, FirstTokenP95, FirstTokenP99 time.Duration
	GapP50, GapP95                              time.Duration
	// InFlight is the mean number of requests on the whole fleet.
	InFlight float64

	prefix, cached int
	firstTokens    []time.Duration
	gaps           []time.Duration
	held           time.Duration
	length         time.Duration
}

// add counts one whole answer.
func (r *Result) add(done *attempt, end emulator.Event) {
	r.Answered++
	r.prefix += prefixTokens(done.request)
	r.cached += end.CachedTokens
	r.firstTokens = append(r.firstTokens, done.first-done.request.At)
	r.held += end.At - done.request.At
	if end.Index > 1 {
		r.gaps = append(r.gaps, (end.At-done.first)/time.Duration(end.Index-1))
	}
}

// merge adds another run of the same kind.
func (r *Result) merge(other *Result) {
	r.Answered += other.Answered
	r.Refused += other.Refused
	r.Unfinished += other.Unfinished
	r.prefix += other.prefix
	r.cached += other.cached
	r.firstTokens = append(r.firstTokens, other.firstTokens...)
	r.gaps = append(r.gaps, other.gaps...)
	r.held += other.held
	r.length += other.length
	r.finish()
}

// finish computes the figures from what was added.
func (r *Result) finish() {
	r.HitRate = float64(r.cached) / float64(max(1, r.prefix))
	r.InFlight = float64(r.held) / float64(max(1, r.length))
	r.FirstTokenP50 = quantile(r.firstTokens, r.Refused, 0.5)
	r.FirstTokenP95 = quantile(r.firstTokens, r.Refused, 0.95)
	r.FirstTokenP99 = quantile(r.firstTokens, r.Refused, 0.99)
	r.GapP50 = quantile(r.gaps, 0, 0.5)
	r.GapP95 = quantile(r.gaps, 0, 0.95)
}

// quantile sorts the values and returns the one at the rank among them and a
// number of others that are as large as the largest; 0 without values.
func quantile(values []time.Duration, largest int, rank float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	position := int(rank * float64(len(values)+largest))
	return values[min(len(values)-1, position)]
}
