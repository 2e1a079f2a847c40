package experiment

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/internal/workload"
	"github.com/deckpulley/deckpulley/routing"
)

// runCallers sends the generated traffic until ctx is done, and waits for the requests in
// flight.
func (l *liveFleet) runCallers(ctx context.Context, scenario workload.Scenario, seed uint64) {
	generator := workload.New(l.profile, scenario, seed, "response")
	start := time.Now()
	var group sync.WaitGroup
	defer group.Wait()
	for number := uint64(0); ; number++ {
		request := generator.Next()
		if request.Generate.Class == api.ClassFetch {
			continue
		}
		if !sleepContext(ctx, time.Until(start.Add(request.At))) {
			return
		}
		group.Go(func() { l.sendRequest(ctx, request, rand.New(rand.NewPCG(seed, number))) })
	}
}

// reservedSlot is a reservation together with the gateway whose router made it.
type reservedSlot struct {
	slot    *routing.Reservation
	gateway *liveGateway
}

// sendRequest sends one request through a gateway, like a caller, and counts its outcome.
// run is done when the experiment ends.
func (l *liveFleet) sendRequest(run context.Context, request workload.Request, random *rand.Rand) {
	start := time.Now()
	entry := l.drawGateway(request.Region, random)
	resolved, refused := entry.router.Resolve(request.Generate, start)
	if refused != nil {
		l.meter.countRefusal(refused.Code)
		return
	}
	ctx, cancel := context.WithDeadline(run, resolved.Deadline)
	defer cancel()
	for range maxRestartRetries {
		reserved, refused := l.acquire(ctx, entry, resolved, random)
		if run.Err() != nil { // the experiment has ended
			if reserved.slot != nil {
				reserved.slot.Finish(routing.ResultNotStarted, nil, time.Now())
			}
			return
		}
		if refused != nil {
			l.meter.countRefusal(refused.Code)
			return
		}
		if l.handleRestart(reserved) {
			continue
		}
		if reserved.gateway.region != request.Region {
			l.meter.countSpill()
		}
		entry.router.RecordAttempt()
		l.execute(run, ctx, reserved, request, start)
		return
	}
	l.meter.countRefusal(api.CodeRestarted)
}

// maxRestartRetries is the maximum number of attempts of one request that find a restarted
// replica.
const maxRestartRetries = 8

// handleRestart reports whether the replica has restarted since the router placed the
// request. If so, it does what a gateway does when such a replica refuses a request: it
// marks the replica as suspect, finishes the reservation and reads a new report.
func (l *liveFleet) handleRestart(reserved reservedSlot) bool {
	slot, router := reserved.slot, reserved.gateway.router
	report := l.replicaNamed(slot.Replica).Report()
	if report.Incarnation == slot.Incarnation {
		return false
	}
	now := time.Now()
	router.RecordConnectionFailure(slot.Replica, slot.Incarnation, now)
	slot.Finish(routing.ResultNotStarted, nil, now)
	router.RecordReport(slot.Replica, *report, now)
	return true
}

// drawGateway returns a random gateway of the region, or of any connected region if the
// given one is disconnected.
func (l *liveFleet) drawGateway(region string, random *rand.Rand) *liveGateway {
	var candidates []*liveGateway
	for _, gateway := range l.gateways {
		usable := gateway.region == region || l.isDisconnected(region)
		if usable && !l.isDisconnected(gateway.region) {
			candidates = append(candidates, gateway)
		}
	}
	return candidates[random.IntN(len(candidates))]
}

// spillWait is the maximum time that a spilled request waits in the other region's queue.
const spillWait = 2 * time.Second

// acquire reserves a slot. Like a gateway, it tries the regions in the order that the
// router returns. In the local region the request waits in the queue; in a region to which
// it is spilled it waits for at most spillWait; in other regions it does not wait.
func (l *liveFleet) acquire(ctx context.Context, entry *liveGateway, request routing.Request, random *rand.Rand) (reservedSlot, *api.Error) {
	regions := entry.router.Regions(request)
	refused := entry.router.Rejection(request)
	for position, region := range regions {
		if region == entry.region {
			slot, failure := entry.router.Acquire(ctx, request)
			if failure == nil {
				return reservedSlot{slot: slot, gateway: entry}, nil
			}
			refused = failure
			continue
		}
		if l.isDisconnected(region) {
			continue
		}
		remote := l.drawGateway(region, random)
		spilled := position == 0 && slices.Contains(regions, entry.region)
		slot, failure := remote.reserveForRemote(ctx, request, spilled)
		if failure == nil {
			return reservedSlot{slot: slot, gateway: remote}, nil
		}
		refused = failure
	}
	return reservedSlot{}, refused
}

// reserveForRemote reserves a slot for a request from another region. A spilled request
// waits for a slot for up to spillWait, others do not wait.
func (g *liveGateway) reserveForRemote(ctx context.Context, request routing.Request, spilled bool) (*routing.Reservation, *api.Error) {
	if !spilled {
		return g.router.Reserve(request)
	}
	ctx, cancel := context.WithTimeout(ctx, spillWait)
	defer cancel()
	return g.router.Acquire(ctx, request)
}

// execute runs a request on the reserved replica and counts its outcome. run is done when
// the experiment ends, ctx also at the deadline of the request.
func (l *liveFleet) execute(run, ctx context.Context, reserved reservedSlot, request workload.Request, start time.Time) {
	slot := reserved.slot
	replica := l.replicaNamed(slot.Replica)
	answer, err := replica.Generate(ctx, replicaRequest(&request.Generate, slot), func() {
		now := time.Now()
		slot.RecordFirstToken(now)
		l.meter.recordFirstToken(now.Sub(start))
	})
	now := time.Now()
	var refused *api.Error
	switch {
	case errors.As(err, &refused):
		slot.Finish(routing.ResultNotStarted, nil, now)
		l.meter.countRefusal(refused.Code)
	case err != nil && run.Err() != nil:
		slot.Finish(routing.ResultCanceled, nil, now)
	case err != nil || l.isDisconnected(reserved.gateway.region):
		slot.Finish(routing.ResultFailed, nil, now)
		l.meter.countFailure()
	default:
		slot.RecordCachedTokens(answer.CachedTokens)
		slot.Finish(routing.ResultSuccess, answer.Report, now)
		l.meter.countAnswer()
	}
}

// replicaRequest returns the request that a gateway sends to the reserved replica.
func replicaRequest(request *api.GenerateRequest, slot *routing.Reservation) *api.ReplicaRequest {
	return &api.ReplicaRequest{
		RequestID:    request.RequestID,
		Model:        request.Model,
		Class:        request.Class,
		Prefixes:     request.Prefixes,
		PromptTokens: request.PromptTokens,
		MaxTokens:    request.MaxTokens,
		TimeLeftMS:   request.WaitMS,
		Stamp: api.Stamp{
			ConfigurationVersion: slot.Version,
			ReplicaIncarnation:   slot.Incarnation,
			Attempt:              1,
		},
	}
}
