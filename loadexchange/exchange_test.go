package loadexchange

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/peer"
)

const seeds = 20

// TestNewsReachesEverybody: a prompt is known to the gateways of its region and, if
// it concerns them, of others, within stated times, once each.
func TestNewsReachesEverybody(t *testing.T) {
	tests := map[string]struct {
		readingMS int
		near, far time.Duration // 0: not told
	}{
		"short": {15, 300 * time.Millisecond, 0},
		"long":  {60, 100 * time.Millisecond, 1400 * time.Millisecond},
		"huge":  {250, 100 * time.Millisecond, 500 * time.Millisecond},
		// One that makes others late by itself is known far away soon.
		"pressing": {400, 100 * time.Millisecond, 180 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				w := newWorld(t, seed, map[string]int{"north": 29, "south": 12})
				w.run(3*time.Second + time.Duration(seed)*37*time.Millisecond)
				placer := w.other("north")
				began := w.now
				placer.place("north-replica", test.readingMS)
				w.run(2 * time.Second)
				for name, g := range w.gateways {
					bound := test.near
					if w.up[name].Region == "south" {
						bound = test.far
					}
					heard := g.heard["north-replica"]
					switch {
					case g == placer || bound == 0:
						if len(heard) != 0 {
							t.Errorf("seed %d: %s hears of it", seed, name)
						}
					case len(heard) != 1 || heard[0].Sub(began) > bound:
						t.Errorf("seed %d: %s hears of it %d times, within %v", seed, name, len(heard), since(heard, began))
					}
				}
			}
		})
	}
}

func since(heard []time.Time, began time.Time) []time.Duration {
	var after []time.Duration
	for _, at := range heard {
		after = append(after, at.Sub(began))
	}
	return after
}

// TestSumsLeaveTheOwnLoadOut: each gateway knows what the others have under way.
func TestSumsLeaveTheOwnLoadOut(t *testing.T) {
	w := newWorld(t, 1, map[string]int{"north": 5, "south": 3})
	for _, g := range w.gateways {
		g.load = map[peer.ReplicaKey]peer.Load{w.key("north-replica"): {Requests: 2, Tokens: 1000}, w.key("south-replica"): {Requests: 1}}
	}
	w.run(4 * time.Second)
	for name, g := range w.gateways {
		total := peer.Load{}
		for _, loads := range g.sums {
			total = total.Add(loads[w.key("north-replica")])
		}
		if total.Requests != 14 || total.Tokens != 7000 {
			t.Errorf("%s knows of %+v, want the 14 requests of the 7 others", name, total)
		}
	}
}

// Load of a region in TestCostDoesNotGrowWithTheSquare: prompts a second, one in five
// of them long, for so many replicas.
const (
	regionPrompts  = 310
	regionReplicas = 40
	costSeconds    = 5
	// mostDigests is what an aggregator may send a second, of all kinds.
	mostDigests = 1200
	// mostBytes is what a gateway may get a second.
	mostBytes = 14_000
	// narrowLink is what an aggregator on a link of 10 Mbit/s may send a second.
	narrowLink = 1.2 * linkShare * 10_000_000 / 8
)

// TestCostDoesNotGrowWithTheSquare: with ten times the gateways and the same requests
// a region, what one gateway sends and gets does not grow, and an aggregator's
// digests stay within its budget.
func TestCostDoesNotGrowWithTheSquare(t *testing.T) {
	few, many := exchangeCost(t, 13, 100), exchangeCost(t, 134, 100)
	if many.sent > 1.3*few.sent || many.got > few.got || many.gotBytes > 1.3*few.gotBytes {
		t.Errorf("a second and gateway: %+v with 13 gateways a region, %+v with 134", few, many)
	}
	if few.gotBytes > mostBytes {
		t.Errorf("a gateway gets %.0f bytes a second, more than %d", few.gotBytes, mostBytes)
	}
	for _, cost := range []regionCost{few, many} {
		if cost.aggregator > mostDigests {
			t.Errorf("%d gateways: an aggregator sends %.0f digests a second, at most %d are wanted", cost.gateways, cost.aggregator, mostDigests)
		}
	}
	for _, gateways := range []int{29, 134} {
		narrow := exchangeCost(t, gateways, 0)
		if sent := narrow.aggregatorBytes; sent > narrowLink {
			t.Errorf("an aggregator of %d gateways sends %.0f bytes a second over a link of 10 Mbit/s", gateways, sent)
		}
	}
}

// TestTheWidestLinkAggregates: and the next widest when it is silent.
func TestTheWidestLinkAggregates(t *testing.T) {
	w := newWorld(t, 1, map[string]int{"north": 9})
	for name, link := range map[string]int{"north-003": 100, "north-006": 50} {
		gateway := w.up[name]
		gateway.LinkMbps = link
		w.up[name] = gateway
	}
	w.run(2 * time.Second)
	if got := w.aggregator("north").name; got != "north-003" {
		t.Errorf("%s aggregates, want the one with the widest link", got)
	}
	w.gateways["north-003"].frozen = true
	w.run(2 * silence)
	if got := w.aggregator("north").name; got != "north-006" {
		t.Errorf("%s aggregates, want the next widest", got)
	}
}

// regionCost is what the exchange costs a second: a gateway at the most, and the
// aggregator.
type regionCost struct {
	gateways            int
	sent, got, gotBytes float64
	// aggregator and aggregatorBytes are what the one that sends most does.
	aggregator, aggregatorBytes float64
}

func exchangeCost(t *testing.T, gateways, linkMbps int) regionCost {
	t.Helper()
	w := newWorld(t, 3, map[string]int{"north": gateways, "south": gateways})
	for name, gateway := range w.up {
		gateway.LinkMbps = linkMbps
		w.up[name] = gateway
	}
	w.run(2 * time.Second)
	for _, g := range w.gateways {
		g.sent, g.got, g.gotBytes, g.sentBytes = 0, 0, 0, 0
	}
	for n := range 2 * regionPrompts * costSeconds {
		region := []string{"north", "south"}[n%2]
		g := w.gateways[fmt.Sprintf("%s-%03d", region, w.random.IntN(gateways))]
		reading := 15
		if w.random.IntN(5) == 0 {
			reading = 60
		}
		replica := fmt.Sprintf("%s-replica-%d", region, w.random.IntN(regionReplicas))
		g.load[w.key(replica)] = peer.Load{Requests: 1, Tokens: 12_000}
		w.at(time.Duration(w.random.Int64N(int64(costSeconds*time.Second))), func() { g.place(replica, reading) })
	}
	w.run(costSeconds * time.Second)
	cost := regionCost{gateways: gateways}
	for _, g := range w.gateways {
		if len(g.exchange.sum.members) > 0 {
			cost.aggregator = max(cost.aggregator, float64(g.sent)/costSeconds)
			cost.aggregatorBytes = max(cost.aggregatorBytes, float64(g.sentBytes)/costSeconds)
			continue
		}
		cost.sent = max(cost.sent, float64(g.sent)/costSeconds)
		cost.got = max(cost.got, float64(g.got)/costSeconds)
		cost.gotBytes = max(cost.gotBytes, float64(g.gotBytes)/costSeconds)
	}
	return cost
}

// TestASilentAggregatorIsReplaced: within a second the gateways report to the same
// successor, news passes again, and it all goes back when the first one does.
func TestASilentAggregatorIsReplaced(t *testing.T) {
	for seed := range uint64(seeds) {
		w := newWorld(t, seed, map[string]int{"north": 12, "south": 3})
		w.run(3 * time.Second)
		first := w.aggregator("north")
		first.frozen = true
		w.run(silence + 2*reportInterval)
		second := w.aggregator("north")
		if second == first {
			t.Fatalf("seed %d: everybody still reports to a frozen aggregator", seed)
		}
		checkNews(t, w, seed, "north-second", first)
		first.thaw()
		w.run(longestSuspicion)
		if w.aggregator("north") != first {
			t.Errorf("seed %d: nobody reports to the first one again", seed)
		}
		checkNews(t, w, seed, "north-third", nil)
	}
}

// checkNews places a prompt and holds that all others in touch hear of it, once.
func checkNews(t *testing.T, w *world, seed uint64, replica string, except *worldGateway) {
	t.Helper()
	placer := w.other("north", except)
	placer.place(replica, 60)
	w.run(time.Second)
	for name, g := range w.gateways {
		if g == placer || g == except || w.up[name].Region != "north" {
			continue
		}
		if count := len(g.heard[replica]); count != 1 {
			t.Errorf("seed %d: %s hears %d times of %s", seed, name, count, replica)
		}
	}
}

// TestBothSidesOfACutGoOn: each side has an aggregator of its own, and after the cut
// there is one again.
func TestBothSidesOfACutGoOn(t *testing.T) {
	for seed := range uint64(seeds) {
		w := newWorld(t, seed, map[string]int{"north": 10})
		w.run(2 * time.Second)
		side := func(name string) bool { return name < "north-005" }
		w.cut = func(from, to string) bool { return side(from) != side(to) }
		w.run(3 * time.Second)
		low, high := w.gateways["north-001"], w.gateways["north-008"]
		low.place("north-low", 60)
		high.place("north-high", 60)
		w.run(time.Second)
		for name, g := range w.gateways {
			own, other := "north-low", "north-high"
			if !side(name) {
				own, other = other, own
			}
			if g != low && g != high && len(g.heard[own]) != 1 || len(g.heard[other]) != 0 {
				t.Errorf("seed %d: %s hears %d times of its side, %d of the other", seed, name, len(g.heard[own]), len(g.heard[other]))
			}
		}
		w.cut = func(string, string) bool { return false }
		w.run(longestSuspicion)
		checkNews(t, w, seed, "north-after", nil)
	}
}

// TestWhatADigestMayNotDo: digests of others than the own
// aggregator, absurd readings and unknown senders change nothing, or little.
func TestWhatADigestMayNotDo(t *testing.T) {
	w := newWorld(t, 1, map[string]int{"north": 4, "south": 2})
	w.run(2 * time.Second)
	g := w.other("north")
	liar := func(name string, readingMS int) Effects {
		return g.exchange.HandleDigest(w.now, &peer.LoadDigest{Aggregator: name, Regions: []peer.RegionLoads{{
			Region: "north", Aggregator: name, Complete: true,
			PrefillTotals: []peer.PrefillTotal{{Replica: w.key("north-replica"), PrefillMS: readingMS}},
			PlacedPrompts: []peer.PlacedPrompt{{Replica: w.key("north-replica"), PrefillMS: readingMS}},
		}}})
	}
	for i := range 4 {
		name := fmt.Sprintf("north-%03d", i)
		if effects := liar(name, 10); (len(effects.Observed) > 0) != (name == w.aggregator("north").name) {
			t.Errorf("a digest of %s is believed: %+v", name, effects.Observed)
		}
	}
	if effects := liar("nobody", 10); len(effects.Observed) > 0 {
		t.Errorf("a digest of a gateway that is not up is believed")
	}
	for _, absurd := range []int{1 << 40, -1 << 40} {
		for _, part := range liar(w.aggregator("north").name, absurd).Observed {
			for _, told := range []int{part.PrefillTotals[0].PrefillMS, part.PlacedPrompts[0].PrefillMS} {
				if told > mostReading || told < -mostReading {
					t.Errorf("a reading of %d ms is believed", told)
				}
			}
		}
	}
}

// TestAGatewayAloneSendsNothing: one that knows no others, or is the only one.
func TestAGatewayAloneSendsNothing(t *testing.T) {
	w := newWorld(t, 1, map[string]int{"north": 1})
	w.run(2 * time.Second)
	g := w.gateways["north-000"]
	g.place("north-replica", 100)
	w.run(2 * time.Second)
	fresh := New("fresh", "north", g)
	fresh.RecordPlacement(peer.PlacedPrompt{Replica: w.key("north-replica"), PrefillMS: 100})
	effects, next := fresh.Step(w.now)
	if g.sent > 0 || len(effects.Outgoing) > 0 {
		t.Errorf("%d messages sent, and %+v", g.sent, effects.Outgoing)
	}
	if !next.After(w.now) {
		t.Errorf("a step is due at once, again and again")
	}
}

// TestStatusNamesTheAggregator: one gateway of a region counts all as its members,
// the others name it and heard it lately, and its loss is counted.
func TestStatusNamesTheAggregator(t *testing.T) {
	w := newWorld(t, 11, map[string]int{"north": 12, "south": 3})
	w.run(3 * time.Second)
	first := w.aggregator("north")
	for name, g := range w.gateways {
		if w.up[name].Region != "north" {
			continue
		}
		status := g.exchange.Status(w.now)
		if status.Aggregator != first.name || status.SinceLastContact > silence {
			t.Errorf("%s names %q, silent for %v; want %s", name, status.Aggregator, status.SinceLastContact, first.name)
		}
		if g == first && (status.Members != 12 || status.Counts.DigestsSent == 0 || status.Counts.ReportsReceived == 0) {
			t.Errorf("the aggregator's status is %+v", status)
		}
		if g != first && (status.Members != 0 || status.Counts.ReportsSent == 0 || status.Counts.DigestsReceived == 0) {
			t.Errorf("%s's status is %+v", name, status)
		}
	}
	first.frozen = true
	w.run(2 * silence)
	for name, g := range w.gateways {
		if w.up[name].Region == "north" && g != first && g.exchange.Status(w.now).Counts.Suspicions == 0 {
			t.Errorf("%s did not count the loss of its aggregator", name)
		}
	}
}

// TestLongPromptsReachALargeRegion: in three regions of 100 gateways, with prompts
// that take longer to read than what is told everywhere at once, news stays fresh
// within the region and an aggregator's digests stay within its link.
func TestLongPromptsReachALargeRegion(t *testing.T) {
	const (
		gateways, replicas = 100, 53
		prompts            = 270 // a second and region
		length             = 4   // seconds
		readingMS          = longReading + 10
		mostAge            = 150 * time.Millisecond
		mostDigest         = 16 << 10
	)
	regions := []string{"east1", "north", "south"}
	for seed := range uint64(3) {
		w := newWorld(t, seed, map[string]int{"east1": gateways, "north": gateways, "south": gateways})
		w.run(2 * time.Second)
		w.ages = nil
		for _, g := range w.gateways {
			g.sentBytes, g.largest = 0, 0
		}
		for n := range 3 * prompts * length {
			region := regions[n%3]
			g := w.gateways[fmt.Sprintf("%s-%03d", region, w.random.IntN(gateways))]
			replica := fmt.Sprintf("%s-replica-%d", region, w.random.IntN(replicas))
			g.load[w.key(replica)] = peer.Load{Requests: 1, Tokens: 12_000}
			w.at(time.Duration(w.random.Int64N(int64(length*time.Second))), func() { g.place(replica, readingMS+n) })
		}
		w.run((length + 1) * time.Second)
		if age := share(w.ages, 0.95); age > mostAge {
			t.Errorf("seed %d: a twentieth of the news is older than %v within its region, want %v", seed, age, mostAge)
		}
		if want := prompts * length * (gateways - 1) * 3; len(w.ages) < want*99/100 {
			t.Errorf("seed %d: %d news told one by one within their regions, want %d", seed, len(w.ages), want)
		}
		for name, g := range w.gateways {
			if sent := float64(g.sentBytes) / length; sent > narrowLink {
				t.Errorf("seed %d: %s sends %.0f bytes a second over a link of 10 Mbit/s", seed, name, sent)
			}
			if g.largest > mostDigest {
				t.Errorf("seed %d: %s sends a message of %d bytes", seed, name, g.largest)
			}
		}
	}
}

// share is the value that a part of the sorted list is not above.
func share(list []time.Duration, part float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[int(part*float64(len(list)-1))]
}

// TestARegionThatIsNotNamedYet: while the registry names gateways of other regions
// alone, the own gateway aggregates for itself and tells them.
func TestARegionThatIsNotNamedYet(t *testing.T) {
	w := newWorld(t, 4, map[string]int{"north": 1, "south": 3})
	alone := w.gateways["north-000"]
	others := map[string]Gateway{}
	for name, gateway := range w.up {
		if gateway.Region == "south" {
			others[name] = gateway
		}
	}
	alone.exchange.SetGateways(others)
	w.run(time.Second)
	alone.place("south-replica", 400)
	w.run(2 * time.Second)
	if status := alone.exchange.Status(w.now); status.Aggregator != "north-000" || status.Members != 1 {
		t.Errorf("its status is %+v", status)
	}
	if heard := len(w.other("south").heard["south-replica"]); heard != 1 {
		t.Errorf("the other region hears of its prompt %d times", heard)
	}
}
