package engine

import (
	"log/slog"
	"time"

	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/control/driver"
	"github.com/deckpulley/deckpulley/control/metrics"
	"github.com/deckpulley/deckpulley/control/transfer"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/registry"
)

// machine is the state that the event loop owns: the driver of the replicated log, the
// sender of table transfers, and the leadership state. Its methods run only on the event
// loop; now is the monotonic time of the event queue.
type machine struct {
	config     Config
	log        *slog.Logger
	metrics    *metrics.Metrics
	driver     *driver.Driver
	transfers  *transfer.Sender
	leadership *leadership // nil unless this node leads
	// nextResume is the time of the next attempt to resume while the driver is suspended.
	nextResume time.Duration
}

// newMachine loads the state from the disk.
func newMachine(config Config, metrics *metrics.Metrics, now time.Duration) (*machine, error) {
	driver, err := driver.New(driver.Config{
		Network:           config.Network,
		Store:             config.Store,
		Logger:            config.Logger,
		Metrics:           metrics,
		ElectionTimeout:   config.ElectionTimeout,
		HeartbeatInterval: config.HeartbeatInterval,
		StartupTimeout:    config.StartupTimeout,
		Seed:              config.Seed,
		SnapshotInterval:  config.SnapshotInterval,
		SnapshotBytes:     config.SnapshotBytes,
		Voters:            config.Voters,
		InitialControl:    config.InitialControl,
	}, now)
	if err != nil {
		return nil, err
	}
	return &machine{
		config:    config,
		log:       config.Logger,
		metrics:   metrics,
		driver:    driver,
		transfers: transfer.NewSender(config.Logger, config.LinkMbps),
	}, nil
}

// tick advances the clock of the replicated log. It must be called before every other
// input.
func (m *machine) tick(now time.Duration) {
	if m.driver.Consensus() == nil {
		return
	}
	m.driver.Tick(now)
	m.updateLeadership(now)
}

// step passes one message of the group to the replicated log.
func (m *machine) step(now time.Duration, wrapped peer.ConsensusMessage) {
	if m.driver.Step(now, wrapped) {
		m.updateLeadership(now)
	}
}

// process does the work that the inputs caused: it persists the log, sends messages and
// applies entries, in this order, until the replicated log has nothing more to do.
func (m *machine) process(now time.Duration) error {
	if m.driver.Failure() != nil || m.driver.Consensus() == nil {
		return m.driver.Failure()
	}
	m.maintain(now)
	m.proposeGatewayRecords(now)
	for m.driver.Consensus().HasReady() {
		if err := m.processReady(now); err != nil {
			return err
		}
		m.proposeGatewayRecords(now)
	}
	m.updateLeadership(now)
	m.reviewLeases(now)
	return m.driver.Failure()
}

func (m *machine) processReady(now time.Duration) error {
	err := m.driver.ProcessReady(func(entry consensus.Entry) { m.startServing(now, entry) })
	if err != nil {
		return err
	}
	if leadership, serving := m.serving(); serving {
		leadership.leases.SetSerial(m.table().Serial())
	}
	return nil
}

// table returns the registry's table. It must be called only once there is a state, as
// there is whenever this node serves as the primary.
func (m *machine) table() *registry.Table { return m.driver.State().Table }

// propose appends an update to the log if this node serves as the primary. done runs
// once, on the event loop.
func (m *machine) propose(now time.Duration, update registry.Update, done func(registry.Result, error)) {
	if _, serving := m.serving(); !serving {
		done(registry.Result{}, driver.ErrNotPrimary)
		return
	}
	m.driver.Propose(now, update, done)
}

// observe returns the observation that the event loop publishes.
func (m *machine) observe(now time.Duration) *Observation {
	o := &Observation{
		DiskFull:   m.driver.Suspended(),
		At:         now,
		Identity:   m.driver.Identity(),
		Cluster:    m.driver.Cluster(),
		Catalog:    m.driver.Catalog(),
		Applied:    m.driver.Applied(),
		superseded: make(chan struct{}),
	}
	if node := m.driver.Consensus(); node != nil {
		o.Status = node.Status()
	}
	if state := m.driver.State(); state != nil {
		o.Serial = state.Table.Serial()
	}
	leadership, serving := m.serving()
	if !serving {
		return o
	}
	review := leadership.leases.LastReview()
	o.Primary = true
	o.QuorumContact, o.QuorumContactKnown = review.Contact, review.ContactKnown
	o.InForce, o.InForceKnown = review.InForce, review.InForceKnown
	return o
}
