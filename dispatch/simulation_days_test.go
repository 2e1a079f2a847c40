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

// simulatedSeeds is how many times each bad day is played.
var simulatedSeeds = flag.Uint64("simulated-days", 4, "days to simulate of each kind of trouble")

const (
	troubleAt = 3 * time.Second
	// troubleEnd is when the trouble is over, and settleTime how long the fleet has
	// to be well again.
	troubleEnd = 8 * time.Second
	settleTime = 2 * time.Second
)

// at waits until a time of the day.
func (f *simulatedFleet) at(when time.Duration) { time.Sleep(time.Until(f.began.Add(when))) }

// later does something at a time of the day.
func (f *simulatedFleet) later(when time.Duration, do func()) {
	time.AfterFunc(time.Until(f.began.Add(when)), do)
}

// settle says that the trouble is over and nothing may be wrong soon after.
func (f *simulatedFleet) settle() { f.record.settledAt(troubleEnd + settleTime) }

// badDays are the five kinds of bad days: replicas; own machines; control machines;
// zones and regions; crowds and operators.
var badDays = map[string]func(*simulatedFleet){
	"replicas":          replicasFail,
	"own machines":      gatewaysFail,
	"control machines":  controlFails,
	"zones and regions": regionsFail,
	"crowds, operators": operatorsChange,
}

// replicasFail: one crashes and is replaced at its address, one of each service
// falls silent, one is slow, and one comes back cold.
func replicasFail(f *simulatedFleet) {
	models := f.replicasOf("model", "")
	f.at(troubleAt)
	crashed, silent, slow := models[0], models[1], models[2]
	silentPage := f.replicasOf("web", "north-1")[0]
	crashed.crash()
	silent.setDark(true)
	silentPage.setDark(true)
	slow.mutex.Lock()
	slow.slowness = 2
	slow.mutex.Unlock()
	f.at(troubleAt + 500*time.Millisecond)
	other := &simulatedReplica{id: "other-at-" + crashed.id, zone: crashed.zone, service: "web-2", address: crashed.address, slowness: 1, enginePace: 0.5}
	f.place(other) // the list still names the one that crashed
	f.at(troubleAt + 1500*time.Millisecond)
	f.change(registry.DeleteName(catalog.ReplicaName(crashed.id)))
	f.addReplica("new-"+crashed.id, crashed.zone, "model")
	fresh := f.replicaAt("new-" + crashed.id + ":80")
	f.makeCold(fresh, true)
	f.at(troubleEnd)
	silent.setDark(false)
	silentPage.setDark(false)
	f.makeCold(fresh, false)
	f.settle()
}

// gatewaysFail: one is killed and starts again without knowledge, one stays away,
// and one leaves in order.
func gatewaysFail(f *simulatedFleet) {
	f.at(troubleAt)
	killed, lost := f.gateways[0], f.gateways[3]
	killed.end()
	lost.end()
	f.at(troubleAt + time.Second)
	killed.start()
	f.spread()
	f.change(registry.Add(catalog.GatewayRecord(lost.name, catalog.Gateway{Region: lost.region(), Zone: lost.zone})))
	f.at(troubleEnd)
	f.settle()
}

// controlFails: no change reaches anyone while replicas go and come.
func controlFails(f *simulatedFleet) {
	f.at(troubleAt)
	f.controlLost = true
	models := f.replicasOf("model", "north-1")
	models[0].crash()
	f.at(troubleAt + time.Second)
	f.change(registry.DeleteName(catalog.ReplicaName(models[0].id)))
	f.addReplica("later", "north-1", "model")
	f.makeCold(f.replicaAt("later:80"), true)
	f.gateways[1].end()
	f.at(troubleAt + 2*time.Second)
	f.gateways[1].start()
	f.at(troubleAt + 3*time.Second)
	f.controlLost = false
	f.spread()
	f.at(troubleEnd)
	f.makeCold(f.replicaAt("later:80"), false)
	f.settle()
}

// regionsFail: the south is lost with all in it, and the east is cut off from the
// registry and from the other gateways while a replica there is cold.
func regionsFail(f *simulatedFleet) {
	f.at(troubleAt)
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
	cold := f.replicasOf("model", "east-1")[0]
	f.makeCold(cold, true)
	f.at(troubleAt + 2*updateDelay)
	for _, g := range f.gateways {
		if g.region() == "east" {
			g.cutOff.Store(true)
			f.change(registry.Add(catalog.GatewayRecord(g.name, catalog.Gateway{Region: "east", Zone: g.zone})))
		}
	}
	f.at(troubleAt + 3*time.Second)
	for _, g := range f.gateways {
		g.cutOff.Store(false)
		f.change(registry.Add(catalog.GatewayRecord(g.name, catalog.Gateway{Region: g.region(), Zone: g.zone, Up: g.region() != "south"})))
	}
	f.at(troubleEnd)
	f.makeCold(cold, false)
	f.settle()
}

// operatorsChange: a crowd, a new configuration that moves pages to another
// service, a zone evacuated and taken back.
func operatorsChange(f *simulatedFleet) {
	f.at(troubleAt)
	f.crowd("north-1", 60)
	f.configure("web-2")
	f.at(troubleAt + time.Second)
	f.change(registry.Add(catalog.EvacuationRecord("north-1", catalog.Evacuation{OperationID: "o"})))
	f.record.evacuated("north-1")
	f.at(troubleAt + 3*time.Second)
	f.record.takenBack("north-1")
	f.change(registry.DeleteSet(catalog.ZoneName("north-1"), catalog.TypeEvacuation))
	f.configure("web")
	f.at(troubleEnd + settleTime) // the zone's replicas count as cold for a while
	f.record.settledAt(troubleEnd + 2*settleTime)
}

// crowd sends many requests of one zone at once.
func (f *simulatedFleet) crowd(zone string, count int) {
	for i := range count {
		request := f.newRequest(fmt.Sprint("crowd-", i, "-", f.draw()))
		go f.ask(zone, request)
	}
}

// TestBadDays plays every kind of bad day with several seeds.
func TestBadDays(t *testing.T) {
	for name, play := range badDays {
		t.Run(name, func(t *testing.T) {
			for seed := range *simulatedSeeds {
				for _, wrong := range simulate(t, seed+1, simulatedTrouble{play: play}) {
					t.Errorf("seed %d: %s", seed+1, wrong)
				}
			}
		})
	}
}

// plantedDefects are faults that the checks must see.
var plantedDefects = map[string]struct {
	rule  string
	day   string
	plant func(*simulatedFleet)
	// distort changes every map of routes on its way.
	distort func(*routemap.Map)
}{
	"a break is called unsent": {rule: "TWICE", day: "replicas", plant: lying(FailureUnsent)},
	"a break is called full":   {rule: "REFUSED", day: "replicas", plant: lying(FailureRejected)},
	"homes are lost":           {rule: "HOME", day: "control machines", distort: forRoutes(func(r *routemap.Route) { r.HomeRegions = nil })},
	"attempts are not bounded": {
		rule: "ATTEMPTS", day: "own machines",
		plant: func(f *simulatedFleet) {
			for _, r := range f.replicasOf("model", "") {
				r.setDark(true)
				f.later(troubleEnd, func() { r.setDark(false) })
			}
		},
		distort: forRoutes(func(r *routemap.Route) { r.MaxAttempts = 9 }),
	},
	"times are not bounded": {
		rule: "TIME", day: "replicas",
		plant:   func(f *simulatedFleet) { f.untold.Store(true) },
		distort: forRoutes(func(r *routemap.Route) { r.Timeout = time.Hour }),
	},
	"cold rates are unknown": {
		rule: "COLD", day: "replicas",
		plant: func(f *simulatedFleet) {
			f.later(troubleAt+1700*time.Millisecond, func() { f.crowd("north-1", 250) })
		},
		distort: func(m *routemap.Map) { m.Services[0].SlowStartRate = 0 },
	},
	"an evacuation is not heard": {rule: "EVACUATION", day: "crowds, operators", plant: func(f *simulatedFleet) {
		f.at(troubleAt)
		f.gateways[0].deaf.Store(true)
	}},
}

// lying makes every gateway call a break something else, and sends a crowd that a
// crash will break.
func lying(failure FailureReason) func(*simulatedFleet) {
	return func(f *simulatedFleet) {
		f.later(troubleAt-20*time.Millisecond, func() { f.crowd("east-1", 150) })
		for _, g := range f.gateways {
			g.lie(func(err error) error {
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

// TestPlantedDefectsAreSeen: a check that cannot fail is none.
func TestPlantedDefectsAreSeen(t *testing.T) {
	const mostSeeds = 8
	for name, defect := range plantedDefects {
		t.Run(name, func(t *testing.T) {
			day := simulatedTrouble{distort: defect.distort, play: func(f *simulatedFleet) {
				if defect.plant != nil {
					defect.plant(f)
				}
				badDays[defect.day](f)
			}}
			for seed := range uint64(mostSeeds) {
				for _, wrong := range simulate(t, seed+1, day) {
					if strings.HasPrefix(wrong, defect.rule+":") {
						return
					}
				}
			}
			t.Errorf("no day of %d broke %s", mostSeeds, defect.rule)
		})
	}
}
