package scenario

import (
	"math/rand/v2"
	"time"

	"github.com/deckpulley/deckpulley/internal/fleet"
)

// episode returns randomly drawn steps that inject a fault and end it, so that the fleet is
// healthy afterwards.
type episode func(random *rand.Rand, deployment fleet.Deployment) []Step

// randomStream selects a random sequence for the faults that differs from others with the
// same seed.
const randomStream = 0x72616e64

// drawSteps draws episodes from the seed until they fill the given time. Each episode ends
// before the next one starts, so that at most one control node, zone or region is lost at a
// time.
func drawSteps(spec Random, seed uint64, deployment fleet.Deployment) []Step {
	random := rand.New(rand.NewPCG(seed, randomStream))
	episodes := []episode{
		killGateway, killControl, freezeControl, wipeControl, cutRegion, cutOneDirection,
		evacuateZone, drainReplica, breakStreams, changeConfiguration, addCrowd, freezeGateway,
	}
	var steps []Step
	for at := time.Duration(0); at < time.Duration(spec.For); at += time.Duration(spec.Interval) {
		drawn := episodes[random.IntN(len(episodes))](random, deployment)
		start := Duration(at)
		drawn[0].At = &start
		steps = append(steps, drawn...)
	}
	return steps
}

func pickRegion(random *rand.Rand, deployment fleet.Deployment) fleet.RegionPlan {
	return deployment.Regions[random.IntN(len(deployment.Regions))]
}

func pickGateway(random *rand.Rand, deployment fleet.Deployment) string {
	plan := pickRegion(random, deployment)
	return fleet.GatewayName(plan.Name, 1+random.IntN(plan.Gateways))
}

func pickModel(random *rand.Rand, deployment fleet.Deployment) string {
	plan := pickRegion(random, deployment)
	return fleet.ModelName(plan.Name, 1+random.IntN(plan.Models))
}

func pickControl(random *rand.Rand) string {
	return []string{targetPrimary, targetFollower}[random.IntN(2)]
}

// between draws a random duration in the half-open interval [from, to).
func between(random *rand.Rand, from, to time.Duration) *Duration {
	drawn := Duration(from + time.Duration(random.Int64N(int64(to-from))))
	return &drawn
}

func killGateway(random *rand.Rand, deployment fleet.Deployment) []Step {
	return []Step{
		{Do: Kill, Target: pickGateway(random, deployment)},
		{Do: Start, Target: targetLost, After: between(random, time.Second, 5*time.Second)},
		{Do: Wait, When: WhenReady},
	}
}

func freezeGateway(random *rand.Rand, deployment fleet.Deployment) []Step {
	return []Step{
		{Do: Freeze, Target: pickGateway(random, deployment), For: *between(random, time.Second, 8*time.Second)},
		{Do: Wait, When: WhenReady},
	}
}

func killControl(random *rand.Rand, _ fleet.Deployment) []Step {
	return []Step{
		{Do: Kill, Target: pickControl(random)},
		{Do: Configure},
		{Do: Start, Target: targetLost, After: between(random, time.Second, 5*time.Second)},
		{Do: Wait, When: WhenRepaired},
		{Do: Read},
	}
}

func freezeControl(random *rand.Rand, _ fleet.Deployment) []Step {
	return []Step{
		{Do: Freeze, Target: targetPrimary, For: *between(random, 20*time.Second, 26*time.Second), Background: true},
		{Do: Configure, After: between(random, time.Second, 4*time.Second)},
		{Do: Configure, After: between(random, 22*time.Second, 24*time.Second)},
		{Do: Wait, When: WhenRepaired},
	}
}

func wipeControl(random *rand.Rand, _ fleet.Deployment) []Step {
	return []Step{
		{Do: Configure},
		{Do: Wipe, Target: pickControl(random)},
		{Do: Start, Target: targetLost, After: between(random, 0, 2*time.Second)},
		{Do: Wait, When: WhenRepaired},
		{Do: Read},
	}
}

func cutRegion(random *rand.Rand, deployment fleet.Deployment) []Step {
	return []Step{
		{Do: Cut, Target: regionPrefix + pickRegion(random, deployment).Name, For: *between(random, 4*time.Second, 10*time.Second)},
		{Do: Wait, When: WhenReady},
	}
}

func cutOneDirection(random *rand.Rand, _ fleet.Deployment) []Step {
	return []Step{
		{Do: Cut, Target: targetPrimary, OneWay: true, For: *between(random, 4*time.Second, 10*time.Second)},
		{Do: Wait, When: WhenReady},
	}
}

func evacuateZone(random *rand.Rand, deployment fleet.Deployment) []Step {
	zone := pickRegion(random, deployment).Zone
	return []Step{
		{Do: Evacuate, Target: zone},
		{Do: Withdraw, Target: zone, After: between(random, 6*time.Second, 10*time.Second)},
	}
}

func drainReplica(random *rand.Rand, deployment fleet.Deployment) []Step {
	replica := pickModel(random, deployment)
	begin, end := Drain, Undrain
	if random.IntN(2) == 0 {
		begin, end = ListDrain, ListUndrain
	}
	return []Step{
		{Do: begin, Target: replica},
		{Do: end, Target: replica, After: between(random, 5*time.Second, 8*time.Second)},
	}
}

func breakStreams(random *rand.Rand, deployment fleet.Deployment) []Step {
	kinds := []string{"break_mid_event", "break_between_events", "break_before_end", "crossed", "wrong_id", "short_body", "error_in_success", "skip_piece"}
	fault := &fleet.ReplicaFault{Kind: kinds[random.IntN(len(kinds))], Count: 1 + random.IntN(4), AfterEvents: random.IntN(6)}
	return []Step{{Do: ReplicaFault, Target: pickModel(random, deployment), Fault: fault}}
}

func changeConfiguration(random *rand.Rand, _ fleet.Deployment) []Step {
	actions := []Action{Configure, Race, LoseAnswer, ConfigureBad, Outrace}
	return []Step{{Do: actions[random.IntN(len(actions))]}, {Do: Resend}}
}

func addCrowd(random *rand.Rand, _ fleet.Deployment) []Step {
	return []Step{{Do: Crowd, Factor: 1.3, For: *between(random, 3*time.Second, 6*time.Second)}}
}
