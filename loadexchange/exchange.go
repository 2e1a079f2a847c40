// Package loadexchange shares what the gateways of a fleet have under way at
// replicas, so that each places requests by the load of all.
//
// The gateways of a region form groups of at most about 16, and each group has an
// aggregator: the gateway that owns the region's name by rendezvous among those that
// are up and have the widest links. The gateways of a group report to it, and it
// sends them digests; the aggregators of one region exchange digests, and so do those
// of different regions, more seldom: a digest from another region goes to one group,
// which passes it on to the others. So a gateway sends to one other, whatever the
// number of gateways, and an aggregator to its group and one of each other group. Its
// digests are bounded by a budget of messages and of bytes a second.
//
// The role has no election. Whoever gets reports sends digests to those who sent
// them. A gateway that hears no digests takes its aggregator for lost and reports to
// the next owner. Two aggregators at a time, as in a cut, each know a part of the
// load: placement is less even, nothing else rests on it.
//
// The package is pure: it takes reports, digests and the time, and returns what is
// to be sent and what the own gateway has learnt.
package loadexchange

import (
	"slices"
	"time"

	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/placement"
)

const (
	// reportInterval is the longest time between two reports to the aggregator. It
	// also renews the gateway's place among those who get digests.
	reportInterval = 200 * time.Millisecond
	// reportPause is the least time between two reports, but for urgent news.
	reportPause = 10 * time.Millisecond
	// heartbeat is the longest time between two digests: they also tell that the
	// aggregator lives. sumsInterval is the one between two with the sums of all loads,
	// and coarseAge how long news wait before prompts are no longer told by themselves.
	heartbeat    = 240 * time.Millisecond
	sumsInterval = 960 * time.Millisecond
	coarseAge    = 480 * time.Millisecond
	// farInterval is the time between two digests with sums to another region's
	// aggregator, and farPause the least one between two of any kind.
	farInterval = 960 * time.Millisecond
	farPause    = 240 * time.Millisecond
	// pressingPause takes the place of farPause when a pressing prompt is to be told:
	// they are few, and whoever does not know of one waits as long behind it.
	pressingPause = 40 * time.Millisecond
	// digestTime is an aggregator's time for sending one digest to one gateway, and
	// calmPause how much longer the pause between two is without urgent news.
	digestTime = time.Millisecond
	calmPause  = 4
	// linkShare is the part of an aggregator's link that its digests may take, and
	// defaultLinkMbps is taken for a link that is not told.
	linkShare       = 0.2
	defaultLinkMbps = 10
	// memberAge is how long a report makes its sender a member.
	memberAge = 1500 * time.Millisecond
	// othersAge is how long the sums of other groups and regions count.
	othersAge = 2500 * time.Millisecond
	// silence is how long an aggregator may send nothing before it is suspected, and
	// firstSilence how long one that was just chosen may.
	silence      = 700 * time.Millisecond
	firstSilence = 400 * time.Millisecond
	// firstSuspicion is how long an aggregator is passed over for its silence. It
	// doubles up to longestSuspicion while nothing is heard of it. It is longer than
	// the way through several owners that are all lost.
	firstSuspicion   = 4 * time.Second
	longestSuspicion = 16 * time.Second
	// urgentReading is the time to read a prompt that is told within the region
	// without delay, longReading one that is told everywhere so, and pressingReading
	// one that is told everywhere before all others.
	urgentReading   = 40
	longReading     = 200
	pressingReading = 300
	// mostReading bounds the reading of one prompt that is believed, in milliseconds.
	mostReading = 10_000
)

// Gateway is another gateway, or the own one.
type Gateway struct {
	Region string
	// Address is its peers' address.
	Address string
	// LinkMbps is what its network link carries, in Mbit/s; 0 is not told.
	LinkMbps int
}

// LoadSource tells what the own gateway has under way.
type LoadSource interface {
	// Loads returns the own load by replica.
	Loads() map[peer.ReplicaKey]peer.Load
	// RegionOf returns the region of a replica, "" if it is not known.
	RegionOf(replica peer.ReplicaKey) string
}

// Outgoing is one message and whom it goes to. One of the messages is set.
type Outgoing struct {
	Address string
	Report  *peer.ReplicaLoads
	Digest  *peer.LoadDigest
}

// Effects are what follows from a step.
type Effects struct {
	Outgoing []Outgoing
	// Observed is what the own gateway has learnt of others.
	Observed []peer.RegionLoads
	// Reschedule says that the next step is due earlier than was told.
	Reschedule bool
}

// Exchange is one gateway's part. It is not safe for concurrent use.
type Exchange struct {
	name     string
	region   string
	loads    LoadSource
	gateways map[string]Gateway
	groups   map[string][][]string // the gateways of each region, by group

	own    reporter
	sum    aggregator
	counts Counts
}

// New returns the exchange of a gateway that knows no others yet.
func New(name, region string, loads LoadSource) *Exchange {
	x := &Exchange{name: name, region: region, loads: loads}
	x.own.suspects = make(map[string]*suspicion)
	x.sum = newAggregator()
	return x
}

// SetGateways takes over which gateways are up.
func (x *Exchange) SetGateways(gateways map[string]Gateway) {
	x.gateways = gateways
	regions := make(map[string][]string)
	for name, gateway := range gateways {
		regions[gateway.Region] = append(regions[gateway.Region], name)
	}
	x.groups = make(map[string][][]string, len(regions))
	for region, names := range regions {
		x.groups[region] = split(names)
	}
}

// RecordPlacement notes a prompt that the own gateway gave to a replica. A long one is told
// with the next step, without delay.
func (x *Exchange) RecordPlacement(prompt peer.PlacedPrompt) {
	prompt.Gateway = peer.NewReplicaKey(x.name)
	x.own.placed = append(x.own.placed, prompt)
	x.own.urgent = x.own.urgent || isUrgent(&prompt)
}

// RecordPrefill notes what a prompt told of a replica's speed.
func (x *Exchange) RecordPrefill(prompt peer.PrefillSample) {
	x.own.read = append(x.own.read, prompt)
}

// Step does what is due and returns when to step again at the latest.
func (x *Exchange) Step(now time.Time) (Effects, time.Time) {
	var effects Effects
	x.report(now, &effects)
	x.aggregate(now, &effects)
	x.counts.count(effects.Outgoing)
	return effects, x.next(now)
}

// next is the earliest time at which something will be due.
func (x *Exchange) next(now time.Time) time.Time {
	next := x.own.due(now)
	if due, acting := x.sum.due(); acting && due.Before(next) {
		next = due
	}
	return next
}

// HandleReport takes a gateway's report in: this gateway is its aggregator.
func (x *Exchange) HandleReport(now time.Time, report *peer.ReplicaLoads) {
	x.counts.ReportsReceived++
	x.sum.take(now, report)
}

// HandleDigest takes a digest in: from the own aggregator, or from that of another
// group or region to be passed on.
func (x *Exchange) HandleDigest(now time.Time, digest *peer.LoadDigest) Effects {
	var effects Effects
	x.counts.DigestsReceived++
	sender, known := x.gateways[digest.Aggregator]
	if !known {
		return effects
	}
	switch {
	case sender.Region != x.region:
		x.sum.relayFar(now, digest)
		effects.Reschedule = x.sum.relayed.urgent
	case digest.Aggregator == x.own.aggregator:
		x.own.heard(now)
		observe(digest, &effects)
	case x.groupOf(digest.Aggregator) != x.groupOf(x.name):
		x.sum.peers[x.groupOf(digest.Aggregator)] = peerGroup{heard: digest.Aggregator, at: now}
		x.sum.relayPeer(now, digest)
		effects.Reschedule = x.sum.relayed.urgent
	}
	return effects
}

// observe returns a digest as what the own gateway learns from it. The digest may be
// on its way to others, so nothing in it is changed.
func observe(digest *peer.LoadDigest, effects *Effects) {
	for i := range digest.Regions {
		part := digest.Regions[i]
		part.PrefillTotals = bounded(part.PrefillTotals, func(added *peer.PrefillTotal) *int { return &added.PrefillMS })
		part.PlacedPrompts = bounded(part.PlacedPrompts, func(placed *peer.PlacedPrompt) *int { return &placed.PrefillMS })
		effects.Observed = append(effects.Observed, part)
	}
}

// bounded returns a list with readings that can be believed: a new one if any was
// beyond the bounds.
func bounded[Item any](list []Item, reading func(*Item) *int) []Item {
	believed := func(item Item) bool {
		value := *reading(&item)
		return value >= -mostReading && value <= mostReading
	}
	if !slices.ContainsFunc(list, func(item Item) bool { return !believed(item) }) {
		return list
	}
	list = slices.Clone(list)
	for i := range list {
		value := reading(&list[i])
		*value = min(max(*value, -mostReading), mostReading)
	}
	return list
}

// owner is the gateway of a group that aggregates: one with the widest link, passing
// over some.
func (x *Exchange) owner(region string, names []string, passed func(name string) bool) string {
	widest := -1
	var left []string
	for _, name := range names {
		link := x.gateways[name].LinkMbps
		if passed(name) || link < widest {
			continue
		}
		if link > widest {
			widest, left = link, nil
		}
		left = append(left, name)
	}
	if len(left) == 0 {
		left = names
	}
	return placement.Owner(region, left)
}

// nobody is passed over.
func nobody(string) bool { return false }
