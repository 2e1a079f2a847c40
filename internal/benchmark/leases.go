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

// settlePoll is how often the state of holders is asked while they settle.
const settlePoll = 50 * time.Millisecond

// traffic is what the control nodes have used at one moment.
type traffic struct {
	at        time.Time
	processor time.Duration
	bytes     uint64 // sent and received, all kinds, at all control nodes
	renewals  uint64 // answered
	renewal   uint64 // bytes of renewals and their answers
}

// traffic reads the counters. The CPU time is that of this process, in which
// only the control nodes are at work.
func (g *group) traffic() (traffic, error) {
	used, err := processorTime()
	if err != nil {
		return traffic{}, err
	}
	read := traffic{at: time.Now(), processor: used}
	for _, member := range g.members {
		for kind, counters := range member.network.Counters() {
			read.bytes += counters.SentBytes + counters.ReceivedBytes
			if kind == peer.KindRenew {
				read.renewals += counters.SentMessages
				read.renewal += counters.SentBytes + counters.ReceivedBytes
			}
		}
	}
	return read, nil
}

// usage is the difference of two readings.
type usage struct {
	length    time.Duration
	processor float64 // seconds
	bytes     float64
	renewals  float64
	renewal   float64 // bytes
}

func (t traffic) since(before traffic) usage {
	return usage{
		length:    t.at.Sub(before.at),
		processor: (t.processor - before.processor).Seconds(),
		bytes:     float64(t.bytes - before.bytes),
		renewals:  float64(t.renewals - before.renewals),
		renewal:   float64(t.renewal - before.renewal),
	}
}

// during reads the usage of some work.
func (g *group) during(work func() error) (usage, error) {
	before, err := g.traffic()
	if err != nil {
		return usage{}, err
	}
	if err := work(); err != nil {
		return usage{}, err
	}
	after, err := g.traffic()
	return after.since(before), err
}

func pause(length time.Duration) func() error {
	return func() error {
		time.Sleep(length)
		return nil
	}
}

// leaseCost is what one number of holders costs.
type leaseCost struct {
	holders  int
	joined   time.Duration // until all held a lease
	steady   usage
	changing usage
	changes  *quantiles
	idle     usage // without holders
	loss     primaryLoss
}

// measureLeases counts what gateways cost the control nodes.
func measureLeases(o *Options) ([]Table, error) {
	var costs []leaseCost
	for _, count := range pick(o, []int{8, 50, 200, 400}, []int{50}) {
		cost, err := leaseCostOf(o, count)
		if err != nil {
			return nil, fmt.Errorf("%d holders: %w", count, err)
		}
		costs = append(costs, cost)
	}
	return []Table{renewalTable(costs), changeTable(costs), lossTable(costs)}, nil
}

// leaseCostOf lets a number of agents renew with three control nodes, alone
// first and then through configuration changes.
func leaseCostOf(o *Options, count int) (cost leaseCost, err error) {
	cost = leaseCost{holders: count, changes: newQuantiles()}
	g, err := newGroup(3, 0, o.Logger)
	if err != nil {
		return cost, err
	}
	defer g.close()
	if cost.idle, err = g.during(pause(pick(o, 1300*time.Millisecond, 300*time.Millisecond))); err != nil {
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
	began := time.Now()
	if err := g.awaitHolders(child, count); err != nil {
		return cost, err
	}
	cost.joined = time.Since(began)
	if cost.steady, err = g.during(pause(pick(o, 3*time.Second, 600*time.Millisecond))); err != nil {
		return cost, err
	}
	var version uint64
	cost.changing, err = g.during(func() error {
		version, err = g.change(cost.changes, 0, pick(o, 8, 2))
		return err
	})
	if err != nil {
		return cost, err
	}
	cost.loss, err = g.losePrimary(child, version)
	return cost, err
}

func (g *group) workerConfig(count int) workerConfig {
	config := workerConfig{Key: g.key, Count: count, Region: "north", Zone: "north-1"}
	for _, member := range g.members {
		config.Seeds = append(config.Seeds, member.address)
	}
	return config
}

// awaitHolders waits until every holder has a lease and the newest serial, and
// every gateway's record is in the table.
func (g *group) awaitHolders(child *worker, count int) error {
	primary, err := g.primary()
	if err != nil {
		return err
	}
	var failure error
	err = await("leases of all holders", settlePoll, func() bool {
		var status workerStatus
		if status, failure = child.ask(commandStatus); failure != nil {
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

// changePause bounds the random pause before a change. Without it each change
// would begin just after the heartbeat that completed the last.
const changePause = 200 * time.Millisecond

// change sends configurations, one after the other, and records the time until
// each was in force everywhere. It returns the last version.
func (g *group) change(into *quantiles, version uint64, count int) (uint64, error) {
	text, err := configuration.Example("kodovka")
	if err != nil {
		return 0, err
	}
	const field = "first_token_ms: 920"
	if !strings.Contains(text, field) {
		return 0, fmt.Errorf("the example has no %q", field)
	}
	random := rand.New(rand.NewPCG(version, 0))
	for range count {
		time.Sleep(time.Duration(random.Int64N(int64(changePause))))
		document := strings.Replace(text, field, fmt.Sprintf("first_token_ms: %d", 921+version), 1)
		order := api.ConfigurationOperation{OperationID: fmt.Sprintf("order-%d", version), BaseVersion: version, Document: document}
		sent := time.Now()
		answer, err := g.order(peer.OperationRequest{Configuration: &order})
		if err != nil {
			return 0, err
		}
		into.add(time.Since(sent))
		version = answer.Version
	}
	return version, nil
}

// primaryLoss is what the loss of a primary did to leases.
type primaryLoss struct {
	heard   time.Duration // until the first holder had heard the new primary
	renewed time.Duration // until all holders had renewed with the new primary
	fewest  int           // holders with a valid lease at the worst moment seen
	inForce time.Duration // until a change was in force again
}

// losePrimary stops the primary and watches the holders.
func (g *group) losePrimary(child *worker, version uint64) (loss primaryLoss, err error) {
	before, err := child.ask(commandStatus)
	if err != nil {
		return loss, err
	}
	old, err := g.primary()
	if err != nil {
		return loss, err
	}
	loss.fewest = before.Valid
	stopped := time.Now()
	if err := old.stop(); err != nil {
		return loss, err
	}
	var failure error
	err = await("leases of the new primary", lossPoll, func() bool {
		var status workerStatus
		if status, failure = child.ask(commandStatus); failure != nil {
			return true
		}
		loss.fewest = min(loss.fewest, status.Valid)
		if loss.heard == 0 && status.NewestTerm > before.NewestTerm {
			loss.heard = time.Since(stopped)
		}
		return status.Term > before.Term && status.Valid == before.Valid
	})
	if err := errors.Join(failure, err); err != nil {
		return loss, err
	}
	loss.renewed = time.Since(stopped)
	_, err = g.change(newQuantiles(), version, 1)
	loss.inForce = time.Since(stopped)
	return loss, err
}

// lossPoll is how often the holders are asked while there is no primary.
const lossPoll = 10 * time.Millisecond

func lossTable(costs []leaseCost) Table {
	table := Table{
		Title:   "Leases through the loss of the primary",
		Note:    "The primary's node is closed as in a crash of its process. A gateway acts on while its lease is valid; the figures are from the stop until the first gateway had heard the new primary, until every one had and held a valid lease, and until a change sent then was in force at all of them.",
		Columns: []string{"gateways", "new primary heard after ms", "all renewed after ms", "fewest with a valid lease", "first change in force after ms"},
	}
	for _, cost := range costs {
		table.add(fmt.Sprint(cost.holders), milliseconds(cost.loss.heard), milliseconds(cost.loss.renewed), fmt.Sprint(cost.loss.fewest), milliseconds(cost.loss.inForce))
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
		steady, seconds := cost.steady, cost.steady.length.Seconds()
		processor := steady.processor - cost.idle.processor*seconds/cost.idle.length.Seconds()
		leases := float64(cost.holders) * seconds
		table.add(fmt.Sprint(cost.holders), milliseconds(cost.joined), whole(steady.renewals/seconds),
			whole(perUnit(steady.renewal, steady.renewals)), whole(perUnit(processor*1e6, steady.renewals)),
			whole(steady.renewal/leases), whole(processor*1e6/leases), decimal(steady.processor/seconds))
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
		scale := cost.changing.length.Seconds() / cost.steady.length.Seconds()
		bytes := (cost.changing.bytes - cost.steady.bytes*scale) / count
		processor := (cost.changing.processor - cost.steady.processor*scale) * 1e6 / count
		table.add(fmt.Sprint(cost.holders), whole(count), milliseconds(cost.changes.at(50)), milliseconds(cost.changes.longest()),
			whole(bytes), whole(bytes/holders), whole(processor), whole(processor/holders))
	}
	return table
}
