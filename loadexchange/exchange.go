// Package loadexchange shares the load that the gateways of a fleet have in flight at
// replicas, so that each gateway places requests by the load of all of them.
//
// The gateways of a region form groups of about 16 at most. Each group has an
// aggregator: the gateway that owns the region's name by rendezvous hashing among the
// gateways that are up and have the widest link. The gateways of a group report to the
// aggregator, and it sends them digests. The aggregators of one region exchange
// digests, and so do those of different regions, less often: a digest from another
// region goes to one group, which forwards it to the others. A gateway therefore sends
// to one other gateway, whatever their number, and an aggregator sends to its group
// and to one aggregator of each other group and region. Its digests are bounded by a
// budget of messages and of bytes a second.
//
// There is no election. A gateway that receives reports sends digests to those that
// sent them. A gateway that receives no digests suspects its aggregator of having
// failed and reports to the next owner. If two gateways aggregate at once, as in a
// network partition, each knows a part of the load: placement is less even, and
// nothing else depends on it.
//
// Exchange is pure: it takes reports, digests and the time, and returns the messages
// to send and what the own gateway has learned. Node runs one.
package loadexchange

import (
	"time"

	"github.com/deckpulley/deckpulley/peer"
)

// Gateway is a gateway that takes part in the exchange, the own one included.
type Gateway struct {
	Region string
	// Address is the address at which other nodes reach it.
	Address string
	// LinkMbps is the capacity of its network link in Mbit/s; 0 if it is not known.
	LinkMbps int
}

// LoadSource gives an Exchange the load of the own gateway.
type LoadSource interface {
	// Loads returns the own gateway's load by replica.
	Loads() map[peer.ReplicaKey]peer.Load
	// RegionOf returns the region of a replica, "" if it is not known.
	RegionOf(replica peer.ReplicaKey) string
}

// Outgoing is one message and its destination. Exactly one of Report and Digest is set.
type Outgoing struct {
	Address string
	Report  *peer.ReplicaLoads
	Digest  *peer.LoadDigest
}

// Effects are what the caller has to carry out after a step.
type Effects struct {
	// Outgoing are the messages to send.
	Outgoing []Outgoing
	// Observed is what the own gateway has learned of the load of others.
	Observed []peer.RegionLoads
	// Reschedule says that the next step is due earlier than Step last returned.
	Reschedule bool
}

// Exchange is one gateway's part in the exchange. It is not safe for concurrent use.
type Exchange struct {
	name     string
	region   string
	loads    LoadSource
	gateways map[string]Gateway
	// groups has the names of the gateways of each region, by number of their group.
	groups map[string][][]string

	reporter   reporter
	aggregator aggregator
	counts     Counts
}

// New returns the Exchange of the named gateway, which knows no other gateways until
// SetGateways is called.
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
func (x *Exchange) SetGateways(gateways map[string]Gateway) {
	x.gateways = gateways
	regions := make(map[string][]string)
	for name, gateway := range gateways {
		regions[gateway.Region] = append(regions[gateway.Region], name)
	}
	x.groups = make(map[string][][]string, len(regions))
	for region, names := range regions {
		x.groups[region] = splitIntoGroups(names)
	}
}

// RecordPlacement records a prompt that the own gateway placed at a replica. A long
// prompt makes the next step report at once.
func (x *Exchange) RecordPlacement(prompt peer.PlacedPrompt) {
	prompt.Gateway = peer.NewReplicaKey(x.name)
	x.reporter.placed = append(x.reporter.placed, prompt)
	x.reporter.urgent = x.reporter.urgent || isUrgent(&prompt)
}

// RecordPrefill records a measurement of a replica's prefill speed.
func (x *Exchange) RecordPrefill(sample peer.PrefillSample) {
	x.reporter.samples = append(x.reporter.samples, sample)
}

// Step does what is due and returns the latest time for the next step.
func (x *Exchange) Step(now time.Time) (Effects, time.Time) {
	var effects Effects
	x.report(now, &effects)
	x.aggregate(now, &effects)
	x.counts.countSent(effects.Outgoing)
	return effects, x.nextDue(now)
}

// nextDue returns the earliest time at which a report or digest is due.
func (x *Exchange) nextDue(now time.Time) time.Time {
	next := x.reporter.due(now)
	if due, aggregating := x.aggregator.due(); aggregating && due.Before(next) {
		next = due
	}
	return next
}

// HandleReport processes a report from a gateway that has chosen this one as its
// aggregator.
func (x *Exchange) HandleReport(now time.Time, report *peer.ReplicaLoads) {
	x.counts.ReportsReceived++
	x.aggregator.addReport(now, report)
}

// HandleDigest processes a digest from the own aggregator, or one from the aggregator
// of another group or region that this gateway relays to its members. A digest from
// any other gateway is ignored.
func (x *Exchange) HandleDigest(now time.Time, digest *peer.LoadDigest) Effects {
	var effects Effects
	x.counts.DigestsReceived++
	sender, known := x.gateways[digest.Aggregator]
	if !known {
		return effects
	}
	group := x.groupOf(digest.Aggregator)
	switch {
	case sender.Region != x.region:
		x.aggregator.relayCrossRegion(now, digest)
		effects.Reschedule = x.aggregator.relayed.urgent
	case digest.Aggregator == x.reporter.aggregator:
		x.reporter.contacted(now)
		observe(digest, &effects)
	case group != x.groupOf(x.name):
		x.aggregator.peerGroups[group] = peerGroup{aggregator: digest.Aggregator, receivedAt: now}
		x.aggregator.relayIntraRegion(now, digest)
		effects.Reschedule = x.aggregator.relayed.urgent
	}
	return effects
}
