package scale

import (
	"fmt"
	"math"
	"time"
)

// The target size and its bounds.
const (
	targetGateways  = 402
	targetReplicas  = 12_000
	targetEvents    = 5.5e6 // tokens a second, one event each
	changesPerDay   = 52_000
	restartsPerDay  = 1600 + 72
	secondsPerDay   = 86_400
	boundCore       = 0.015
	boundBytes      = 14 << 10
	boundMemory     = 32 << 20
	boundInForce    = 8 * time.Second
	boundFailover   = 12 * time.Second
	pollsPerSecond  = 2 // of one replica by one gateway
	updatesPerStart = 4 // registry updates for one restart: down, up, and both member records
	usableCore      = 0.6
	collectorRoom   = 2  // the collector starts when the heap has doubled
	relayCount      = 13 // of 18 machines, beside 5 voters
)

// verdict says how sure a figure is and whether it keeps its bound.
type verdict string

const (
	metMeasured     verdict = "met by measurement"
	metExtrapolated verdict = "met by extrapolation"
	undecided       verdict = "undecided: closer to the bound than the points to the line"
	notMet          verdict = "**not met**"
	estimatedOnly   verdict = "estimated only"
)

// slope is a named line.
type slope struct {
	line
	name string
	unit string
	per  string
}

const (
	perGateway = "gateway"
	perReplica = "replica"
	perEvent   = "event/s"
)

// sloped fits one figure over readings.
func sloped(name, unit, per string, readings []reading, figure func(reading) float64) slope {
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

// lines are the slopes that the target is worked out from.
type lines struct {
	primaryBytes, primaryCPU, primaryMemory        slope
	followerBytes, followerCPU, followerMemory     slope
	gatewayBytes, gatewayCPU, gatewayHeap          slope
	changeBytes, changeGateway, inForce, failover  slope
	burstTime, changeCPU, restart                  slope
	primaryPerReplica, gatewayPerReplica, inForceR slope
	followerPerReplica                             slope
	relayCPU, relayMemory                          slope
}

func (r *measured) lines() lines {
	g, s := r.byGateways, r.byReplicas
	l := lines{
		primaryBytes:   sloped("primary, traffic at rest", "B/s", perGateway, g, func(one reading) float64 { return one.primary.bytes }),
		primaryCPU:     sloped("primary, processor at rest", "core", perGateway, g, func(one reading) float64 { return one.primary.cpu }),
		primaryMemory:  sloped("primary, resident memory", "B", perGateway, g, func(one reading) float64 { return one.primary.resident }),
		followerBytes:  sloped("follower, traffic at rest", "B/s", perGateway, g, func(one reading) float64 { return one.follower.bytes }),
		followerCPU:    sloped("follower, processor at rest", "core", perGateway, g, func(one reading) float64 { return one.follower.cpu }),
		followerMemory: sloped("follower, resident memory", "B", perGateway, g, func(one reading) float64 { return one.follower.resident }),
		gatewayBytes:   sloped("gateway, traffic at rest", "B/s", perGateway, g, func(one reading) float64 { return one.gateway.bytes }),
		gatewayCPU:     sloped("gateway, processor at rest", "core", perGateway, g, func(one reading) float64 { return one.gateway.cpu }),
		gatewayHeap:    sloped("gateway, heap and stacks", "B", perGateway, g, func(one reading) float64 { return one.gateway.heap }),
		changeBytes:    sloped("primary, one change", "B", perGateway, g, func(one reading) float64 { return one.perChange }),
		changeGateway:  sloped("gateway, one change", "B", perGateway, g, func(one reading) float64 { return one.perGateway }),
		changeCPU:      sloped("primary, processor for one change", "s", perGateway, g, func(one reading) float64 { return one.changeCPU }),
		inForce:        sloped("change in force everywhere, longest", "s", perGateway, g, longestInForce),
		burstTime:      sloped("50 changes one after the other", "s", perGateway, g, func(one reading) float64 { return one.burst.Seconds() }),
		restart:        sloped("up to 70 gateways lost at once, to the next acknowledgement", "s", perGateway, g, func(one reading) float64 { return one.restarted.Seconds() }),
		failover:       sloped("loss of the primary to the next acknowledgement", "s", perGateway, g, func(one reading) float64 { return one.failover.Seconds() }),

		primaryPerReplica:  sloped("primary, resident memory", "B", perReplica, s, func(one reading) float64 { return one.primary.resident }),
		followerPerReplica: sloped("follower, resident memory", "B", perReplica, s, func(one reading) float64 { return one.follower.resident }),
		gatewayPerReplica:  sloped("gateway, heap and stacks", "B", perReplica, s, func(one reading) float64 { return one.gateway.heap }),
		inForceR:           sloped("change in force everywhere, longest", "s", perReplica, s, longestInForce),
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

func longestInForce(one reading) float64 {
	return max(longest(one.acknowledged), longest(one.everywhere)).Seconds()
}

func (r *measured) slopes() []slope {
	l := r.lines()
	return []slope{
		l.primaryBytes, l.primaryCPU, l.primaryMemory, l.followerBytes, l.followerCPU, l.followerMemory,
		l.gatewayBytes, l.gatewayCPU, l.gatewayHeap, l.changeBytes, l.changeGateway, l.changeCPU, l.inForce, l.burstTime, l.restart, l.failover,
		l.primaryPerReplica, l.followerPerReplica, l.gatewayPerReplica, l.inForceR, l.relayCPU, l.relayMemory,
	}
}

// target is one row of the table of the target size.
type target struct {
	role      string
	figure    string
	formula   string
	value     string
	bound     string
	verdict   verdict
	mechanism string
}

// judge compares a value with its bound. residual is the largest distance of a
// point from the lines that the value comes from, and measuredTo the largest size
// that was measured, of the size that the value is for.
func judge(value, bound, residual, size, measuredTo float64) verdict {
	switch {
	case !(value <= bound): // also of a value that could not be worked out
		return notMet
	case value+residual > bound:
		return undecided
	case measuredTo >= size:
		return metMeasured
	default:
		return metExtrapolated
	}
}

// judgeSum compares a sum of lines, which no one run had together.
func judgeSum(value, bound, residual float64) verdict {
	return judge(value, bound, residual, 1, 0)
}

// updatesPerSecond is the rate of changes of the table at the target size.
func updatesPerSecond() float64 {
	return float64(changesPerDay+restartsPerDay*updatesPerStart) / secondsPerDay
}

func (r *measured) targets() []target {
	l := r.lines()
	rows := append(r.primaryTargets(l), r.followerTargets(l)...)
	rows = append(rows, r.gatewayTargets(l)...)
	return append(rows, r.fleetTargets(l)...)
}

func (r *measured) primaryTargets(l lines) []target {
	rate := updatesPerSecond()
	bytes := l.primaryBytes.at(targetGateways) + rate*l.changeBytes.at(targetGateways)
	memory := l.primaryMemory.at(targetGateways) + l.primaryPerReplica.Slope*targetReplicas
	cpu := l.primaryCPU.at(targetGateways) + rate*l.changeCPU.at(targetGateways)
	return []target{
		{
			"primary", "traffic", fmt.Sprintf("rest at %d gateways + %s updates/s × one change", targetGateways, number(rate)), number(bytes) + " B/s", number(boundBytes) + " B/s",
			judgeSum(bytes, boundBytes, l.primaryBytes.Residual+rate*l.changeBytes.Residual), "flat fan-out of renewals and incremental transfers; the bound needs relays in a tree, see below",
		},
		{
			"primary", "processor", fmt.Sprintf("rest at %d gateways + %s updates/s × one change", targetGateways, number(rate)), percent(cpu), percent(boundCore),
			judgeSum(cpu, boundCore, l.primaryCPU.Residual+rate*l.changeCPU.Residual), "renewals are decided without a look at the other leases",
		},
		{
			"primary", "resident memory", fmt.Sprintf("at %d gateways + slope × %d replicas", targetGateways, targetReplicas), number(memory/mebibyte) + " MiB", number(boundMemory/mebibyte) + " MiB",
			judgeSum(memory, boundMemory, l.primaryMemory.Residual+l.primaryPerReplica.Residual), "one copy-on-write table; bounded queues that are empty at rest",
		},
	}
}

func (r *measured) followerTargets(l lines) []target {
	bytes, cpu := l.followerBytes.at(targetGateways), l.followerCPU.at(targetGateways)
	memory := l.followerMemory.at(targetGateways) + l.followerPerReplica.Slope*targetReplicas
	return []target{
		{
			"other control node", "traffic at rest", fmt.Sprintf("at %d gateways", targetGateways), number(bytes) + " B/s", number(boundBytes) + " B/s",
			judge(bytes, boundBytes, l.followerBytes.Residual, targetGateways, l.followerBytes.Highest), "heartbeats of the replicated log",
		},
		{
			"other control node", "processor at rest", fmt.Sprintf("at %d gateways", targetGateways), percent(cpu), percent(boundCore),
			judge(cpu, boundCore, l.followerCPU.Residual, targetGateways, l.followerCPU.Highest), "heartbeats of the replicated log",
		},
		{
			"other control node", "resident memory", fmt.Sprintf("at %d gateways + slope × %d replicas", targetGateways, targetReplicas), number(memory/mebibyte) + " MiB", number(boundMemory/mebibyte) + " MiB",
			judgeSum(memory, boundMemory, l.followerMemory.Residual+l.followerPerReplica.Residual), "one table, the log since the last snapshot",
		},
	}
}

func (r *measured) gatewayTargets(l lines) []target {
	rate := updatesPerSecond()
	control := l.gatewayBytes.at(targetGateways) + rate*l.changeGateway.at(targetGateways)
	cpu := l.gatewayCPU.at(targetGateways)
	heap := l.gatewayHeap.at(targetGateways) + l.gatewayPerReplica.Slope*targetReplicas
	whole := l.relayMemory.Intercept + collectorRoom*heap
	shared := float64(targetReplicas) / targetGateways
	polls := shared * pollsPerSecond * r.poll.bytes
	return []target{
		{
			"gateway", "control traffic", fmt.Sprintf("rest at %d gateways + %s updates/s × one change", targetGateways, number(rate)), number(control) + " B/s", number(boundBytes) + " B/s",
			judgeSum(control, boundBytes, l.gatewayBytes.Residual+rate*l.changeGateway.Residual), "renewal each 300 ms, incremental transfer",
		},
		{
			"gateway", "control processor", fmt.Sprintf("rest at %d gateways", targetGateways), percent(cpu), percent(boundCore),
			judge(cpu, boundCore, l.gatewayCPU.Residual, targetGateways, l.gatewayCPU.Highest), "one renewal loop, incremental reading of the table",
		},
		{
			"gateway", "memory of the copy", fmt.Sprintf("heap at %d gateways + slope × %d replicas", targetGateways, targetReplicas), number(heap/mebibyte) + " MiB", number(boundMemory/mebibyte) + " MiB",
			judgeSum(heap, boundMemory, l.gatewayHeap.Residual+l.gatewayPerReplica.Residual), "whole copy of the table; watch-by-region would hold a fiftieth",
		},
		{
			"gateway", "resident memory, idle", fmt.Sprintf("intercept of a real gateway + %d × that heap", collectorRoom), number(whole/mebibyte) + " MiB", number(boundMemory/mebibyte) + " MiB",
			judgeEstimate(whole, boundMemory), "as above; the collector lets the heap double",
		},
		{
			"gateway", "watching of replicas", fmt.Sprintf("%s replicas each × %d polls/s × %s B", number(shared), pollsPerSecond, number(r.poll.bytes)), number(polls) + " B/s", number(boundBytes) + " B/s",
			judgeEstimate(polls, boundBytes), "one watcher a replica, HTTP polls",
		},
	}
}

// relayNode is one of the relays that would stand between voters and gateways.
func (r *measured) relayNode(l lines) target {
	share := math.Ceil(float64(targetGateways) / relayCount)
	bytes := share * (l.gatewayBytes.at(targetGateways) + updatesPerSecond()*l.changeGateway.at(targetGateways))
	return target{
		"relay (not built)", "traffic towards its gateways", fmt.Sprintf("%.0f gateways × the control traffic of one", share), number(bytes) + " B/s", number(boundBytes) + " B/s",
		judgeEstimate(bytes, boundBytes), "a tree of two levels; slower renewals and smaller changes, see below",
	}
}

// judgeEstimate is for figures that no run of the whole shows.
func judgeEstimate(value, bound float64) verdict {
	if value > bound {
		return notMet
	}
	return estimatedOnly
}

func (r *measured) fleetTargets(l lines) []target {
	inForce := max(l.inForce.at(targetGateways), 0) + max(l.inForceR.Slope, 0)*targetReplicas
	burstRate := burst / l.burstTime.at(targetGateways)
	eventsPerCore := usableCore / l.relayCPU.Slope
	gateways := math.Ceil(targetEvents / eventsPerCore)
	perGatewayEvents := targetEvents / targetGateways
	relay := l.relayCPU.at(perGatewayEvents)
	return []target{
		{
			"fleet", "a change in force everywhere", fmt.Sprintf("longest at %d gateways + slope × %d replicas", targetGateways, targetReplicas), number(inForce) + " s", number(boundInForce.Seconds()) + " s",
			judgeSum(inForce, boundInForce.Seconds(), l.inForce.Residual+l.inForceR.Residual), "two-step activation; notify, then an incremental transfer",
		},
		{
			"fleet", "changes a second, one after the other", fmt.Sprintf("%d in a row at %d gateways", burst, targetGateways), number(burstRate) + "/s", "at least " + number(float64(changesPerDay)/secondsPerDay) + "/s",
			judge(l.burstTime.at(targetGateways), burst*secondsPerDay/float64(changesPerDay), l.burstTime.Residual, targetGateways, l.burstTime.Highest), "one update a change; each waits for two rounds of all gateways",
		},
		{
			"fleet", "70 gateways lost at once and started again", fmt.Sprintf("to the next acknowledgement at %d gateways", targetGateways), number(l.restart.at(targetGateways)) + " s", number(boundInForce.Seconds()) + " s",
			judge(l.restart.at(targetGateways), boundInForce.Seconds(), l.restart.Residual, targetGateways, l.restart.Highest), "a lost gateway's lease runs out, once",
		},
		{
			"fleet", "loss of the primary", fmt.Sprintf("to the next acknowledgement at %d gateways", targetGateways), number(l.failover.at(targetGateways)) + " s", number(boundFailover.Seconds()) + " s",
			judge(l.failover.at(targetGateways), boundFailover.Seconds(), l.failover.Residual, targetGateways, l.failover.Highest), "election, then waiting out the leases",
		},
		{
			"gateway", "relaying, each its share", fmt.Sprintf("%s events/s × slope + intercept", number(perGatewayEvents)), percent(relay), "100%",
			judge(relay, 1, l.relayCPU.Residual, perGatewayEvents, l.relayCPU.Highest), "events are checked and passed on one by one; one buffer a stream",
		},
		{
			"fleet", "gateways' cores for 5.5 million events a second", fmt.Sprintf("at %.0f%% use of a core", 100*usableCore), number(gateways) + " cores", fmt.Sprintf("%d machines of one core or more", targetGateways),
			judgeEstimate(gateways, targetGateways), "streams of one region stay in it",
		},
		r.relayNode(l),
		{"control", "machines", "3 voters of today; with relays 5 voters + 13 relays", "3 today", "18", estimatedOnly, "one replicated log; relays aggregate leases and confirmations"},
		{"replicas", "first token, between tokens", "depends on the replicas; the gateway's share is measured by the fleet run", "not measured here", "0.92 s, 33 ms", estimatedOnly, "placement by prefix and load, admission by deadline"},
	}
}

// againstBounds sets one measured size against the bounds of the target.
func (r reading) againstBounds() string {
	m := &markdown{}
	sizesTable(m, "### One size", []reading{r})
	m.WriteString("\n")
	m.head("role", "figure", "measured", "bound", "verdict")
	compare := func(role, figure string, value, bound float64, show func(float64) string) {
		m.row(role, figure, show(value), show(bound), string(judge(value, bound, 0, 1, 1)))
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
	compare("fleet", "up to 70 gateways lost and started, to the next change", r.restarted.Seconds(), boundInForce.Seconds(), duration)
	compare("fleet", "loss of the primary, to the next change", r.failover.Seconds(), boundFailover.Seconds(), duration)
	return m.String()
}
