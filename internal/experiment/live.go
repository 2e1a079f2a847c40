package experiment

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/configuration"
	"github.com/deckpulley/deckpulley/internal/emulator"
	"github.com/deckpulley/deckpulley/internal/standin"
	"github.com/deckpulley/deckpulley/internal/workload"
	"github.com/deckpulley/deckpulley/registry"
	"github.com/deckpulley/deckpulley/routing"
)

// Intervals of the loops around the routers.
const (
	liveConditions = 200 * time.Millisecond
	liveLoads      = 200 * time.Millisecond
	// liveActivation is the time from a change of the table to its activation.
	liveActivation = 100 * time.Millisecond
)

// primaryName is the primary in the head record of the experiment's table.
const primaryName = "control-1"

// live is a deployment's routing in real time and in one process: real routers
// over emulated replicas, with a table of its own and no network.
type live struct {
	profile  *workload.Profile
	gateways []*liveGateway

	table *registry.Table
	// activation keeps plans in the order of the table.
	activation sync.Mutex

	mutex    sync.Mutex
	replicas map[string]*standin.Server
	lost     map[string]bool // regions that do not answer
	cold     int             // restarts, for seeds

	meter *meter
}

// liveGateway is one router with its name.
type liveGateway struct {
	name   string
	region string
	router *routing.Router
}

// newLive builds the fleet with the example document of the deployment, applied
// as version 1, with warm replicas.
func newLive(profile *workload.Profile) (*live, error) {
	table, err := registry.New(catalog.Apex, catalog.Schema(), registry.SOA{Primary: primaryName, Serial: 1}, []string{primaryName})
	if err != nil {
		return nil, fmt.Errorf("making the table: %w", err)
	}
	l := &live{
		profile: profile, table: table, meter: newMeter(),
		replicas: make(map[string]*standin.Server), lost: make(map[string]bool),
	}
	records, err := exampleRecords(table, profile.Name)
	if err != nil {
		return nil, err
	}
	service := profile.Mixes[0].Service
	for _, region := range profile.Regions {
		for index := range region.ModelReplicas {
			name := fmt.Sprintf("%s-replica-%d", region.Name, index+1)
			listed := catalog.Replica{Service: service, Zone: region.Zone, Region: region.Name, Address: name}
			records = append(records, registry.Add(catalog.ReplicaRecord(name, listed)))
			l.startReplica(name, false)
		}
		for index := range gatewaysPerRegion {
			name := fmt.Sprintf("%s-gateway-%d", region.Name, index+1)
			member := catalog.Gateway{Incarnation: "1", Zone: region.Zone, Region: region.Name, Up: true}
			records = append(records, registry.Add(catalog.GatewayRecord(name, member)))
			l.gateways = append(l.gateways, &liveGateway{
				name: name, region: region.Name,
				router: routing.New(routing.Config{Region: region.Name, Gateway: name, Seed: uint64(len(l.gateways)), PollInterval: pollInterval}),
			})
		}
	}
	update := registry.NewUpdate(catalog.Apex, nil, records)
	if result := table.Apply(&update, nil); result.Code != registry.NoError {
		return nil, fmt.Errorf("filling the table: %v", result.Code)
	}
	return l, l.activate()
}

// exampleRecords are the changes that apply a deployment's example document.
func exampleRecords(table *registry.Table, deployment string) ([]registry.Record, error) {
	text, err := configuration.Example(deployment)
	if err != nil {
		return nil, err
	}
	document, err := configuration.Parse(text)
	if err != nil {
		return nil, err
	}
	return configuration.Changes(table.View(), document, 1, "experiment", text)
}

// activate makes the table's present state the plan of every router.
func (l *live) activate() error {
	l.activation.Lock()
	defer l.activation.Unlock()
	contents, err := catalog.Read(l.table.View())
	if err != nil {
		return fmt.Errorf("reading the table: %w", err)
	}
	for _, gateway := range l.gateways {
		gateway.router.SetPlan(contents)
	}
	return nil
}

// startReplica starts a replica, or starts it anew.
func (l *live) startReplica(name string, cold bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if former := l.replicas[name]; former != nil {
		former.Close()
	}
	l.cold++
	l.replicas[name] = standin.NewServer(standin.Config{
		ID: name, Service: l.profile.Mixes[0].Service, Seed: uint64(l.cold), Cold: cold,
		Parameters: emulator.DefaultParameters(emulator.KindModel),
	})
}

func (l *live) close() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, replica := range l.replicas {
		replica.Close()
	}
}

// setLost cuts a region off from everything, or brings it back.
func (l *live) setLost(region string, lost bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.lost[region] = lost
}

func (l *live) isLost(region string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.lost[region]
}

func (l *live) replica(name string) *standin.Server {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.replicas[name]
}

// run drives the loops until ctx ends.
func (l *live) run(ctx context.Context) {
	var group sync.WaitGroup
	for _, gateway := range l.gateways {
		group.Go(func() { every(ctx, pollInterval, func() { l.poll(gateway) }) })
		group.Go(func() { every(ctx, liveConditions, func() { l.writeConditions(gateway) }) })
		group.Go(func() { every(ctx, liveLoads, func() { l.tellLoad(gateway) }) })
	}
	group.Wait()
}

func every(ctx context.Context, interval time.Duration, work func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		work()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (l *live) poll(gateway *liveGateway) {
	for _, name := range gateway.router.Watched() {
		if l.isLost(gateway.region) {
			gateway.router.RecordPollFailure(name, time.Now())
			continue
		}
		gateway.router.Observe(name, *l.replica(name).Report(), time.Now())
	}
}

// writeConditions applies what a gateway has seen to the table and activates it.
func (l *live) writeConditions(gateway *liveGateway) {
	if l.isLost(gateway.region) {
		return
	}
	for _, change := range gateway.router.Conditions(time.Now()) {
		l.writeCondition(change)
	}
}

func (l *live) writeCondition(change routing.ConditionChange) {
	name := catalog.ReplicaName(change.Replica)
	before := registry.Absent(name, catalog.TypeCondition)
	if change.Old != nil {
		before = registry.Equals(catalog.ConditionRecord(change.Replica, *change.Old))
	}
	changes := []registry.Record{
		registry.DeleteSet(name, catalog.TypeCondition),
		registry.Add(catalog.ConditionRecord(change.Replica, change.New)),
	}
	update := registry.NewUpdate(catalog.Apex, []registry.Record{before}, changes)
	if result := l.table.Apply(&update, nil); result.Code != registry.NoError {
		return // the watcher offers the change again
	}
	time.Sleep(liveActivation)
	if err := l.activate(); err != nil {
		l.meter.note(err)
	}
}

func (l *live) tellLoad(gateway *liveGateway) {
	if l.isLost(gateway.region) {
		return
	}
	load := gateway.router.Load()
	for _, other := range l.gateways {
		if other.region != gateway.region && !l.isLost(other.region) {
			other.router.SetRemoteLoad(gateway.region, load, time.Now())
		}
	}
}

// call sends one request as a caller would and meters what becomes of it.
func (l *live) call(run context.Context, request workload.Request, random *rand.Rand) {
	start := time.Now()
	entry := l.entry(request.Region, random)
	resolved, refused := entry.router.Resolve(request.Generate, start)
	if refused != nil {
		l.meter.refused(refused.Code)
		return
	}
	ctx, cancel := context.WithDeadline(run, resolved.Deadline)
	defer cancel()
	for range mostRestarts {
		slot, placing, refused := l.acquire(ctx, entry, resolved, random)
		if run.Err() != nil {
			if slot != nil {
				slot.Finish(routing.ResultNotStarted, nil, time.Now())
			}
			return // the experiment is over
		}
		if refused != nil {
			l.meter.refused(refused.Code)
			return
		}
		if l.restarted(slot, placing) {
			continue
		}
		if placing.region != request.Region {
			l.meter.spilled()
		}
		entry.router.RecordAttempt()
		l.execute(run, ctx, slot, placing.region, request, start)
		return
	}
	l.meter.refused(api.CodeRestarted)
}

// mostRestarts bounds the replicas that refuse one request for their predecessor.
const mostRestarts = 8

// restarted does what a gateway does with the refusal of a replica that is of
// another incarnation than the one placed on: it asks for a report at once.
func (l *live) restarted(slot *routing.Reservation, placing *liveGateway) bool {
	report := l.replica(slot.Replica).Report()
	if report.Incarnation == slot.Incarnation {
		return false
	}
	now := time.Now()
	placing.router.Suspect(slot.Replica, slot.Incarnation, now)
	slot.Finish(routing.ResultNotStarted, nil, now)
	placing.router.Observe(slot.Replica, *report, now)
	return true
}

// entry is a gateway of the client's region, or of another if that is lost.
func (l *live) entry(region string, random *rand.Rand) *liveGateway {
	var candidates []*liveGateway
	for _, gateway := range l.gateways {
		usable := gateway.region == region || l.isLost(region)
		if usable && !l.isLost(gateway.region) {
			candidates = append(candidates, gateway)
		}
	}
	return candidates[random.IntN(len(candidates))]
}

// spillWait is how long a spilled request may wait in the other region's queue.
const spillWait = 2 * time.Second

// acquire tries the regions in the order that the router gives, as a gateway
// does: the own one by its queue, one that the request is spilled to by a bounded
// wait in that queue, others by an offer that is taken at once or not at all.
func (l *live) acquire(ctx context.Context, entry *liveGateway, request routing.Request, random *rand.Rand) (*routing.Reservation, *liveGateway, *api.Error) {
	regions := entry.router.Regions(request)
	refused := entry.router.Rejection(request)
	for position, region := range regions {
		if region == entry.region {
			slot, failure := entry.router.Acquire(ctx, request)
			if failure == nil {
				return slot, entry, nil
			}
			refused = failure
			continue
		}
		if l.isLost(region) {
			continue
		}
		other := l.entry(region, random)
		var slot *routing.Reservation
		var failure *api.Error
		if position == 0 && slices.Contains(regions, entry.region) {
			waiting, cancel := context.WithTimeout(ctx, spillWait)
			slot, failure = other.router.Acquire(waiting, request)
			cancel()
		} else {
			slot, failure = other.router.Reserve(request)
		}
		if failure == nil {
			return slot, other, nil
		}
		refused = failure
	}
	return nil, nil, refused
}

func (l *live) execute(run, ctx context.Context, slot *routing.Reservation, region string, request workload.Request, start time.Time) {
	replica := l.replica(slot.Replica)
	generate := request.Generate
	answer, err := replica.Generate(ctx, &api.ReplicaRequest{
		RequestID: generate.RequestID, Model: generate.Model, Class: generate.Class,
		Prefixes: generate.Prefixes, PromptTokens: generate.PromptTokens, MaxTokens: generate.MaxTokens,
		TimeLeftMS: generate.WaitMS, Stamp: api.Stamp{ConfigurationVersion: slot.Version, ReplicaIncarnation: slot.Incarnation, Attempt: 1},
	}, func() {
		now := time.Now()
		slot.RecordFirstToken(now)
		l.meter.firstToken(now.Sub(start))
	})
	now := time.Now()
	var refused *api.Error
	switch {
	case errors.As(err, &refused):
		slot.Finish(routing.ResultNotStarted, nil, now)
		l.meter.refused(refused.Code)
	case err != nil && run.Err() != nil:
		slot.Finish(routing.ResultCanceled, nil, now)
	case err != nil || l.isLost(region):
		slot.Finish(routing.ResultFailed, nil, now)
		l.meter.failed()
	default:
		slot.RecordCachedTokens(answer.CachedTokens)
		slot.Finish(routing.ResultSuccess, answer.Report, now)
		l.meter.answered()
	}
}
