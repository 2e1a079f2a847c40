package experiment

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/configuration"
	"github.com/deckpulley/deckpulley/internal/emulator"
	"github.com/deckpulley/deckpulley/internal/standin"
	"github.com/deckpulley/deckpulley/internal/workload"
	"github.com/deckpulley/deckpulley/registry"
	"github.com/deckpulley/deckpulley/routing"
)

// Intervals of the loops that a gateway runs around its router.
const (
	conditionInterval = 200 * time.Millisecond
	loadInterval      = 200 * time.Millisecond
	// activationDelay is the time from a change of the table to its activation. It
	// stands in for the replication of the change in a deployment.
	activationDelay = 100 * time.Millisecond
)

// primaryName is the name of the primary in the table's SOA record.
const primaryName = "control-1"

// liveFleet runs the request routing of a deployment in real time within one process:
// production routers and a registry table, with emulated replicas and without a network.
type liveFleet struct {
	profile  *workload.Profile
	gateways []*liveGateway

	table *registry.Table
	// activationMutex serializes activations, so that the routers receive plans in the
	// order of the table's serials.
	activationMutex sync.Mutex

	mutex           sync.Mutex
	replicas        map[string]*standin.Server
	disconnected    map[string]bool // by region
	startedReplicas int             // replicas started so far; the seed of the next one is one higher

	meter *meter
}

// liveGateway is one gateway, reduced to its router.
type liveGateway struct {
	name   string
	region string
	router *routing.Router
}

// newLiveFleet returns a fleet with warm replicas. Its table contains the deployment's
// example configuration document as version 1. The caller must call close.
func newLiveFleet(profile *workload.Profile) (*liveFleet, error) {
	table, err := registry.New(catalog.Apex, catalog.Schema(), registry.SOA{Primary: primaryName, Serial: 1}, []string{primaryName})
	if err != nil {
		return nil, fmt.Errorf("creating the table: %w", err)
	}
	l := &liveFleet{
		profile: profile, table: table, meter: newMeter(),
		replicas: make(map[string]*standin.Server), disconnected: make(map[string]bool),
	}
	records, err := exampleRecords(table, profile.Name)
	if err != nil {
		return nil, err
	}
	for _, region := range profile.Regions {
		records = append(records, l.addReplicas(region)...)
		records = append(records, l.addGateways(region)...)
	}
	update := registry.NewUpdate(catalog.Apex, nil, records)
	if result := table.Apply(&update, nil); result.Code != registry.NoError {
		return nil, fmt.Errorf("writing the initial records to the table: %v", result.Code)
	}
	return l, l.activate()
}

// addReplicas starts the replicas of a region and returns the registry changes that add
// them to the table.
func (l *liveFleet) addReplicas(region workload.Region) []registry.Record {
	var records []registry.Record
	service := l.profile.Mixes[0].Service
	for index := range region.ModelReplicas {
		name := replicaName(region.Name, index)
		listed := catalog.Replica{Service: service, Zone: region.Zone, Region: region.Name, Address: name}
		records = append(records, registry.Add(catalog.ReplicaRecord(name, listed)))
		l.startReplica(name, false)
	}
	return records
}

// replicaName returns the name of the replica with the given zero-based index in a region.
func replicaName(region string, index int) string {
	return fmt.Sprintf("%s-replica-%d", region, index+1)
}

// addGateways creates the routers of a region and returns the registry changes that add
// its gateways to the table.
func (l *liveFleet) addGateways(region workload.Region) []registry.Record {
	var records []registry.Record
	for index := range gatewaysPerRegion {
		name := fmt.Sprintf("%s-gateway-%d", region.Name, index+1)
		listed := catalog.Gateway{Incarnation: "1", Zone: region.Zone, Region: region.Name, Up: true}
		records = append(records, registry.Add(catalog.GatewayRecord(name, listed)))
		router := routing.New(routing.Config{
			Region: region.Name, Gateway: name, Seed: uint64(len(l.gateways)), PollInterval: pollInterval,
		})
		l.gateways = append(l.gateways, &liveGateway{name: name, region: region.Name, router: router})
	}
	return records
}

// exampleRecords returns the registry changes that apply a deployment's example
// configuration document.
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

// activate sets the current state of the table as the plan of every router.
func (l *liveFleet) activate() error {
	l.activationMutex.Lock()
	defer l.activationMutex.Unlock()
	state, err := catalog.Read(l.table.View())
	if err != nil {
		return fmt.Errorf("reading the table: %w", err)
	}
	for _, gateway := range l.gateways {
		gateway.router.SetPlan(state)
	}
	return nil
}

// startReplica starts a replica, warm or cold. It closes an existing replica of the same
// name first.
func (l *liveFleet) startReplica(name string, cold bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if previous := l.replicas[name]; previous != nil {
		previous.Close()
	}
	l.startedReplicas++
	l.replicas[name] = standin.NewServer(standin.Config{
		ID: name, Service: l.profile.Mixes[0].Service, Seed: uint64(l.startedReplicas), Cold: cold,
		Parameters: emulator.DefaultParameters(emulator.KindModel),
	})
}

// close closes all replicas.
func (l *liveFleet) close() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, replica := range l.replicas {
		replica.Close()
	}
}

// setDisconnected disconnects a region from all other regions and from its clients, or
// reconnects it.
func (l *liveFleet) setDisconnected(region string, lost bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.disconnected[region] = lost
}

func (l *liveFleet) isDisconnected(region string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.disconnected[region]
}

// replicaNamed returns the current replica with the given name.
func (l *liveFleet) replicaNamed(name string) *standin.Server {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.replicas[name]
}

// run runs the periodic loops of all gateways until ctx is done, and waits until they end.
func (l *liveFleet) run(ctx context.Context) {
	var group sync.WaitGroup
	for _, gateway := range l.gateways {
		group.Go(func() { runEvery(ctx, pollInterval, func() { l.poll(gateway) }) })
		group.Go(func() { runEvery(ctx, conditionInterval, func() { l.updateConditions(gateway) }) })
		group.Go(func() { runEvery(ctx, loadInterval, func() { l.exchangeLoad(gateway) }) })
	}
	group.Wait()
}

// runEvery calls work immediately and then at every interval until ctx is done.
func runEvery(ctx context.Context, interval time.Duration, work func()) {
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

// poll passes the current reports of the replicas that a router watches to the router.
func (l *liveFleet) poll(gateway *liveGateway) {
	for _, name := range gateway.router.LocalReplicas() {
		if l.isDisconnected(gateway.region) {
			gateway.router.RecordPollFailure(name, time.Now())
			continue
		}
		gateway.router.RecordReport(name, *l.replicaNamed(name).Report(), time.Now())
	}
}

// updateConditions writes the changed replica conditions that a gateway's router proposes
// to the table.
func (l *liveFleet) updateConditions(gateway *liveGateway) {
	if l.isDisconnected(gateway.region) {
		return
	}
	for _, change := range gateway.router.ProposeConditions(time.Now()) {
		l.applyConditionChange(change)
	}
}

// applyConditionChange writes one condition and activates it after activationDelay. It does
// nothing if the condition in the table has changed in the meantime.
func (l *liveFleet) applyConditionChange(change routing.ConditionChange) {
	name := catalog.ReplicaName(change.Replica)
	prerequisite := registry.Absent(name, catalog.TypeCondition)
	if change.Old != nil {
		prerequisite = registry.Equals(catalog.ConditionRecord(change.Replica, *change.Old))
	}
	changes := []registry.Record{
		registry.DeleteRRset(name, catalog.TypeCondition),
		registry.Add(catalog.ConditionRecord(change.Replica, change.New)),
	}
	update := registry.NewUpdate(catalog.Apex, []registry.Record{prerequisite}, changes)
	if result := l.table.Apply(&update, nil); result.Code != registry.NoError {
		return // the router proposes the change again
	}
	time.Sleep(activationDelay)
	if err := l.activate(); err != nil {
		l.meter.recordError(err)
	}
}

// exchangeLoad sends the utilization that a gateway measures in its region to the gateways
// of all other connected regions.
func (l *liveFleet) exchangeLoad(gateway *liveGateway) {
	if l.isDisconnected(gateway.region) {
		return
	}
	load := gateway.router.Utilization()
	for _, other := range l.gateways {
		if other.region != gateway.region && !l.isDisconnected(other.region) {
			other.router.RecordRemoteUtilization(gateway.region, load, time.Now())
		}
	}
}
