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
	// aggregatorTimeout is how long an aggregator may send nothing before it is
	// suspected, and firstContactTimeout is the same for one that was just chosen and
	// has not been heard from.
	aggregatorTimeout   = 700 * time.Millisecond
	firstContactTimeout = 400 * time.Millisecond
	// minSuspicion is how long an aggregator is excluded when it is suspected. The time
	// doubles up to maxSuspicion as long as nothing is received from it. It is longer
	// than trying several owners that have all failed takes.
	minSuspicion = 4 * time.Second
	maxSuspicion = 16 * time.Second
)

// reporter is a gateway's side towards its aggregator.
type reporter struct {
	// placed and samples are to go into the next report. If urgent is set, that report
	// is due at once.
	placed  []peer.PlacedPrompt
	samples []peer.PrefillSample
	urgent  bool
	// lastReport is when the last report was made.
	lastReport time.Time

	// aggregator is the gateway that this one reports to, "" before the first report.
	aggregator string
	// responded says that the aggregator has sent a digest since it was chosen, and
	// lastContact when it was chosen or last sent one.
	responded   bool
	lastContact time.Time
	// suspicions are by name of the suspected gateway.
	suspicions map[string]*suspicion
}

// suspicion excludes an aggregator that timed out from being chosen.
type suspicion struct {
	expiry   time.Time
	duration time.Duration
}

// report sends the aggregator the report that is due.
func (x *Exchange) report(now time.Time, effects *Effects) {
	r := &x.reporter
	if now.Before(r.due(now)) {
		return
	}
	if len(x.gateways) == 0 {
		r.reset(now)
		return
	}
	x.chooseAggregator(now)
	report := &peer.ReplicaLoads{
		Gateway:        x.name,
		Loads:          x.loads.Loads(),
		PlacedPrompts:  r.placed,
		PrefillSamples: r.samples,
	}
	r.reset(now)
	if r.aggregator == x.name {
		x.aggregator.addReport(now, report)
		return
	}
	address := x.gateways[r.aggregator].Address
	effects.Outgoing = append(effects.Outgoing, Outgoing{Address: address, Report: report})
}

// reset clears what was to be reported.
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

// chooseAggregator suspects an aggregator that has timed out, and chooses the owner of
// the group among the gateways that are not suspected.
func (x *Exchange) chooseAggregator(now time.Time) {
	r := &x.reporter
	remote := r.aggregator != "" && r.aggregator != x.name
	if remote && now.Sub(r.lastContact) > r.timeout() {
		r.suspect(now)
		x.counts.Suspicions++
	}
	suspected := func(name string) bool {
		known, found := r.suspicions[name]
		return found && now.Before(known.expiry)
	}
	chosen := x.owner(x.region, x.ownGroup(), suspected)
	if chosen == "" {
		chosen = x.name // the registry does not have this gateway yet
	}
	if chosen != r.aggregator {
		r.aggregator, r.lastContact, r.responded = chosen, now, false
	}
}

// timeout returns how long the aggregator may send nothing.
func (r *reporter) timeout() time.Duration {
	if r.responded {
		return aggregatorTimeout
	}
	return firstContactTimeout
}

// suspect excludes the aggregator for a time that doubles with each suspicion.
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

// contacted records that a digest of the aggregator was received.
func (r *reporter) contacted(now time.Time) {
	r.lastContact = now
	r.responded = true
	delete(r.suspicions, r.aggregator)
}
