package loadexchange

import (
	"time"

	"github.com/deckpulley/deckpulley/peer"
)

// reporter is a gateway's side towards its aggregator.
type reporter struct {
	// placed and read are what the aggregator has yet to be told.
	placed   []peer.PlacedPrompt
	read     []peer.PrefillSample
	urgent   bool
	reported time.Time

	aggregator string
	// answered says that the aggregator was heard since it was chosen, and heardAt
	// when it was chosen or heard the last time.
	answered bool
	heardAt  time.Time
	suspects map[string]*suspicion
}

// suspicion is an aggregator that fell silent.
type suspicion struct {
	until time.Time
	wait  time.Duration
}

// report tells the aggregator what is new, or that this gateway is there.
func (x *Exchange) report(now time.Time, effects *Effects) {
	own := &x.own
	if now.Before(own.due(now)) {
		return
	}
	if len(x.gateways) == 0 {
		own.placed, own.read, own.urgent = nil, nil, false
		own.reported = now
		return
	}
	x.chooseAggregator(now)
	report := &peer.ReplicaLoads{Gateway: x.name, Loads: x.loads.Loads(), PlacedPrompts: own.placed, PrefillSamples: own.read}
	own.placed, own.read, own.urgent = nil, nil, false
	own.reported = now
	if own.aggregator == x.name {
		x.sum.take(now, report)
		return
	}
	address := x.gateways[own.aggregator].Address
	effects.Outgoing = append(effects.Outgoing, Outgoing{Address: address, Report: report})
}

// due is when the next report is to be sent.
func (r *reporter) due(now time.Time) time.Time {
	switch {
	case r.urgent:
		return now
	case len(r.placed)+len(r.read) > 0:
		return r.reported.Add(reportPause)
	default:
		return r.reported.Add(reportInterval)
	}
}

// chooseAggregator suspects one that is silent, and names the first owner of the
// group who is not suspected.
func (x *Exchange) chooseAggregator(now time.Time) {
	own := &x.own
	if own.aggregator != "" && own.aggregator != x.name && now.Sub(own.heardAt) > own.patience() {
		own.suspect(now)
		x.counts.Suspicions++
	}
	passed := func(name string) bool {
		known, suspected := own.suspects[name]
		return suspected && now.Before(known.until)
	}
	chosen := x.owner(x.region, x.near(), passed)
	if chosen == "" {
		chosen = x.name // the registry does not name this gateway yet
	}
	if chosen != own.aggregator {
		own.aggregator, own.heardAt, own.answered = chosen, now, false
	}
}

// patience is how long the aggregator may be silent.
func (r *reporter) patience() time.Duration {
	if r.answered {
		return silence
	}
	return firstSilence
}

// suspect passes the silent aggregator over for a time that doubles.
func (r *reporter) suspect(now time.Time) {
	known, before := r.suspects[r.aggregator]
	if !before {
		known = &suspicion{wait: firstSuspicion}
		r.suspects[r.aggregator] = known
	} else {
		known.wait = min(2*known.wait, longestSuspicion)
	}
	known.until = now.Add(known.wait)
}

// heard notes a digest of the aggregator.
func (r *reporter) heard(now time.Time) {
	r.heardAt, r.answered = now, true
	delete(r.suspects, r.aggregator)
}
