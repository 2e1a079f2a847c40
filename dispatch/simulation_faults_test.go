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
	// faultEnd is when the faults end, and recoveryPeriod how long the fleet may take to
	// recover.
	faultEnd       = 8 * time.Second
	recoveryPeriod = 2 * time.Second
)

// at sleeps until a time of the run.
func (f *simulatedFleet) at(when time.Duration) { time.Sleep(time.Until(f.began.Add(when))) }

// later calls a function at a time of the run.
func (f *simulatedFleet) later(when time.Duration, do func()) {
	time.AfterFunc(time.Until(f.began.Add(when)), do)
}

// recover says that the faults are over, so that nearly all requests must be served soon.
func (f *simulatedFleet) recover() { f.record.recoveredAt(faultEnd + recoveryPeriod) }

// faultScenarios are the five kinds of fault scenarios.
var faultScenarios = map[string]func(*simulatedFleet){
	"replicas":          replicasFail,
	"gateways":          gatewaysFail,
	"control nodes":     controlFails,
	"zones and regions": regionsFail,
	"bursts, operators": operatorsChange,
}

// replicasFail: one replica crashes and another takes its address, one of each service
// stops responding, one is slow, and one joins and warms up.
func replicasFail(f *simulatedFleet) {
	models := f.replicasOf("model", "")
	f.at(faultStart)
	crashed, unresponsive, slow := models[0], models[1], models[2]
	unresponsivePage := f.replicasOf("web", "north-1")[0]
	crashed.crash()
	unresponsive.setUnresponsive(true)
	unresponsivePage.setUnresponsive(true)
	slow.mutex.Lock()
	slow.slowdown = 2
	slow.mutex.Unlock()
	f.at(faultStart + 500*time.Millisecond)
	other := &simulatedReplica{id: "other-at-" + crashed.id, zone: crashed.zone, service: "web-2", address: crashed.address, slowdown: 1, prefillFactor: 0.5}
	f.place(other) // the registry still has the one that crashed
	f.at(faultStart + 1500*time.Millisecond)
	f.change(registry.DeleteName(catalog.ReplicaName(crashed.id)))
	f.addReplica("new-"+crashed.id, crashed.zone, "model")
	fresh := f.replicaAt("new-" + crashed.id + ":80")
	f.setWarmingUp(fresh, true)
	f.at(faultEnd)
	unresponsive.setUnresponsive(false)
	unresponsivePage.setUnresponsive(false)
	f.setWarmingUp(fresh, false)
	f.recover()
}

// gatewaysFail: one gateway is killed and restarts without any state, and one is lost for
// good.
func gatewaysFail(f *simulatedFleet) {
	f.at(faultStart)
	killed, lost := f.gateways[0], f.gateways[3]
	killed.end()
	lost.end()
	f.at(faultStart + time.Second)
	killed.start()
	f.publish()
	f.change(registry.Add(catalog.GatewayRecord(lost.name, catalog.Gateway{Region: lost.region(), Zone: lost.zone})))
	f.at(faultEnd)
	f.recover()
}

// controlFails: no change reaches any gateway while replicas leave and join.
func controlFails(f *simulatedFleet) {
	f.at(faultStart)
	f.controlDown = true
	models := f.replicasOf("model", "north-1")
	models[0].crash()
	f.at(faultStart + time.Second)
	f.change(registry.DeleteName(catalog.ReplicaName(models[0].id)))
	f.addReplica("later", "north-1", "model")
	f.setWarmingUp(f.replicaAt("later:80"), true)
	f.gateways[1].end()
	f.at(faultStart + 2*time.Second)
	f.gateways[1].start()
	f.at(faultStart + 3*time.Second)
	f.controlDown = false
	f.publish()
	f.at(faultEnd)
	f.setWarmingUp(f.replicaAt("later:80"), false)
	f.recover()
}

// regionsFail: the south is lost, and the east is partitioned from the registry and from
// the other gateways while a replica there is warming up.
func regionsFail(f *simulatedFleet) {
	f.at(faultStart)
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
	f.at(faultStart + 2*updateDelay)
	for _, g := range f.gateways {
		if g.region() == "east" {
			g.partitioned.Store(true)
			f.change(registry.Add(catalog.GatewayRecord(g.name, catalog.Gateway{Region: "east", Zone: g.zone})))
		}
	}
	f.at(faultStart + 3*time.Second)
	for _, g := range f.gateways {
		g.partitioned.Store(false)
		f.change(registry.Add(catalog.GatewayRecord(g.name, catalog.Gateway{Region: g.region(), Zone: g.zone, Up: g.region() != "south"})))
	}
	f.at(faultEnd)
	f.setWarmingUp(warming, false)
	f.recover()
}

// operatorsChange: a burst of requests, a new configuration that moves pages to another
// service, and a zone that is evacuated for a while.
func operatorsChange(f *simulatedFleet) {
	f.at(faultStart)
	f.burst("north-1", 60)
	f.configure("web-2")
	f.at(faultStart + time.Second)
	f.change(registry.Add(catalog.EvacuationRecord("north-1", catalog.Evacuation{OperationID: "o"})))
	f.record.evacuated("north-1")
	f.at(faultStart + 3*time.Second)
	f.record.evacuationEnded("north-1")
	f.change(registry.DeleteSet(catalog.ZoneName("north-1"), catalog.TypeEvacuation))
	f.configure("web")
	f.at(faultEnd + recoveryPeriod) // the zone's replicas are in slow start for a while
	f.record.recoveredAt(faultEnd + 2*recoveryPeriod)
}

// burst sends many requests of one zone at once.
func (f *simulatedFleet) burst(zone string, count int) {
	for i := range count {
		request := f.newRequest(fmt.Sprint("crowd-", i, "-", f.draw()))
		go f.send(zone, request)
	}
}

// TestSimulatedFaults runs each fault scenario with several seeds.
func TestSimulatedFaults(t *testing.T) {
	for name, play := range faultScenarios {
		t.Run(name, func(t *testing.T) {
			for seed := range *simulatedRuns {
				for _, violation := range simulate(t, seed+1, scenario{play: play}) {
					t.Errorf("seed %d: %s", seed+1, violation)
				}
			}
		})
	}
}

// injectedDefects are defects that the checks must detect.
var injectedDefects = map[string]struct {
	rule     string
	scenario string
	inject   func(*simulatedFleet)
	// distort, if set, changes each route map before it is published.
	distort func(*routemap.Map)
}{
	"indeterminate reported as unsent":   {rule: "TWICE", scenario: "replicas", inject: misreporting(FailureUnsent)},
	"indeterminate reported as rejected": {rule: "REFUSED", scenario: "replicas", inject: misreporting(FailureRejected)},
	"home regions are dropped":           {rule: "HOME", scenario: "control nodes", distort: forRoutes(func(r *routemap.Route) { r.HomeRegions = nil })},
	"attempts are not limited": {
		rule: "ATTEMPTS", scenario: "gateways",
		inject: func(f *simulatedFleet) {
			for _, r := range f.replicasOf("model", "") {
				r.setUnresponsive(true)
				f.later(faultEnd, func() { r.setUnresponsive(false) })
			}
		},
		distort: forRoutes(func(r *routemap.Route) { r.MaxAttempts = 9 }),
	},
	"timeouts are not enforced": {
		rule: "TIME", scenario: "replicas",
		inject:  func(f *simulatedFleet) { f.hideTimeouts.Store(true) },
		distort: forRoutes(func(r *routemap.Route) { r.Timeout = time.Hour }),
	},
	"slow-start rate is not known": {
		rule: "COLD", scenario: "replicas",
		inject: func(f *simulatedFleet) {
			f.later(faultStart+1700*time.Millisecond, func() { f.burst("north-1", 250) })
		},
		distort: func(m *routemap.Map) { m.Services[0].SlowStartRate = 0 },
	},
	"evacuation is missed": {rule: "EVACUATION", scenario: "bursts, operators", inject: func(f *simulatedFleet) {
		f.at(faultStart)
		f.gateways[0].missesUpdates.Store(true)
	}},
}

// misreporting makes every gateway report an indeterminate failure with another reason,
// and sends a burst that the crash of a replica interrupts.
func misreporting(failure FailureReason) func(*simulatedFleet) {
	return func(f *simulatedFleet) {
		f.later(faultStart-20*time.Millisecond, func() { f.burst("east-1", 150) })
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

// TestInjectedDefectsAreDetected checks that each check can fail.
func TestInjectedDefectsAreDetected(t *testing.T) {
	const maxSeeds = 8
	for name, defect := range injectedDefects {
		t.Run(name, func(t *testing.T) {
			faults := scenario{distort: defect.distort, play: func(f *simulatedFleet) {
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
			t.Errorf("no run of %d violated %s", maxSeeds, defect.rule)
		})
	}
}
