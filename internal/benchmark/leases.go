package benchmark

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/configuration"
	"github.com/deckpulley/deckpulley/peer"
)

// leasePollInterval is the interval at which awaitHolders polls the holders.
const leasePollInterval = 50 * time.Millisecond

// usageReading is the total resource usage of the control nodes up to a point in time.
type usageReading struct {
	at           time.Time
	processor    time.Duration
	bytes        uint64 // sent and received by all control nodes, all message kinds
	renewals     uint64 // answered by all control nodes
	renewalBytes uint64 // sent and received, for renewals and their answers
}

// readUsage reads the counters. The CPU time is that of this process, in which only the
// control nodes work.
func (g *group) readUsage() (usageReading, error) {
	used, err := processorTime()
	if err != nil {
		return usageReading{}, err
	}
	current := usageReading{at: time.Now(), processor: used}
	for _, member := range g.members {
		for kind, counters := range member.network.Counters() {
			current.bytes += counters.SentBytes + counters.ReceivedBytes
			if kind == peer.KindRenew {
				current.renewals += counters.SentMessages
				current.renewalBytes += counters.SentBytes + counters.ReceivedBytes
			}
		}
	}
	return current, nil
}

// usage is the difference between two readings.
type usage struct {
	elapsed      time.Duration
	processor    float64 // seconds
	bytes        float64
	renewals     float64
	renewalBytes float64
}

// since returns the usage between an earlier reading and this one.
func (r usageReading) since(before usageReading) usage {
	return usage{
		elapsed:      r.at.Sub(before.at),
		processor:    (r.processor - before.processor).Seconds(),
		bytes:        float64(r.bytes - before.bytes),
		renewals:     float64(r.renewals - before.renewals),
		renewalBytes: float64(r.renewalBytes - before.renewalBytes),
	}
}

// usageDuring runs work and returns the resource usage of the control nodes meanwhile.
func (g *group) usageDuring(work func() error) (usage, error) {
	before, err := g.readUsage()
	if err != nil {
		return usage{}, err
	}
	if err := work(); err != nil {
		return usage{}, err
	}
	after, err := g.readUsage()
	return after.since(before), err
}

// waitFor returns a work function for usageDuring that only waits.
func waitFor(duration time.Duration) func() error {
	return func() error {
		time.Sleep(duration)
		return nil
	}
}

// leaseCost holds the measured costs of one number of holders.
type leaseCost struct {
	holders  int
	joined   time.Duration // from the start of the holders until all had a lease
	steady   usage         // with renewals only
	changing usage         // during configuration changes
	changes  *quantiles    // time until a change was in force
	idle     usage         // before the holders were started
	loss     primaryLoss
}

// measureLeases measures the cost of the gateways' leases at the control nodes.
func measureLeases(o *Options) ([]Table, error) {
	var costs []leaseCost
	for _, count := range fullOrShort(o, []int{8, 50, 200, 400}, []int{50}) {
		cost, err := measureLeaseCost(o, count)
		if err != nil {
			return nil, fmt.Errorf("%d holders: %w", count, err)
		}
		costs = append(costs, cost)
	}
	return []Table{renewalTable(costs), changeTable(costs), lossTable(costs)}, nil
}

// measureLeaseCost measures the given number of holders with three control nodes: renewals
// alone, renewals during configuration changes, and the loss of the primary.
func measureLeaseCost(o *Options, count int) (cost leaseCost, err error) {
	cost = leaseCost{holders: count, changes: newQuantiles()}
	g, err := newGroup(3, 0, o.Logger)
	if err != nil {
		return cost, err
	}
	defer g.close()
	if cost.idle, err = g.usageDuring(waitFor(fullOrShort(o, 1300*time.Millisecond, 300*time.Millisecond))); err != nil {
		return cost, err
	}
	child, err := o.startWorker(WorkerHolders, g.workerConfig(count))
	if err != nil {
		return cost, err
	}
	defer func() {
		if failure := child.stop(); err == nil {
			err = failure
		}
	}()
	started := time.Now()
	if err := g.awaitHolders(child, count); err != nil {
		return cost, err
	}
	cost.joined = time.Since(started)
	if cost.steady, err = g.usageDuring(waitFor(fullOrShort(o, 3*time.Second, 600*time.Millisecond))); err != nil {
		return cost, err
	}
	var version uint64
	cost.changing, err = g.usageDuring(func() error {
		version, err = g.applyConfigurations(cost.changes, 0, fullOrShort(o, 8, 2))
		return err
	})
	if err != nil {
		return cost, err
	}
	cost.loss, err = g.measurePrimaryLoss(child, version)
	return cost, err
}

// workerConfig returns the configuration of a worker whose gateways join the group.
func (g *group) workerConfig(count int) workerConfig {
	config := workerConfig{Key: g.key, Count: count, Region: "north", Zone: "north-1"}
	for _, member := range g.members {
		config.Seeds = append(config.Seeds, member.address)
	}
	return config
}

// awaitHolders waits until every holder has a valid lease and has activated the
// serial of the primary's table.
func (g *group) awaitHolders(child *worker, count int) error {
	primary, err := g.primary()
	if err != nil {
		return err
	}
	var failure error
	err = await("leases of all holders", leasePollInterval, func() bool {
		var status workerStatus
		if status, failure = child.execute(commandStatus); failure != nil {
			return true
		}
		serial, err := primary.serial()
		return err == nil && status.Valid == count && status.Active == count && status.Serial == serial
	})
	if failure != nil {
		return failure
	}
	return err
}

// maxChangePause is the maximum random pause before a change. Without a pause, each change
// would start just after the heartbeat that completed the previous one.
const maxChangePause = 200 * time.Millisecond

// applyConfigurations applies count configurations, one after the other, on top of the given version. It
// records the time until each was in force everywhere, and returns the last version.
func (g *group) applyConfigurations(latencies *quantiles, version uint64, count int) (uint64, error) {
	text, err := configuration.Example("kodovka")
	if err != nil {
		return 0, err
	}
	const field = "first_token_ms: 920"
	if !strings.Contains(text, field) {
		return 0, fmt.Errorf("the example configuration does not contain %q", field)
	}
	random := rand.New(rand.NewPCG(version, 0))
	for range count {
		time.Sleep(time.Duration(random.Int64N(int64(maxChangePause))))
		document := strings.Replace(text, field, fmt.Sprintf("first_token_ms: %d", 921+version), 1)
		operation := api.ConfigurationOperation{OperationID: fmt.Sprintf("order-%d", version), BaseVersion: version, Document: document}
		sent := time.Now()
		answer, err := g.applyOperation(peer.OperationRequest{Configuration: &operation})
		if err != nil {
			return 0, err
		}
		latencies.add(time.Since(sent))
		version = answer.Version
	}
	return version, nil
}

// primaryLoss describes the effect of the loss of the primary on leases. All durations
// start when the primary is stopped.
type primaryLoss struct {
	contacted   time.Duration // until the first holder had contact with the new primary
	renewed     time.Duration // until all holders had renewed with the new primary
	fewestValid int           // lowest number of valid leases in any poll
	inForce     time.Duration // until a change was in force again
}

// measurePrimaryLoss stops the primary and polls the holders until all have renewed their leases
// with the new primary. It then applies a configuration change.
func (g *group) measurePrimaryLoss(child *worker, version uint64) (loss primaryLoss, err error) {
	before, err := child.execute(commandStatus)
	if err != nil {
		return loss, err
	}
	old, err := g.primary()
	if err != nil {
		return loss, err
	}
	loss.fewestValid = before.Valid
	stopped := time.Now()
	if err := old.stop(); err != nil {
		return loss, err
	}
	var failure error
	err = await("leases of the new primary", failoverPollInterval, func() bool {
		var status workerStatus
		if status, failure = child.execute(commandStatus); failure != nil {
			return true
		}
		loss.fewestValid = min(loss.fewestValid, status.Valid)
		if loss.contacted == 0 && status.NewestTerm > before.NewestTerm {
			loss.contacted = time.Since(stopped)
		}
		return status.Term > before.Term && status.Valid == before.Valid
	})
	if err := errors.Join(failure, err); err != nil {
		return loss, err
	}
	loss.renewed = time.Since(stopped)
	_, err = g.applyConfigurations(newQuantiles(), version, 1)
	loss.inForce = time.Since(stopped)
	return loss, err
}

// failoverPollInterval is the interval of polling holders after the loss of a primary.
const failoverPollInterval = 10 * time.Millisecond

func lossTable(costs []leaseCost) Table {
	table := Table{
		Title:   "Leases through the loss of the primary",
		Note:    "The primary's node is closed as in a crash of its process. A gateway acts on while its lease is valid; the figures are from the stop until the first gateway had heard the new primary, until every one had and held a valid lease, and until a change sent then was in force at all of them.",
		Columns: []string{"gateways", "new primary heard after ms", "all renewed after ms", "fewest with a valid lease", "first change in force after ms"},
	}
	for _, cost := range costs {
		table.add(fmt.Sprint(cost.holders), milliseconds(cost.loss.contacted), milliseconds(cost.loss.renewed), fmt.Sprint(cost.loss.fewestValid), milliseconds(cost.loss.inForce))
	}
	return table
}

func renewalTable(costs []leaseCost) Table {
	table := Table{
		Title:   "Cost of leases",
		Note:    "Three control nodes in one process, the gateways' agents in another, each with connections of its own; no requests. The time until all hold a lease begins with their start, a few seconds after the group's, so that the wait of a new primary for leases that it cannot know of may be in it. CPU time is that of the three control nodes together, less what they use without gateways; bytes are frames, sent and received.",
		Columns: []string{"gateways", "all hold a lease after ms", "renewals/s", "bytes per renewal", "CPU µs per renewal", "bytes/s per lease", "CPU µs/s per lease", "CPU of the group, cores"},
	}
	for _, cost := range costs {
		steady, seconds := cost.steady, cost.steady.elapsed.Seconds()
		processor := steady.processor - cost.idle.processor*seconds/cost.idle.elapsed.Seconds()
		leases := float64(cost.holders) * seconds
		table.add(fmt.Sprint(cost.holders), milliseconds(cost.joined), integer(steady.renewals/seconds),
			integer(perUnit(steady.renewalBytes, steady.renewals)), integer(perUnit(processor*1e6, steady.renewals)),
			integer(steady.renewalBytes/leases), integer(processor*1e6/leases), decimal(steady.processor/seconds))
	}
	return table
}

func changeTable(costs []leaseCost) Table {
	table := Table{
		Title:   "Cost of a configuration change",
		Note:    "Each change is acknowledged once it is in force at every gateway; changes are sent at random moments. Bytes and CPU time are those of the three control nodes, less those of the leases in steady state.",
		Columns: []string{"gateways", "changes", "in force p50 ms", "in force max ms", "bytes per change", "bytes per change and gateway", "CPU µs per change", "CPU µs per change and gateway"},
	}
	for _, cost := range costs {
		count, holders := float64(cost.changes.count()), float64(cost.holders)
		scale := cost.changing.elapsed.Seconds() / cost.steady.elapsed.Seconds()
		bytes := (cost.changing.bytes - cost.steady.bytes*scale) / count
		processor := (cost.changing.processor - cost.steady.processor*scale) * 1e6 / count
		table.add(fmt.Sprint(cost.holders), integer(count), milliseconds(cost.changes.percentile(50)), milliseconds(cost.changes.longest()),
			integer(bytes), integer(bytes/holders), integer(processor), integer(processor/holders))
	}
	return table
}
