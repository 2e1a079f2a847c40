package scale

import (
	"fmt"
	"math"
	"time"
)

// The target size, the bounds of its figures, and the parameters used to compute the
// figures. boundCore is a fraction of one core, boundBytes a rate in bytes per second,
// and boundMemory a size in bytes.
const (
	targetGateways     = 402
	targetReplicas     = 12_000
	targetEvents       = 5.5e6 // tokens per second, one event each
	changesPerDay      = 52_000
	restartsPerDay     = 1600 + 72
	secondsPerDay      = 86_400
	boundCore          = 0.015
	boundBytes         = 14 << 10
	boundMemory        = 32 << 20
	boundInForce       = 8 * time.Second
	boundFailover      = 12 * time.Second
	pollsPerSecond     = 2 // by one gateway of one replica
	updatesPerStart    = 4 // registry updates per restart: down, up, and both member records
	usableCoreFraction = 0.6
	heapGrowthFactor   = 2  // the garbage collector lets the heap grow to twice its live size
	relayCount         = 13 // 18 machines less 5 voters
)

// verdict states whether a figure is within its bound and how reliable that result is.
type verdict string

const (
	metMeasured     verdict = "met by measurement"
	metExtrapolated verdict = "met by extrapolation"
	undecided       verdict = "undecided: closer to the bound than the points to the line"
	notMet          verdict = "**not met**"
	estimatedOnly   verdict = "estimated only"
)

// slope is a fitted line with the name and unit of its figure, and the unit of its
// independent variable.
type slope struct {
	line
	name string
	unit string
	per  string
}

// Values of slope.per, the unit of the independent variable.
const (
	perGateway = "gateway"
	perReplica = "replica"
	perEvent   = "event/s"
)

// fitSlope fits a line to one figure of the measured sizes, over the number of gateways
// or, if per is perReplica, of replicas.
func fitSlope(name, unit, per string, readings []sizeReading, figure func(sizeReading) float64) slope {
	var x, y []float64
	for _, one := range readings {
		size := one.gateways
		if per == perReplica {
			size = one.replicas
		}
		x = append(x, float64(size))
		y = append(y, figure(one))
	}
	return slope{line: fit(x, y), name: name, unit: unit, per: per}
}

// fittedLines holds the lines from which the figures at the target size are computed.
type fittedLines struct {
	primaryBytes, primaryCPU, primaryMemory                 slope
	followerBytes, followerCPU, followerMemory              slope
	gatewayBytes, gatewayCPU, gatewayHeap                   slope
	changeBytes, changeGateway, inForce, failover           slope
	burstTime, changeCPU, restart                           slope
	primaryPerReplica, gatewayPerReplica, inForcePerReplica slope
	followerPerReplica                                      slope
	relayCPU, relayMemory                                   slope
}

func (r *capacityReport) lines() fittedLines {
	g, s := r.byGateways, r.byReplicas
	l := fittedLines{
		primaryBytes:   fitSlope("primary, traffic at rest", "B/s", perGateway, g, func(one sizeReading) float64 { return one.primary.bytes }),
		primaryCPU:     fitSlope("primary, processor at rest", "core", perGateway, g, func(one sizeReading) float64 { return one.primary.cpu }),
		primaryMemory:  fitSlope("primary, resident memory", "B", perGateway, g, func(one sizeReading) float64 { return one.primary.resident }),
		followerBytes:  fitSlope("follower, traffic at rest", "B/s", perGateway, g, func(one sizeReading) float64 { return one.follower.bytes }),
		followerCPU:    fitSlope("follower, processor at rest", "core", perGateway, g, func(one sizeReading) float64 { return one.follower.cpu }),
		followerMemory: fitSlope("follower, resident memory", "B", perGateway, g, func(one sizeReading) float64 { return one.follower.resident }),
		gatewayBytes:   fitSlope("gateway, traffic at rest", "B/s", perGateway, g, func(one sizeReading) float64 { return one.gateway.bytes }),
		gatewayCPU:     fitSlope("gateway, processor at rest", "core", perGateway, g, func(one sizeReading) float64 { return one.gateway.cpu }),
		gatewayHeap:    fitSlope("gateway, heap and stacks", "B", perGateway, g, func(one sizeReading) float64 { return one.gateway.heap }),
		changeBytes:    fitSlope("primary, one change", "B", perGateway, g, func(one sizeReading) float64 { return one.primaryBytesPerChange }),
		changeGateway:  fitSlope("gateway, one change", "B", perGateway, g, func(one sizeReading) float64 { return one.gatewayBytesPerChange }),
		changeCPU:      fitSlope("primary, processor for one change", "s", perGateway, g, func(one sizeReading) float64 { return one.primaryCPUPerChange }),
		inForce:        fitSlope("change in force everywhere, longest", "s", perGateway, g, longestInForce),
		burstTime:      fitSlope("50 changes one after the other", "s", perGateway, g, func(one sizeReading) float64 { return one.burst.Seconds() }),
		restart:        fitSlope("up to 70 gateways lost at once, to the next acknowledgement", "s", perGateway, g, func(one sizeReading) float64 { return one.changeAfterRestart.Seconds() }),
		failover:       fitSlope("loss of the primary to the next acknowledgement", "s", perGateway, g, func(one sizeReading) float64 { return one.failover.Seconds() }),

		primaryPerReplica:  fitSlope("primary, resident memory", "B", perReplica, s, func(one sizeReading) float64 { return one.primary.resident }),
		followerPerReplica: fitSlope("follower, resident memory", "B", perReplica, s, func(one sizeReading) float64 { return one.follower.resident }),
		gatewayPerReplica:  fitSlope("gateway, heap and stacks", "B", perReplica, s, func(one sizeReading) float64 { return one.gateway.heap }),
		inForcePerReplica:  fitSlope("change in force everywhere, longest", "s", perReplica, s, longestInForce),
	}
	var events, cpu, resident []float64
	for _, one := range r.relays {
		events = append(events, one.events)
		cpu = append(cpu, one.cpu)
		resident = append(resident, one.resident)
	}
	l.relayCPU = slope{line: fit(events, cpu), name: "gateway, relaying of streams", unit: "core", per: perEvent}
	l.relayMemory = slope{line: fit(events, resident), name: "gateway, resident memory while relaying", unit: "B", per: perEvent}
	return l
}

// longestInForce returns the longest time until a change was in force everywhere, in
// seconds.
func longestInForce(one sizeReading) float64 {
	return max(longest(one.acknowledged), longest(one.activatedEverywhere)).Seconds()
}

func (r *capacityReport) slopes() []slope {
	l := r.lines()
	return []slope{
		l.primaryBytes, l.primaryCPU, l.primaryMemory, l.followerBytes, l.followerCPU, l.followerMemory,
		l.gatewayBytes, l.gatewayCPU, l.gatewayHeap, l.changeBytes, l.changeGateway, l.changeCPU, l.inForce, l.burstTime, l.restart, l.failover,
		l.primaryPerReplica, l.followerPerReplica, l.gatewayPerReplica, l.inForcePerReplica, l.relayCPU, l.relayMemory,
	}
}

// target is one figure at the target size, as a row of the target table.
type target struct {
	role      string
	figure    string
	formula   string
	value     string
	bound     string
	verdict   verdict
	mechanism string
}

// verdictFor compares a value with its bound. residual is the largest distance of a
// measured point from the fitted lines that the value was computed from, size is the
// size to which the value applies, and measuredTo is the largest measured size.
func verdictFor(value, bound, residual, size, measuredTo float64) verdict {
	switch {
	case !(value <= bound): // not value > bound, so that NaN does not pass
		return notMet
	case value+residual > bound:
		return undecided
	case measuredTo >= size:
		return metMeasured
	default:
		return metExtrapolated
	}
}

// verdictForSum compares a sum over several lines with its bound. Since no single run
// measured the sum, it counts as extrapolated.
func verdictForSum(value, bound, residual float64) verdict {
	return verdictFor(value, bound, residual, 1, 0)
}

// updatesPerSecond returns the rate of registry updates at the target size.
func updatesPerSecond() float64 {
	return float64(changesPerDay+restartsPerDay*updatesPerStart) / secondsPerDay
}

func (r *capacityReport) targets() []target {
	l := r.lines()
	rows := append(r.primaryTargets(l), r.followerTargets(l)...)
	rows = append(rows, r.gatewayTargets(l)...)
	return append(rows, r.fleetTargets(l)...)
}

func (r *capacityReport) primaryTargets(l fittedLines) []target {
	rate := updatesPerSecond()
	bytes := l.primaryBytes.at(targetGateways) + rate*l.changeBytes.at(targetGateways)
	memory := l.primaryMemory.at(targetGateways) + l.primaryPerReplica.Slope*targetReplicas
	cpu := l.primaryCPU.at(targetGateways) + rate*l.changeCPU.at(targetGateways)
	return []target{
		{
			"primary", "traffic", fmt.Sprintf("rest at %d gateways + %s updates/s × one change", targetGateways, number(rate)), number(bytes) + " B/s", number(boundBytes) + " B/s",
			verdictForSum(bytes, boundBytes, l.primaryBytes.Residual+rate*l.changeBytes.Residual), "flat fan-out of renewals and incremental transfers; the bound needs relays in a tree, see below",
		},
		{
			"primary", "processor", fmt.Sprintf("rest at %d gateways + %s updates/s × one change", targetGateways, number(rate)), percent(cpu), percent(boundCore),
			verdictForSum(cpu, boundCore, l.primaryCPU.Residual+rate*l.changeCPU.Residual), "renewals are decided without a look at the other leases",
		},
		{
			"primary", "resident memory", fmt.Sprintf("at %d gateways + slope × %d replicas", targetGateways, targetReplicas), number(memory/mebibyte) + " MiB", number(boundMemory/mebibyte) + " MiB",
			verdictForSum(memory, boundMemory, l.primaryMemory.Residual+l.primaryPerReplica.Residual), "one copy-on-write table; bounded queues that are empty at rest",
		},
	}
}

func (r *capacityReport) followerTargets(l fittedLines) []target {
	bytes, cpu := l.followerBytes.at(targetGateways), l.followerCPU.at(targetGateways)
	memory := l.followerMemory.at(targetGateways) + l.followerPerReplica.Slope*targetReplicas
	return []target{
		{
			"other control node", "traffic at rest", fmt.Sprintf("at %d gateways", targetGateways), number(bytes) + " B/s", number(boundBytes) + " B/s",
			verdictFor(bytes, boundBytes, l.followerBytes.Residual, targetGateways, l.followerBytes.Highest), "heartbeats of the replicated log",
		},
		{
			"other control node", "processor at rest", fmt.Sprintf("at %d gateways", targetGateways), percent(cpu), percent(boundCore),
			verdictFor(cpu, boundCore, l.followerCPU.Residual, targetGateways, l.followerCPU.Highest), "heartbeats of the replicated log",
		},
		{
			"other control node", "resident memory", fmt.Sprintf("at %d gateways + slope × %d replicas", targetGateways, targetReplicas), number(memory/mebibyte) + " MiB", number(boundMemory/mebibyte) + " MiB",
			verdictForSum(memory, boundMemory, l.followerMemory.Residual+l.followerPerReplica.Residual), "one table, the log since the last snapshot",
		},
	}
}

func (r *capacityReport) gatewayTargets(l fittedLines) []target {
	rate := updatesPerSecond()
	control := l.gatewayBytes.at(targetGateways) + rate*l.changeGateway.at(targetGateways)
	cpu := l.gatewayCPU.at(targetGateways)
	heap := l.gatewayHeap.at(targetGateways) + l.gatewayPerReplica.Slope*targetReplicas
	resident := l.relayMemory.Intercept + heapGrowthFactor*heap
	shared := float64(targetReplicas) / targetGateways
	polls := shared * pollsPerSecond * r.poll.bytes
	return []target{
		{
			"gateway", "control traffic", fmt.Sprintf("rest at %d gateways + %s updates/s × one change", targetGateways, number(rate)), number(control) + " B/s", number(boundBytes) + " B/s",
			verdictForSum(control, boundBytes, l.gatewayBytes.Residual+rate*l.changeGateway.Residual), "renewal each 300 ms, incremental transfer",
		},
		{
			"gateway", "control processor", fmt.Sprintf("rest at %d gateways", targetGateways), percent(cpu), percent(boundCore),
			verdictFor(cpu, boundCore, l.gatewayCPU.Residual, targetGateways, l.gatewayCPU.Highest), "one renewal loop, incremental reading of the table",
		},
		{
			"gateway", "memory of the copy", fmt.Sprintf("heap at %d gateways + slope × %d replicas", targetGateways, targetReplicas), number(heap/mebibyte) + " MiB", number(boundMemory/mebibyte) + " MiB",
			verdictForSum(heap, boundMemory, l.gatewayHeap.Residual+l.gatewayPerReplica.Residual), "whole copy of the table; watch-by-region would hold a fiftieth",
		},
		{
			"gateway", "resident memory, idle", fmt.Sprintf("intercept of a real gateway + %d × that heap", heapGrowthFactor), number(resident/mebibyte) + " MiB", number(boundMemory/mebibyte) + " MiB",
			verdictForEstimate(resident, boundMemory), "as above; the collector lets the heap double",
		},
		{
			"gateway", "watching of replicas", fmt.Sprintf("%s replicas each × %d polls/s × %s B", number(shared), pollsPerSecond, number(r.poll.bytes)), number(polls) + " B/s", number(boundBytes) + " B/s",
			verdictForEstimate(polls, boundBytes), "one watcher a replica, HTTP polls",
		},
	}
}

// relayNodeTarget estimates the traffic of one of the relay nodes that could be placed between
// voters and gateways. Relay nodes are not implemented.
func (r *capacityReport) relayNodeTarget(l fittedLines) target {
	share := math.Ceil(float64(targetGateways) / relayCount)
	bytes := share * (l.gatewayBytes.at(targetGateways) + updatesPerSecond()*l.changeGateway.at(targetGateways))
	return target{
		"relay (not built)", "traffic towards its gateways", fmt.Sprintf("%.0f gateways × the control traffic of one", share), number(bytes) + " B/s", number(boundBytes) + " B/s",
		verdictForEstimate(bytes, boundBytes), "a tree of two levels; slower renewals and smaller changes, see below",
	}
}

// verdictForEstimate compares an estimated figure, which no run measures, with its
// bound.
func verdictForEstimate(value, bound float64) verdict {
	if value > bound {
		return notMet
	}
	return estimatedOnly
}

func (r *capacityReport) fleetTargets(l fittedLines) []target {
	inForce := max(l.inForce.at(targetGateways), 0) + max(l.inForcePerReplica.Slope, 0)*targetReplicas
	burstRate := changesInBurst / l.burstTime.at(targetGateways)
	eventsPerCore := usableCoreFraction / l.relayCPU.Slope
	gateways := math.Ceil(targetEvents / eventsPerCore)
	perGatewayEvents := targetEvents / targetGateways
	relay := l.relayCPU.at(perGatewayEvents)
	return []target{
		{
			"fleet", "a change in force everywhere", fmt.Sprintf("longest at %d gateways + slope × %d replicas", targetGateways, targetReplicas), number(inForce) + " s", number(boundInForce.Seconds()) + " s",
			verdictForSum(inForce, boundInForce.Seconds(), l.inForce.Residual+l.inForcePerReplica.Residual), "two-step activation; notify, then an incremental transfer",
		},
		{
			"fleet", "changes a second, one after the other", fmt.Sprintf("%d in a row at %d gateways", changesInBurst, targetGateways), number(burstRate) + "/s", "at least " + number(float64(changesPerDay)/secondsPerDay) + "/s",
			verdictFor(l.burstTime.at(targetGateways), changesInBurst*secondsPerDay/float64(changesPerDay), l.burstTime.Residual, targetGateways, l.burstTime.Highest), "one update a change; each waits for two rounds of all gateways",
		},
		{
			"fleet", "70 gateways lost at once and started again", fmt.Sprintf("to the next acknowledgement at %d gateways", targetGateways), number(l.restart.at(targetGateways)) + " s", number(boundInForce.Seconds()) + " s",
			verdictFor(l.restart.at(targetGateways), boundInForce.Seconds(), l.restart.Residual, targetGateways, l.restart.Highest), "a lost gateway's lease runs out, once",
		},
		{
			"fleet", "loss of the primary", fmt.Sprintf("to the next acknowledgement at %d gateways", targetGateways), number(l.failover.at(targetGateways)) + " s", number(boundFailover.Seconds()) + " s",
			verdictFor(l.failover.at(targetGateways), boundFailover.Seconds(), l.failover.Residual, targetGateways, l.failover.Highest), "election, then waiting out the leases",
		},
		{
			"gateway", "relaying, each its share", fmt.Sprintf("%s events/s × slope + intercept", number(perGatewayEvents)), percent(relay), "100%",
			verdictFor(relay, 1, l.relayCPU.Residual, perGatewayEvents, l.relayCPU.Highest), "events are checked and passed on one by one; one buffer a stream",
		},
		{
			"fleet", "gateways' cores for 5.5 million events a second", fmt.Sprintf("at %.0f%% use of a core", 100*usableCoreFraction), number(gateways) + " cores", fmt.Sprintf("%d machines of one core or more", targetGateways),
			verdictForEstimate(gateways, targetGateways), "streams of one region stay in it",
		},
		r.relayNodeTarget(l),
		{"control", "machines", "3 voters of today; with relays 5 voters + 13 relays", "3 today", "18", estimatedOnly, "one replicated log; relays aggregate leases and confirmations"},
		{"replicas", "first token, between tokens", "depends on the replicas; the gateway's share is measured by the fleet run", "not measured here", "0.92 s, 33 ms", estimatedOnly, "placement by prefix and load, admission by deadline"},
	}
}

// compareWithBounds returns two tables: the figures of one measured size, and their
// comparison with the bounds of the target size.
func (r sizeReading) compareWithBounds() string {
	m := &markdown{}
	sizesTable(m, "### One size", []sizeReading{r})
	m.WriteString("\n")
	m.header("role", "figure", "measured", "bound", "verdict")
	compare := func(role, figure string, value, bound float64, show func(float64) string) {
		m.row(role, figure, show(value), show(bound), string(verdictFor(value, bound, 0, 1, 1)))
	}
	rate := func(value float64) string { return number(value) + " B/s" }
	memory := func(value float64) string { return number(value/mebibyte) + " MiB" }
	duration := func(value float64) string { return number(value) + " s" }
	compare("primary", "traffic at rest", r.primary.bytes, boundBytes, rate)
	compare("primary", "processor at rest", r.primary.cpu, boundCore, percent)
	compare("primary", "resident memory", r.primary.resident, boundMemory, memory)
	compare("other control node", "traffic at rest", r.follower.bytes, boundBytes, rate)
	compare("other control node", "processor at rest", r.follower.cpu, boundCore, percent)
	compare("other control node", "resident memory", r.follower.resident, boundMemory, memory)
	compare("gateway", "control traffic at rest", r.gateway.bytes, boundBytes, rate)
	compare("gateway", "control processor at rest", r.gateway.cpu, boundCore, percent)
	compare("gateway", "memory of the copy", r.gateway.heap, boundMemory, memory)
	compare("fleet", "a change in force everywhere, longest", longestInForce(r), boundInForce.Seconds(), duration)
	compare("fleet", "up to 70 gateways lost and started, to the next change", r.changeAfterRestart.Seconds(), boundInForce.Seconds(), duration)
	compare("fleet", "loss of the primary, to the next change", r.failover.Seconds(), boundFailover.Seconds(), duration)
	return m.String()
}
