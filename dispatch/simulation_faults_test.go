package dispatch

import (
	"errors"
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/registry"
	"github.com/deckpulley/deckpulley/routemap"
)

// simulatedRuns is how many times each fault scenario runs, each with its own seed.
var simulatedRuns = flag.Uint64("simulated-days", 4, "runs of each fault scenario, each with its own seed")

const (
	faultStart = 3 * time.Second
	// faultEnd is the time at which the faults end, and recoveryPeriod is how long after it
	// the fleet may take to recover.
	faultEnd       = 8 * time.Second
	recoveryPeriod = 2 * time.Second
)

// sleepUntil sleeps until the given time since the start of the run.
func (f *simulatedFleet) sleepUntil(when time.Duration) { time.Sleep(time.Until(f.began.Add(when))) }

// runAt calls a function at the given time since the start of the run.
func (f *simulatedFleet) runAt(when time.Duration, do func()) {
	time.AfterFunc(time.Until(f.began.Add(when)), do)
}

// recover records that the faults have ended, so that nearly all requests must be served
// after recoveryPeriod.
func (f *simulatedFleet) recover() { f.record.recoveredAt(faultEnd + recoveryPeriod) }

// faultScenarios holds the fault scenarios by name.
var faultScenarios = map[string]func(*simulatedFleet){
	"replicas":          replicasFail,
	"gateways":          gatewaysFail,
	"control nodes":     controlFails,
	"zones and regions": regionsFail,
	"bursts, operators": operatorsChange,
}

// replicasFail is the scenario in which one replica crashes and another one takes over its
// address, one replica of the model service and one of the web service stop responding, one
// is slow, and a new one warms up.
func replicasFail(f *simulatedFleet) {
	models := f.replicasOf("model", "")
	f.sleepUntil(faultStart)
	crashed, unresponsive, slow := models[0], models[1], models[2]
	unresponsivePage := f.replicasOf("web", "north-1")[0]
	crashed.crash()
	unresponsive.setUnresponsive(true)
	unresponsivePage.setUnresponsive(true)
	slow.mutex.Lock()
	slow.slowdown = 2
	slow.mutex.Unlock()
	f.sleepUntil(faultStart + 500*time.Millisecond)
	other := &simulatedReplica{id: "other-at-" + crashed.id, zone: crashed.zone, service: "web-2", address: crashed.address, slowdown: 1, prefillFactor: 0.5}
	f.place(other) // the registry still lists the crashed replica
	f.sleepUntil(faultStart + 1500*time.Millisecond)
	f.change(registry.DeleteName(catalog.ReplicaName(crashed.id)))
	f.addReplica("new-"+crashed.id, crashed.zone, "model")
	fresh := f.replicaAt("new-" + crashed.id + ":80")
	f.setWarmingUp(fresh, true)
	f.sleepUntil(faultEnd)
	unresponsive.setUnresponsive(false)
	unresponsivePage.setUnresponsive(false)
	f.setWarmingUp(fresh, false)
	f.recover()
}

// gatewaysFail is the scenario in which one gateway is killed and restarts without any
// state, and another one is lost permanently.
func gatewaysFail(f *simulatedFleet) {
	f.sleepUntil(faultStart)
	killed, lost := f.gateways[0], f.gateways[3]
	killed.end()
	lost.end()
	f.sleepUntil(faultStart + time.Second)
	killed.start()
	f.publish()
	f.change(registry.Add(catalog.GatewayRecord(lost.name, catalog.Gateway{Region: lost.region(), Zone: lost.zone})))
	f.sleepUntil(faultEnd)
	f.recover()
}

// controlFails is the scenario in which no change of the registry reaches any gateway while
// replicas leave and join.
func controlFails(f *simulatedFleet) {
	f.sleepUntil(faultStart)
	f.controlDown = true
	models := f.replicasOf("model", "north-1")
	models[0].crash()
	f.sleepUntil(faultStart + time.Second)
	f.change(registry.DeleteName(catalog.ReplicaName(models[0].id)))
	f.addReplica("later", "north-1", "model")
	f.setWarmingUp(f.replicaAt("later:80"), true)
	f.gateways[1].end()
	f.sleepUntil(faultStart + 2*time.Second)
	f.gateways[1].start()
	f.sleepUntil(faultStart + 3*time.Second)
	f.controlDown = false
	f.publish()
	f.sleepUntil(faultEnd)
	f.setWarmingUp(f.replicaAt("later:80"), false)
	f.recover()
}

// regionsFail is the scenario in which the south region is lost, and the east region is
// partitioned from the registry and the other gateways while a replica there warms up.
func regionsFail(f *simulatedFleet) {
	f.sleepUntil(faultStart)
	for _, g := range f.gateways {
		if g.region() == "south" {
			g.end()
		}
	}
	for _, service := range []string{"model", "web", "web-2"} {
		for _, r := range f.replicasOf(service, "south-1") {
			r.crash()
		}
	}
	warming := f.replicasOf("model", "east-1")[0]
	f.setWarmingUp(warming, true)
	f.sleepUntil(faultStart + 2*updateDelay)
	for _, g := range f.gateways {
		if g.region() == "east" {
			g.partitioned.Store(true)
			f.change(registry.Add(catalog.GatewayRecord(g.name, catalog.Gateway{Region: "east", Zone: g.zone})))
		}
	}
	f.sleepUntil(faultStart + 3*time.Second)
	for _, g := range f.gateways {
		g.partitioned.Store(false)
		f.change(registry.Add(catalog.GatewayRecord(g.name, catalog.Gateway{Region: g.region(), Zone: g.zone, Up: g.region() != "south"})))
	}
	f.sleepUntil(faultEnd)
	f.setWarmingUp(warming, false)
	f.recover()
}

// operatorsChange is the scenario with a burst of requests, a new configuration that routes
// pages to another service, and a temporary evacuation of a zone.
func operatorsChange(f *simulatedFleet) {
	f.sleepUntil(faultStart)
	f.burst("north-1", 60)
	f.configure("web-2")
	f.sleepUntil(faultStart + time.Second)
	f.change(registry.Add(catalog.EvacuationRecord("north-1", catalog.Evacuation{OperationID: "o"})))
	f.record.evacuated("north-1")
	f.sleepUntil(faultStart + 3*time.Second)
	f.record.evacuationEnded("north-1")
	f.change(registry.DeleteRRset(catalog.ZoneName("north-1"), catalog.TypeEvacuation))
	f.configure("web")
	f.sleepUntil(faultEnd + recoveryPeriod) // the zone's replicas are in slow start after the evacuation
	f.record.recoveredAt(faultEnd + 2*recoveryPeriod)
}

// burst sends count requests from one zone at the same time.
func (f *simulatedFleet) burst(zone string, count int) {
	for i := range count {
		request := f.newRequest(fmt.Sprint("crowd-", i, "-", f.randomFloat()))
		go f.send(zone, request)
	}
}

// TestSimulatedFaults runs each fault scenario with several seeds.
func TestSimulatedFaults(t *testing.T) {
	for name, run := range faultScenarios {
		t.Run(name, func(t *testing.T) {
			for seed := range *simulatedRuns {
				for _, violation := range simulate(t, seed+1, scenario{run: run}) {
					t.Errorf("seed %d: %s", seed+1, violation)
				}
			}
		})
	}
}

// injectedDefects are defects that the checks must detect. rule is the prefix of the
// violation that the defect causes.
var injectedDefects = map[string]struct {
	rule     string
	scenario string
	inject   func(*simulatedFleet)
	// distort, if set, changes each route map before it is published.
	distort func(*routemap.Map)
}{
	"indeterminate reported as unsent":   {rule: "AT-MOST-ONCE", scenario: "replicas", inject: misreporting(FailureUnsent)},
	"indeterminate reported as rejected": {rule: "REFUSED", scenario: "replicas", inject: misreporting(FailureRejected)},
	"home regions are ignored":           {rule: "HOME", scenario: "control nodes", distort: forRoutes(func(r *routemap.Route) { r.HomeRegions = nil })},
	"attempts are not limited": {
		rule: "ATTEMPTS", scenario: "gateways",
		inject: func(f *simulatedFleet) {
			for _, r := range f.replicasOf("model", "") {
				r.setUnresponsive(true)
				f.runAt(faultEnd, func() { r.setUnresponsive(false) })
			}
		},
		distort: forRoutes(func(r *routemap.Route) { r.MaxAttempts = 9 }),
	},
	"timeouts are not enforced": {
		rule: "TIME", scenario: "replicas",
		inject:  func(f *simulatedFleet) { f.hideTimeouts.Store(true) },
		distort: forRoutes(func(r *routemap.Route) { r.Timeout = time.Hour }),
	},
	"slow-start rate is ignored": {
		rule: "COLD", scenario: "replicas",
		inject: func(f *simulatedFleet) {
			f.runAt(faultStart+1700*time.Millisecond, func() { f.burst("north-1", 250) })
		},
		distort: func(m *routemap.Map) { m.Services[0].SlowStartRate = 0 },
	},
	"a gateway misses the evacuation": {rule: "EVACUATION", scenario: "bursts, operators", inject: func(f *simulatedFleet) {
		f.sleepUntil(faultStart)
		f.gateways[0].missesUpdates.Store(true)
	}},
}

// misreporting returns a defect that makes every gateway report indeterminate failures with
// the given reason. It also sends a burst of requests shortly before a replica crashes, so
// that there are such failures.
func misreporting(failure FailureReason) func(*simulatedFleet) {
	return func(f *simulatedFleet) {
		f.runAt(faultStart-20*time.Millisecond, func() { f.burst("east-1", 150) })
		for _, g := range f.gateways {
			g.setMisreport(func(err error) error {
				var attempt *AttemptError
				if errors.As(err, &attempt) && attempt.Reason == FailureIndeterminate {
					return &AttemptError{Reason: failure, Err: attempt.Err}
				}
				return err
			})
		}
	}
}

func forRoutes(change func(*routemap.Route)) func(*routemap.Map) {
	return func(m *routemap.Map) {
		for i := range m.Routes {
			change(&m.Routes[i])
		}
	}
}

// TestInjectedDefectsAreDetected checks that each injected defect is detected, so that the
// checks of the simulation can fail.
func TestInjectedDefectsAreDetected(t *testing.T) {
	const maxSeeds = 8
	for name, defect := range injectedDefects {
		t.Run(name, func(t *testing.T) {
			faults := scenario{distort: defect.distort, run: func(f *simulatedFleet) {
				if defect.inject != nil {
					defect.inject(f)
				}
				faultScenarios[defect.scenario](f)
			}}
			for seed := range uint64(maxSeeds) {
				for _, violation := range simulate(t, seed+1, faults) {
					if strings.HasPrefix(violation, defect.rule+":") {
						return
					}
				}
			}
			t.Errorf("none of %d runs violated the rule %s", maxSeeds, defect.rule)
		})
	}
}
