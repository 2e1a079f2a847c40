package loadexchange

import (
	"time"

	"github.com/deckpulley/deckpulley/peer"
)

const (
	// maxReportInterval is the longest time between two reports to the aggregator. A
	// report also renews the gateway's membership.
	maxReportInterval = 200 * time.Millisecond
	// minReportInterval is the shortest time between two reports, unless one of the
	// prompts to report is urgent.
	minReportInterval = 10 * time.Millisecond
	// aggregatorTimeout is how long an aggregator may send nothing before it is suspected of
	// having failed. firstContactTimeout is the same for an aggregator that has sent nothing
	// since it was chosen.
	aggregatorTimeout   = 700 * time.Millisecond
	firstContactTimeout = 400 * time.Millisecond
	// minSuspicion is how long an aggregator is excluded when it is first suspected. The
	// time doubles with each further suspicion, up to maxSuspicion, until something is
	// received from the aggregator. It is longer than it takes to try several owners that
	// have all failed.
	minSuspicion = 4 * time.Second
	maxSuspicion = 16 * time.Second
)

// reporter is the state of a gateway as a sender of reports to its aggregator.
type reporter struct {
	// placed and samples are for the next report. If urgent is set, that report is due
	// immediately.
	placed  []peer.PlacedPrompt
	samples []peer.PrefillSample
	urgent  bool
	// lastReport is the time of the last report.
	lastReport time.Time

	// aggregator is the gateway that this one reports to, "" before the first report.
	aggregator string
	// responded reports whether the aggregator has sent a digest since it was chosen, and
	// lastContact is when it was chosen or last sent one.
	responded   bool
	lastContact time.Time
	// suspicions holds the suspicions by name of the suspected gateway.
	suspicions map[string]*suspicion
}

// suspicion excludes an aggregator that timed out from being chosen until its expiry.
type suspicion struct {
	expiry   time.Time
	duration time.Duration
}

// report sends a report to the aggregator if one is due.
func (e *Exchange) report(now time.Time, effects *Effects) {
	r := &e.reporter
	if now.Before(r.due(now)) {
		return
	}
	if len(e.gateways) == 0 {
		r.reset(now)
		return
	}
	e.chooseAggregator(now)
	report := &peer.ReplicaLoads{
		Gateway:        e.name,
		Loads:          e.loads.Loads(),
		PlacedPrompts:  r.placed,
		PrefillSamples: r.samples,
	}
	r.reset(now)
	if r.aggregator == e.name {
		e.aggregator.addReport(now, report)
		return
	}
	address := e.gateways[r.aggregator].Address
	effects.Outgoing = append(effects.Outgoing, Outgoing{Address: address, Report: report})
}

// reset clears the contents of the next report and records the time of the last one.
func (r *reporter) reset(now time.Time) {
	r.placed, r.samples, r.urgent = nil, nil, false
	r.lastReport = now
}

// due returns the time of the next report.
func (r *reporter) due(now time.Time) time.Time {
	switch {
	case r.urgent:
		return now
	case len(r.placed)+len(r.samples) > 0:
		return r.lastReport.Add(minReportInterval)
	default:
		return r.lastReport.Add(maxReportInterval)
	}
}

// chooseAggregator suspects the aggregator if it has timed out, and chooses the owner of the
// own group among the gateways that are not suspected.
func (e *Exchange) chooseAggregator(now time.Time) {
	r := &e.reporter
	remote := r.aggregator != "" && r.aggregator != e.name
	if remote && now.Sub(r.lastContact) > r.timeout() {
		r.suspect(now)
		e.counts.Suspicions++
	}
	suspected := func(name string) bool {
		known, found := r.suspicions[name]
		return found && now.Before(known.expiry)
	}
	chosen := e.owner(e.region, e.ownGroup(), suspected)
	if chosen == "" {
		chosen = e.name // no gateway of the own region is known yet
	}
	if chosen != r.aggregator {
		r.aggregator, r.lastContact, r.responded = chosen, now, false
	}
}

// timeout returns how long the aggregator may send nothing before it is suspected.
func (r *reporter) timeout() time.Duration {
	if r.responded {
		return aggregatorTimeout
	}
	return firstContactTimeout
}

// suspect excludes the current aggregator for a time that doubles with each suspicion.
func (r *reporter) suspect(now time.Time) {
	known, found := r.suspicions[r.aggregator]
	if found {
		known.duration = min(2*known.duration, maxSuspicion)
	} else {
		known = &suspicion{duration: minSuspicion}
		r.suspicions[r.aggregator] = known
	}
	known.expiry = now.Add(known.duration)
}

// recordContact records that a digest was received from the aggregator, and ends a
// suspicion of it.
func (r *reporter) recordContact(now time.Time) {
	r.lastContact = now
	r.responded = true
	delete(r.suspicions, r.aggregator)
}
