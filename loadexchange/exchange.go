// Package loadexchange distributes the load that each gateway has in flight at replicas to
// the other gateways, so that each of them places requests by the load of all gateways.
//
// The gateways of a region are divided into groups of about 16 at most. Each group has an
// aggregator, which is chosen by rendezvous hashing of the region's name among the gateways
// of the group that are up and have the widest network link. The gateways of a group send
// reports to their aggregator, and it sends digests to them. The aggregators of a region
// exchange digests with each other and, less often, with those of other regions. A digest
// from another region is sent to one group, which forwards it to the others. A gateway
// therefore sends to only one other gateway, however many there are, and an aggregator
// sends to the members of its group and to one aggregator of each other group and region.
// The digests of an aggregator are limited to a budget of messages and bytes per second.
//
// Aggregators are not elected. A gateway that receives reports sends digests to their
// senders. A gateway that receives no digests suspects that its aggregator has failed, and
// reports to the gateway that is next by rendezvous hashing. If two gateways of a group
// aggregate at the same time, for example during a network partition, each of them knows a
// part of the load only. Requests are then placed less evenly; nothing else is affected.
//
// Exchange implements the protocol without I/O, clocks or goroutines: its input is reports,
// digests and the current time, and its output is the messages to send and the loads of
// other gateways. Node runs an Exchange.
package loadexchange

import (
	"time"

	"github.com/deckpulley/deckpulley/peer"
)

// Gateway describes a gateway that takes part in the exchange, the own one included.
type Gateway struct {
	Region string
	// Address is the address at which other nodes reach it.
	Address string
	// LinkMbps is the capacity of its network link in Mbit/s; 0 if it is unknown.
	LinkMbps int
}

// LoadSource provides the load of the own gateway to an Exchange.
type LoadSource interface {
	// Loads returns the own gateway's load by replica.
	Loads() map[peer.ReplicaKey]peer.Load
	// RegionOf returns the region of a replica, "" if it is unknown.
	RegionOf(replica peer.ReplicaKey) string
}

// Outgoing is one message and its destination. Exactly one of Report and Digest is set.
type Outgoing struct {
	Address string
	Report  *peer.ReplicaLoads
	Digest  *peer.LoadDigest
}

// Effects is the output of Step or HandleDigest, which the caller must carry out.
type Effects struct {
	// Outgoing are the messages to send.
	Outgoing []Outgoing
	// Observed holds the loads and updates of other gateways.
	Observed []peer.RegionLoads
	// Reschedule reports that Step must be called again now, earlier than the time that it
	// returned last.
	Reschedule bool
}

// Exchange is the state of one gateway in the exchange. It is not safe for concurrent use.
type Exchange struct {
	name     string
	region   string
	loads    LoadSource
	gateways map[string]Gateway
	// groups holds the names of the gateways by region and by number of their group.
	groups map[string][][]string

	reporter   reporter
	aggregator aggregator
	counts     Counts
}

// New returns the Exchange of the named gateway. It knows no gateways until SetGateways is
// called.
func New(name, region string, loads LoadSource) *Exchange {
	return &Exchange{
		name:       name,
		region:     region,
		loads:      loads,
		reporter:   reporter{suspicions: make(map[string]*suspicion)},
		aggregator: newAggregator(),
	}
}

// SetGateways replaces the set of gateways that are up.
func (e *Exchange) SetGateways(gateways map[string]Gateway) {
	e.gateways = gateways
	regions := make(map[string][]string)
	for name, gateway := range gateways {
		regions[gateway.Region] = append(regions[gateway.Region], name)
	}
	e.groups = make(map[string][][]string, len(regions))
	for region, names := range regions {
		e.groups[region] = splitIntoGroups(names)
	}
}

// RecordPlacement records a prompt that the own gateway placed at a replica. If its prefill
// is long enough to be urgent, the next step sends a report.
func (e *Exchange) RecordPlacement(prompt peer.PlacedPrompt) {
	prompt.Gateway = peer.NewReplicaKey(e.name)
	e.reporter.placed = append(e.reporter.placed, prompt)
	e.reporter.urgent = e.reporter.urgent || isUrgent(&prompt)
}

// RecordPrefill records a measurement of a replica's prefill speed for the next report.
func (e *Exchange) RecordPrefill(sample peer.PrefillSample) {
	e.reporter.samples = append(e.reporter.samples, sample)
}

// Step sends the report and the digests that are due. It returns the time by which Step
// must be called again.
func (e *Exchange) Step(now time.Time) (Effects, time.Time) {
	var effects Effects
	e.report(now, &effects)
	e.aggregate(now, &effects)
	e.counts.countSent(effects.Outgoing)
	return effects, e.nextDue(now)
}

// nextDue returns the earliest time at which a report or digest is due.
func (e *Exchange) nextDue(now time.Time) time.Time {
	next := e.reporter.due(now)
	if due, aggregating := e.aggregator.due(); aggregating && due.Before(next) {
		next = due
	}
	return next
}

// HandleReport processes a report from a gateway that uses this one as its aggregator.
func (e *Exchange) HandleReport(now time.Time, report *peer.ReplicaLoads) {
	e.counts.ReportsReceived++
	e.aggregator.addReport(now, report)
}

// HandleDigest processes a digest. A digest from the own aggregator is returned as observed.
// A digest from the aggregator of another group or region is queued to be relayed to the
// members of this gateway. Digests from other gateways are ignored.
func (e *Exchange) HandleDigest(now time.Time, digest *peer.LoadDigest) Effects {
	var effects Effects
	e.counts.DigestsReceived++
	sender, known := e.gateways[digest.Aggregator]
	if !known {
		return effects
	}
	group := e.groupOf(digest.Aggregator)
	switch {
	case sender.Region != e.region:
		e.aggregator.relayCrossRegion(now, digest)
		effects.Reschedule = e.aggregator.memberRelay.urgent
	case digest.Aggregator == e.reporter.aggregator:
		e.reporter.recordContact(now)
		addObserved(digest, &effects)
	case group != e.groupOf(e.name):
		e.aggregator.peerGroups[group] = peerGroup{aggregator: digest.Aggregator, receivedAt: now}
		e.aggregator.relayIntraRegion(now, digest)
		effects.Reschedule = e.aggregator.memberRelay.urgent
	}
	return effects
}
