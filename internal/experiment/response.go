package experiment

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/internal/workload"
	"github.com/deckpulley/deckpulley/registry"
)

// Timing of a response experiment.
const (
	// The disturbance lasts from disturbanceStart to disturbanceEnd.
	disturbanceStart = 30 * time.Second
	disturbanceEnd   = 45 * time.Second
	responseDuration = 75 * time.Second
	sampleInterval   = 250 * time.Millisecond
	// smoothingSamples is the number of samples in the moving average of a value.
	smoothingSamples = 4
	// settledTolerance is the largest relative deviation above the set point at which a
	// value counts as settled.
	settledTolerance = 0.1
	// membershipDelay is the time from the disconnection of a region until its gateways
	// are marked as down.
	membershipDelay = 3 * time.Second
	// baselineWindow is the length of the window before the disturbance over which
	// Reaction.Before is computed.
	baselineWindow = 10 * time.Second
)

// Disturbance names a response experiment by the disturbance that it applies.
type Disturbance string

const (
	// DisturbStep triples the load.
	DisturbStep Disturbance = "step"
	// DisturbSwing alternates between long prompts and long answers.
	DisturbSwing Disturbance = "swing"
	// DisturbCold restarts the largest region's replicas cold.
	DisturbCold Disturbance = "cold"
	// DisturbLostRegion disconnects the largest region.
	DisturbLostRegion Disturbance = "lost-region"
)

// Disturbances returns the disturbances of all response experiments.
func Disturbances() []Disturbance {
	return []Disturbance{DisturbStep, DisturbSwing, DisturbCold, DisturbLostRegion}
}

// Response is the result of a response experiment.
type Response struct {
	Deployment  string
	Disturbance Disturbance
	Limits      catalog.Limits
	Regions     []string
	Samples     []Sample
	// Answers, Refusals, Failures and Spills count the requests of the whole run. Codes
	// counts the refusals by code.
	Answers, Refusals, Failures, Spills int
	Codes                               map[api.Code]int
}

// RunResponse runs the routers of a deployment in real time through a disturbance. The run
// takes responseDuration. If an error occurs during the run, RunResponse returns it
// together with the samples.
func RunResponse(ctx context.Context, deployment string, disturbance Disturbance, seed uint64) (*Response, error) {
	profile, err := workload.ByName(deployment)
	if err != nil {
		return nil, err
	}
	fleet, err := newLiveFleet(profile)
	if err != nil {
		return nil, err
	}
	defer fleet.close()
	ctx, cancel := context.WithTimeout(ctx, responseDuration)
	defer cancel()
	state, err := catalog.Read(fleet.table.View())
	if err != nil {
		return nil, fmt.Errorf("reading the table: %w", err)
	}
	response := &Response{Deployment: deployment, Disturbance: disturbance, Limits: state.Limits()}
	for _, region := range profile.Regions {
		response.Regions = append(response.Regions, region.Name)
	}
	var group sync.WaitGroup
	group.Go(func() { fleet.run(ctx) })
	group.Go(func() { fleet.runCallers(ctx, callerScenario(disturbance), seed) })
	group.Go(func() { fleet.applyDisturbance(ctx, disturbance) })
	start := time.Now()
	runEvery(ctx, sampleInterval, func() {
		response.Samples = append(response.Samples, fleet.sample(time.Since(start)))
	})
	group.Wait()
	total, err := fleet.meter.totals()
	response.Answers, response.Refusals = total.answers, total.refusals
	response.Failures, response.Spills, response.Codes = total.failures, total.spills, total.codes
	return response, err
}

// callerScenario returns the traffic scenario of a disturbance, or nil if the disturbance
// does not change the traffic.
func callerScenario(disturbance Disturbance) workload.Scenario {
	switch disturbance {
	case DisturbStep:
		return workload.FlashCrowd(disturbanceStart, disturbanceEnd-disturbanceStart, 3)
	case DisturbSwing:
		return workload.AlternateLengths(disturbanceStart, (disturbanceEnd-disturbanceStart)/2, disturbanceEnd, 3)
	default:
		return nil
	}
}

// applyDisturbance changes replicas and regions at the times of the disturbance.
func (l *liveFleet) applyDisturbance(ctx context.Context, disturbance Disturbance) {
	if !sleepContext(ctx, disturbanceStart) {
		return
	}
	region := l.profile.Regions[0]
	switch disturbance {
	case DisturbCold:
		for index := range region.ModelReplicas {
			l.startReplica(replicaName(region.Name, index), true)
		}
	case DisturbLostRegion:
		l.setDisconnected(region.Name, true)
		sleepContext(ctx, membershipDelay)
		l.setGatewaysUp(region.Name, false)
		sleepContext(ctx, disturbanceEnd-disturbanceStart-membershipDelay)
		l.setDisconnected(region.Name, false)
		l.setGatewaysUp(region.Name, true)
	}
}

// sleepContext waits for a duration. It returns false if ctx is done first.
func sleepContext(ctx context.Context, wait time.Duration) bool {
	select {
	case <-time.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}

// setGatewaysUp marks the gateways of a region as up or down in the table.
func (l *liveFleet) setGatewaysUp(region string, up bool) {
	state, err := catalog.Read(l.table.View())
	if err != nil {
		l.meter.recordError(err)
		return
	}
	var changes []registry.Record
	for name, gateway := range state.Gateways() {
		if gateway.Region == region {
			gateway.Up = up
			changes = append(changes, registry.Add(catalog.GatewayRecord(name, gateway)))
		}
	}
	update := registry.NewUpdate(catalog.Apex, nil, changes)
	if result := l.table.Apply(&update, nil); result.Code != registry.NoError {
		l.meter.recordError(fmt.Errorf("writing the states of gateways: %v", result.Code))
	}
	if err := l.activate(); err != nil {
		l.meter.recordError(err)
	}
}
