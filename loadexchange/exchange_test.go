package loadexchange

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/peer"
)

// seeds is the number of seeds of TestUpdatesReachAllGateways, TestAggregatorFailover and
// TestBothSidesOfPartitionAggregate.
const seeds = 20

// TestUpdatesReachAllGateways checks that each other gateway of the region observes a placed
// prompt exactly once, and so does each gateway of other regions if the prompt is urgent,
// within the stated times.
func TestUpdatesReachAllGateways(t *testing.T) {
	tests := map[string]struct {
		prefillMS                int
		intraRegion, crossRegion time.Duration // 0 means that it is never observed
	}{
		"not urgent":            {15, 300 * time.Millisecond, 0},
		"urgent in its region":  {60, 100 * time.Millisecond, 1400 * time.Millisecond},
		"urgent in all regions": {250, 100 * time.Millisecond, 500 * time.Millisecond},
		// A critical prompt delays others by itself, so that its update is sent to other
		// regions with a shorter interval.
		"critical": {400, 100 * time.Millisecond, 180 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				s := newSimulation(t, seed, map[string]int{"north": 29, "south": 12})
				s.run(3*time.Second + time.Duration(seed)*37*time.Millisecond)
				placer := s.nonAggregator("north")
				start := s.now
				placer.place("north-replica", test.prefillMS)
				s.run(2 * time.Second)
				for name, g := range s.gateways {
					bound := test.intraRegion
					if s.up[name].Region == "south" {
						bound = test.crossRegion
					}
					observed := g.observed["north-replica"]
					switch {
					case g == placer || bound == 0:
						if len(observed) != 0 {
							t.Errorf("seed %d: gateway %s observed the prompt, want no observation", seed, name)
						}
					case len(observed) != 1 || observed[0].Sub(start) > bound:
						t.Errorf("seed %d: gateway %s observed the prompt %d times, after %v; want once in time", seed, name, len(observed), durationsSince(observed, start))
					}
				}
			}
		})
	}
}

// durationsSince returns the durations from start to each of the given times.
func durationsSince(times []time.Time, start time.Time) []time.Duration {
	var after []time.Duration
	for _, at := range times {
		after = append(after, at.Sub(start))
	}
	return after
}

// TestSumsExcludeOwnLoad checks that each gateway receives the sum of the loads of all other
// gateways, without its own.
func TestSumsExcludeOwnLoad(t *testing.T) {
	s := newSimulation(t, 1, map[string]int{"north": 5, "south": 3})
	for _, g := range s.gateways {
		g.load = map[peer.ReplicaKey]peer.Load{s.key("north-replica"): {Requests: 2, Tokens: 1000}, s.key("south-replica"): {Requests: 1}}
	}
	s.run(4 * time.Second)
	for name, g := range s.gateways {
		total := peer.Load{}
		for _, loads := range g.sums {
			total = total.Add(loads[s.key("north-replica")])
		}
		if total.Requests != 14 || total.Tokens != 7000 {
			t.Errorf("gateway %s received a total load of %+v, want the 14 requests and 7000 tokens of the 7 others", name, total)
		}
	}
}

// Load and limits of TestCostPerGatewayDoesNotGrowWithFleet. One in five prompts is urgent.
const (
	promptsPerSecond  = 310 // in each region
	replicasPerRegion = 40
	measuredSeconds   = 5
	// maxDigestsPerSecond limits the digests of all kinds that an aggregator sends.
	maxDigestsPerSecond = 1200
	// maxReceivedBytesPerSecond limits what a gateway receives.
	maxReceivedBytesPerSecond = 14_000
	// maxNarrowLinkBytesPerSecond limits what an aggregator sends over a link of 10 Mbit/s
	// to 1.2 times the share that its digests may use.
	maxNarrowLinkBytesPerSecond = 1.2 * linkShare * 10_000_000 / 8
)

// TestCostPerGatewayDoesNotGrowWithFleet checks that with ten times as many gateways and the
// same number of requests in a region, one gateway receives no more messages than before,
// and at most 1.3 times as many bytes, and sends at most 1.3 times as many messages. It also
// checks that the digests of an aggregator stay within their budget.
func TestCostPerGatewayDoesNotGrowWithFleet(t *testing.T) {
	few, many := measureCost(t, 13, 100), measureCost(t, 134, 100)
	if many.sent > 1.3*few.sent || many.received > few.received || many.receivedBytes > 1.3*few.receivedBytes {
		t.Errorf("the cost per gateway and second grows from %+v with 13 gateways in a region to %+v with 134", few, many)
	}
	if few.receivedBytes > maxReceivedBytesPerSecond {
		t.Errorf("a gateway receives %.0f bytes per second, want at most %d", few.receivedBytes, maxReceivedBytesPerSecond)
	}
	for _, cost := range []gatewayCost{few, many} {
		if cost.aggregator > maxDigestsPerSecond {
			t.Errorf("with %d gateways in a region an aggregator sends %.0f digests per second, want at most %d", cost.gateways, cost.aggregator, maxDigestsPerSecond)
		}
	}
	for _, gateways := range []int{29, 134} {
		narrow := measureCost(t, gateways, 0)
		if sent := narrow.aggregatorBytes; sent > maxNarrowLinkBytesPerSecond {
			t.Errorf("with %d gateways in a region an aggregator sends %.0f bytes per second over a link of 10 Mbit/s, more than 1.2 times its share", gateways, sent)
		}
	}
}

// TestGatewayWithWidestLinkAggregates checks that the gateway with the widest link is the
// aggregator, and that the one with the second widest replaces it when it fails.
func TestGatewayWithWidestLinkAggregates(t *testing.T) {
	s := newSimulation(t, 1, map[string]int{"north": 9})
	for name, link := range map[string]int{"north-003": 100, "north-006": 50} {
		gateway := s.up[name]
		gateway.LinkMbps = link
		s.up[name] = gateway
	}
	s.run(2 * time.Second)
	if got := s.aggregator("north").name; got != "north-003" {
		t.Errorf("the aggregator is %s, want north-003, which has the widest link", got)
	}
	s.gateways["north-003"].paused = true
	s.run(2 * aggregatorTimeout)
	if got := s.aggregator("north").name; got != "north-006" {
		t.Errorf("after a failure the aggregator is %s, want north-006, which has the second widest link", got)
	}
}

// gatewayCost is the cost of the exchange per second: the maximum over the gateways that do
// not aggregate, and the maximum over the aggregators.
type gatewayCost struct {
	gateways                      int
	sent, received, receivedBytes float64
	// aggregator and aggregatorBytes are the numbers of messages and bytes that an
	// aggregator sends.
	aggregator, aggregatorBytes float64
}

// measureCost measures the cost in a fleet of two regions with the given number of gateways
// each. A linkMbps of 0 means that the capacity of the links is unknown.
func measureCost(t *testing.T, gateways, linkMbps int) gatewayCost {
	t.Helper()
	s := newSimulation(t, 3, map[string]int{"north": gateways, "south": gateways})
	for name, gateway := range s.up {
		gateway.LinkMbps = linkMbps
		s.up[name] = gateway
	}
	s.run(2 * time.Second)
	for _, g := range s.gateways {
		g.sent, g.received, g.receivedBytes, g.sentBytes = 0, 0, 0, 0
	}
	for n := range 2 * promptsPerSecond * measuredSeconds {
		region := []string{"north", "south"}[n%2]
		g := s.gateways[fmt.Sprintf("%s-%03d", region, s.random.IntN(gateways))]
		prefillMS := 15
		if s.random.IntN(5) == 0 {
			prefillMS = 60
		}
		replica := fmt.Sprintf("%s-replica-%d", region, s.random.IntN(replicasPerRegion))
		g.load[s.key(replica)] = peer.Load{Requests: 1, Tokens: 12_000}
		s.at(time.Duration(s.random.Int64N(int64(measuredSeconds*time.Second))), func() { g.place(replica, prefillMS) })
	}
	s.run(measuredSeconds * time.Second)
	cost := gatewayCost{gateways: gateways}
	for _, g := range s.gateways {
		if len(g.exchange.aggregator.members) > 0 {
			cost.aggregator = max(cost.aggregator, float64(g.sent)/measuredSeconds)
			cost.aggregatorBytes = max(cost.aggregatorBytes, float64(g.sentBytes)/measuredSeconds)
			continue
		}
		cost.sent = max(cost.sent, float64(g.sent)/measuredSeconds)
		cost.received = max(cost.received, float64(g.received)/measuredSeconds)
		cost.receivedBytes = max(cost.receivedBytes, float64(g.receivedBytes)/measuredSeconds)
	}
	return cost
}

// TestAggregatorFailover checks that the gateways soon report to one successor when an
// aggregator is paused, so that updates are distributed again, and that they return to the
// first aggregator after it resumes.
func TestAggregatorFailover(t *testing.T) {
	for seed := range uint64(seeds) {
		s := newSimulation(t, seed, map[string]int{"north": 12, "south": 3})
		s.run(3 * time.Second)
		first := s.aggregator("north")
		first.paused = true
		s.run(aggregatorTimeout + 2*maxReportInterval)
		second := s.aggregator("north")
		if second == first {
			t.Fatalf("seed %d: most gateways still report to the paused aggregator", seed)
		}
		checkUpdates(t, s, seed, "north-second", first)
		first.resume()
		s.run(maxSuspicion)
		if s.aggregator("north") != first {
			t.Errorf("seed %d: most gateways do not report to the first aggregator again after it resumed", seed)
		}
		checkUpdates(t, s, seed, "north-third", nil)
	}
}

// checkUpdates places a prompt and checks that all other gateways of the region north,
// except the given one, observe it exactly once.
func checkUpdates(t *testing.T, s *simulation, seed uint64, replica string, except *simulatedGateway) {
	t.Helper()
	placer := s.nonAggregator("north", except)
	placer.place(replica, 60)
	s.run(time.Second)
	for name, g := range s.gateways {
		if g == placer || g == except || s.up[name].Region != "north" {
			continue
		}
		if count := len(g.observed[replica]); count != 1 {
			t.Errorf("seed %d: gateway %s observed %d prompts at %s, want 1", seed, name, count, replica)
		}
	}
}

// TestBothSidesOfPartitionAggregate checks that each side of a network partition has an
// aggregator of its own, and that updates reach all gateways again after the partition has
// healed.
func TestBothSidesOfPartitionAggregate(t *testing.T) {
	for seed := range uint64(seeds) {
		s := newSimulation(t, seed, map[string]int{"north": 10})
		s.run(2 * time.Second)
		side := func(name string) bool { return name < "north-005" }
		s.partitioned = func(from, to string) bool { return side(from) != side(to) }
		s.run(3 * time.Second)
		low, high := s.gateways["north-001"], s.gateways["north-008"]
		low.place("north-low", 60)
		high.place("north-high", 60)
		s.run(time.Second)
		for name, g := range s.gateways {
			own, other := "north-low", "north-high"
			if !side(name) {
				own, other = other, own
			}
			if g != low && g != high && len(g.observed[own]) != 1 || len(g.observed[other]) != 0 {
				t.Errorf("seed %d: gateway %s observed %d prompts of its own side of the partition and %d of the other, want 1 and 0", seed, name, len(g.observed[own]), len(g.observed[other]))
			}
		}
		s.partitioned = func(string, string) bool { return false }
		s.run(maxSuspicion)
		checkUpdates(t, s, seed, "north-after", nil)
	}
}

// TestInvalidDigestsAreIgnoredOrClamped checks that digests from unknown gateways, and from
// gateways of the own group other than the aggregator, are not observed, and that prefill
// times are clamped.
func TestInvalidDigestsAreIgnoredOrClamped(t *testing.T) {
	s := newSimulation(t, 1, map[string]int{"north": 4, "south": 2})
	s.run(2 * time.Second)
	g := s.nonAggregator("north")
	deliver := func(name string, prefillMS int) Effects {
		return g.exchange.HandleDigest(s.now, &peer.LoadDigest{Aggregator: name, Regions: []peer.RegionLoads{{
			Region: "north", Aggregator: name, Complete: true,
			PrefillTotals: []peer.PrefillTotal{{Replica: s.key("north-replica"), PrefillMS: prefillMS}},
			PlacedPrompts: []peer.PlacedPrompt{{Replica: s.key("north-replica"), PrefillMS: prefillMS}},
		}}})
	}
	for i := range 4 {
		name := fmt.Sprintf("north-%03d", i)
		if effects := deliver(name, 10); (len(effects.Observed) > 0) != (name == s.aggregator("north").name) {
			t.Errorf("a digest of %s: observed %+v, want an observation only if it is the aggregator", name, effects.Observed)
		}
	}
	if effects := deliver("unknown-gateway", 10); len(effects.Observed) > 0 {
		t.Errorf("a digest from an unknown gateway is observed")
	}
	for _, outOfBounds := range []int{1 << 40, -1 << 40} {
		for _, part := range deliver(s.aggregator("north").name, outOfBounds).Observed {
			for _, prefillMS := range []int{part.PrefillTotals[0].PrefillMS, part.PlacedPrompts[0].PrefillMS} {
				if prefillMS > maxPrefillMS || prefillMS < -maxPrefillMS {
					t.Errorf("observed a prefill time of %d ms, which is not clamped", prefillMS)
				}
			}
		}
	}
}

// TestSingleGatewaySendsNothing checks that the only gateway of a fleet, and a gateway that
// knows no gateways yet, send no messages.
func TestSingleGatewaySendsNothing(t *testing.T) {
	s := newSimulation(t, 1, map[string]int{"north": 1})
	s.run(2 * time.Second)
	g := s.gateways["north-000"]
	g.place("north-replica", 100)
	s.run(2 * time.Second)
	fresh := New("fresh", "north", g)
	fresh.RecordPlacement(peer.PlacedPrompt{Replica: s.key("north-replica"), PrefillMS: 100})
	effects, next := fresh.Step(s.now)
	if g.sent > 0 || len(effects.Outgoing) > 0 {
		t.Errorf("the only gateway sent %d messages, and the one that knows no gateways %+v; want none", g.sent, effects.Outgoing)
	}
	if !next.After(s.now) {
		t.Errorf("the next step is due immediately, want it later")
	}
}

// TestStatus checks that the aggregator's status counts all gateways of its region as
// members, that theirs name it with a recent contact, and that they count its failure.
func TestStatus(t *testing.T) {
	s := newSimulation(t, 11, map[string]int{"north": 12, "south": 3})
	s.run(3 * time.Second)
	first := s.aggregator("north")
	for name, g := range s.gateways {
		if s.up[name].Region != "north" {
			continue
		}
		status := g.exchange.Status(s.now)
		if status.Aggregator != first.name || status.SinceLastContact > aggregatorTimeout {
			t.Errorf("the status of %s has aggregator %q, last contact %v ago; want %s and a recent contact", name, status.Aggregator, status.SinceLastContact, first.name)
		}
		if g == first && (status.Members != 12 || status.Counts.DigestsSent == 0 || status.Counts.ReportsReceived == 0) {
			t.Errorf("the status of the aggregator is %+v, want 12 members, digests sent and reports received", status)
		}
		if g != first && (status.Members != 0 || status.Counts.ReportsSent == 0 || status.Counts.DigestsReceived == 0) {
			t.Errorf("the status of %s is %+v, want no members, reports sent and digests received", name, status)
		}
	}
	first.paused = true
	s.run(2 * aggregatorTimeout)
	for name, g := range s.gateways {
		if s.up[name].Region == "north" && g != first && g.exchange.Status(s.now).Counts.Suspicions == 0 {
			t.Errorf("gateway %s did not count a suspicion of its failed aggregator", name)
		}
	}
}

// TestUrgentUpdatesInLargeRegions checks, in three regions of 100 gateways with prompts that
// are urgent in all regions, that updates reach the other gateways of their region with a
// short delay, and that the digests of an aggregator stay within 1.2 times their share of
// the link.
func TestUrgentUpdatesInLargeRegions(t *testing.T) {
	const (
		gateways, replicas = 100, 53
		prompts            = 270 // per second and region
		length             = 4   // seconds
		prefillMS          = crossRegionUrgentPrefillMS + 10
		maxDelay           = 150 * time.Millisecond
		maxDigestBytes     = 16 << 10
	)
	regions := []string{"east1", "north", "south"}
	for seed := range uint64(3) {
		s := newSimulation(t, seed, map[string]int{"east1": gateways, "north": gateways, "south": gateways})
		s.run(2 * time.Second)
		s.delays = nil
		for _, g := range s.gateways {
			g.sentBytes, g.largest = 0, 0
		}
		for n := range 3 * prompts * length {
			region := regions[n%3]
			g := s.gateways[fmt.Sprintf("%s-%03d", region, s.random.IntN(gateways))]
			replica := fmt.Sprintf("%s-replica-%d", region, s.random.IntN(replicas))
			g.load[s.key(replica)] = peer.Load{Requests: 1, Tokens: 12_000}
			s.at(time.Duration(s.random.Int64N(int64(length*time.Second))), func() { g.place(replica, prefillMS+n) })
		}
		s.run((length + 1) * time.Second)
		if delay := quantile(s.delays, 0.95); delay > maxDelay {
			t.Errorf("seed %d: the 95th percentile of the delay of updates within their region is %v, want at most %v", seed, delay, maxDelay)
		}
		if want := prompts * length * (gateways - 1) * 3; len(s.delays) < want*99/100 {
			t.Errorf("seed %d: %d updates with single prompts were observed within their regions, want at least 99%% of %d", seed, len(s.delays), want)
		}
		for name, g := range s.gateways {
			if sent := float64(g.sentBytes) / length; sent > maxNarrowLinkBytesPerSecond {
				t.Errorf("seed %d: gateway %s sends %.0f bytes per second over a link of 10 Mbit/s, more than 1.2 times its share", seed, name, sent)
			}
			if g.largest > maxDigestBytes {
				t.Errorf("seed %d: gateway %s sent a message of %d bytes, which is too large", seed, name, g.largest)
			}
		}
	}
}

// quantile returns a quantile of the list, which it sorts in place, or 0 if the list is
// empty.
func quantile(list []time.Duration, fraction float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[int(fraction*float64(len(list)-1))]
}

// TestGatewayNotYetKnownAggregates checks that a gateway aggregates its own reports and
// sends digests to other regions while no gateway of its own region, not even itself, is
// known.
func TestGatewayNotYetKnownAggregates(t *testing.T) {
	s := newSimulation(t, 4, map[string]int{"north": 1, "south": 3})
	single := s.gateways["north-000"]
	others := map[string]Gateway{}
	for name, gateway := range s.up {
		if gateway.Region == "south" {
			others[name] = gateway
		}
	}
	single.exchange.SetGateways(others)
	s.run(time.Second)
	single.place("south-replica", 400)
	s.run(2 * time.Second)
	if status := single.exchange.Status(s.now); status.Aggregator != "north-000" || status.Members != 1 {
		t.Errorf("the status of the gateway is %+v, want it to be its own aggregator and only member", status)
	}
	if observed := len(s.nonAggregator("south").observed["south-replica"]); observed != 1 {
		t.Errorf("a gateway of the other region observed the prompt %d times, want once", observed)
	}
}
