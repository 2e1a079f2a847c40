package experiment

import (
	"slices"
	"time"

	"github.com/deckpulley/deckpulley/internal/emulator"
)

// Result holds the figures of one run, or of several merged runs, without the warm-up.
type Result struct {
	// Answered, Refused and Unfinished count requests. Unfinished requests were in flight
	// at the end of the run.
	Answered   int
	Refused    int
	Unfinished int
	// HitRate is the fraction of all prefix tokens that replicas found in their KV caches.
	HitRate float64
	// The FirstToken fields are quantiles of the time to first token, the Gap fields
	// quantiles of the mean time between two tokens of a request. For FirstToken, a
	// refused request counts like the request with the slowest first token, so that
	// refusals do not improve the figures.
	FirstTokenP50, FirstTokenP95, FirstTokenP99 time.Duration
	GapP50, GapP95                              time.Duration
	// InFlight is the mean number of requests in flight in the whole fleet.
	InFlight float64

	totalPrefixTokens, cachedTokens int
	firstTokens                     []time.Duration
	gaps                            []time.Duration
	inFlightTime                    time.Duration
	measuredTime                    time.Duration
}

// addAnswer adds the figures of one complete answer.
func (r *Result) addAnswer(done *attempt, end emulator.Event) {
	r.Answered++
	r.totalPrefixTokens += prefixTokens(done.request)
	r.cachedTokens += end.CachedTokens
	r.firstTokens = append(r.firstTokens, done.firstTokenAt-done.request.At)
	r.inFlightTime += end.At - done.request.At
	if end.Index > 1 {
		r.gaps = append(r.gaps, (end.At-done.firstTokenAt)/time.Duration(end.Index-1))
	}
}

// merge adds the result of another run, whose configuration differs only in the seed.
func (r *Result) merge(other *Result) {
	r.Answered += other.Answered
	r.Refused += other.Refused
	r.Unfinished += other.Unfinished
	r.totalPrefixTokens += other.totalPrefixTokens
	r.cachedTokens += other.cachedTokens
	r.firstTokens = append(r.firstTokens, other.firstTokens...)
	r.gaps = append(r.gaps, other.gaps...)
	r.inFlightTime += other.inFlightTime
	r.measuredTime += other.measuredTime
	r.computeFigures()
}

// computeFigures computes the exported rates and quantiles from the added answers.
func (r *Result) computeFigures() {
	r.HitRate = float64(r.cachedTokens) / float64(max(1, r.totalPrefixTokens))
	r.InFlight = float64(r.inFlightTime) / float64(max(1, r.measuredTime))
	r.FirstTokenP50 = quantile(r.firstTokens, r.Refused, 0.5)
	r.FirstTokenP95 = quantile(r.firstTokens, r.Refused, 0.95)
	r.FirstTokenP99 = quantile(r.firstTokens, r.Refused, 0.99)
	r.GapP50 = quantile(r.gaps, 0, 0.5)
	r.GapP95 = quantile(r.gaps, 0, 0.95)
}

// quantile returns the value at a rank from 0 to 1 among the values and extra additional
// copies of the largest value. It returns 0 if there are no values. It sorts values in
// place.
func quantile(values []time.Duration, extra int, rank float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	position := int(rank * float64(len(values)+extra))
	return values[min(len(values)-1, position)]
}
