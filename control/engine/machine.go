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

// machine is everything that the event loop owns: the driver of the replicated log,
// and what a leader does with its leadership. Its methods run on the event loop alone;
// now is the monotonic time of the event queue.
type machine struct {
	config     Config
	log        *slog.Logger
	metrics    *metrics.Metrics
	driver     *driver.Driver
	transfers  *transfer.Sender
	leadership *leadership // nil unless this node leads
}

// newMachine reads the disk.
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
		Voters:            config.Voters,
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

// tick passes the time on. It comes before every other input.
func (m *machine) tick(now time.Duration) {
	if m.driver.Group() == nil {
		return
	}
	m.driver.Tick(now)
	m.followLeadership(now)
}

// step hands one message of the group to the replicated log.
func (m *machine) step(now time.Duration, wrapped peer.ConsensusMessage) {
	if m.driver.Step(now, wrapped) {
		m.followLeadership(now)
	}
}

// process does what the inputs caused: writes, then messages, then changes of the
// state, until nothing is left to do.
func (m *machine) process(now time.Duration) error {
	if m.driver.Failure() != nil || m.driver.Group() == nil {
		return m.driver.Failure()
	}
	m.maintain(now)
	m.proposeGatewayRecords(now)
	for m.driver.Group().HasReady() {
		if err := m.processReady(now); err != nil {
			return err
		}
		m.proposeGatewayRecords(now)
	}
	m.followLeadership(now)
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

// table is the registry's table; there is one whenever this node serves as the primary.
func (m *machine) table() *registry.Table { return m.driver.State().Table }

// propose appends an update to the log of a primary. done runs once.
func (m *machine) propose(now time.Duration, update registry.Update, done func(registry.Result, error)) {
	if _, serving := m.serving(); !serving {
		done(registry.Result{}, driver.ErrNotPrimary)
		return
	}
	m.driver.Propose(now, update, done)
}

// observe makes the reading that the event loop publishes.
func (m *machine) observe(now time.Duration) *Observation {
	o := &Observation{
		At:         now,
		Identity:   m.driver.Identity(),
		Cluster:    m.driver.Cluster(),
		Catalog:    m.driver.Catalog(),
		Applied:    m.driver.Applied(),
		superseded: make(chan struct{}),
	}
	if group := m.driver.Group(); group != nil {
		o.Status = group.Status()
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
	o.Contact, o.ContactKnown = review.Contact, review.ContactKnown
	o.InForce, o.InForceKnown = review.InForce, review.InForceKnown
	return o
}
