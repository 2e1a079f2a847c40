// Package control implements the control node: it replicates the registry through a
// consensus log, grants leases to gateways, and serves requests from operators and the
// platform.
//
// Node assembles the subpackages. Package engine runs the event loop, which owns the
// state; each other subpackage handles one concern and queries the engine.
package control

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/control/bootstrap"
	"github.com/deckpulley/deckpulley/control/discovery"
	"github.com/deckpulley/deckpulley/control/engine"
	"github.com/deckpulley/deckpulley/control/eventqueue"
	"github.com/deckpulley/deckpulley/control/executor"
	"github.com/deckpulley/deckpulley/control/httpapi"
	"github.com/deckpulley/deckpulley/control/identity"
	"github.com/deckpulley/deckpulley/control/inventory"
	"github.com/deckpulley/deckpulley/control/locator"
	"github.com/deckpulley/deckpulley/control/message"
	"github.com/deckpulley/deckpulley/control/metrics"
	"github.com/deckpulley/deckpulley/control/readindex"
	"github.com/deckpulley/deckpulley/control/status"
	"github.com/deckpulley/deckpulley/control/takeover"
	"github.com/deckpulley/deckpulley/control/updates"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/transport"
)

// transferTimeout bounds the transfer of leadership when a node shuts down.
const transferTimeout = 2 * time.Second

// ErrStopped is returned by requests to a node that has stopped.
var ErrStopped = eventqueue.ErrStopped

// Node is one control node. Its methods are safe for concurrent use.
type Node struct {
	options     Options
	log         *slog.Logger
	incarnation string
	network     transport.Network

	queue        *eventqueue.Queue
	engine       *engine.Engine
	reader       *readindex.Reader
	executor     *executor.Executor
	bootstrapper *bootstrap.Bootstrapper
	describer    *discovery.Describer
	contacts     *discovery.Contacts
	locator      *locator.Locator
	reporter     *status.Reporter
	updates      *updates.Forwarder
	inventory    *inventory.Reader // nil without Options.Inventory
	handler      http.Handler

	workers  sync.WaitGroup
	stop     chan struct{}
	stopOnce sync.Once
	err      error // set before the queue is closed
}

// New loads the state from the disk and prepares a node. It registers the message
// handlers but sends nothing until Start is called.
func New(options Options) (*Node, error) {
	if err := options.validate(); err != nil {
		return nil, err
	}
	options = options.withDefaults()
	n := &Node{
		options:     options,
		log:         options.Logger.With("region", options.Region),
		incarnation: identity.New(),
		network:     options.Network,
		queue:       eventqueue.New(),
		stop:        make(chan struct{}),
	}
	nodeMetrics := metrics.New()
	started, err := engine.New(n.engineConfig(), n.queue, nodeMetrics)
	if err != nil {
		return nil, err
	}
	n.engine = started
	n.assemble(nodeMetrics)
	n.handleMessages()
	return n, nil
}

func (n *Node) engineConfig() engine.Config {
	options := n.options
	return engine.Config{
		Name:              options.Name,
		PeerAddress:       options.PeerAddress,
		Zone:              options.Zone,
		LinkMbps:          options.LinkMbps,
		Network:           options.Network,
		Store:             options.Store,
		Logger:            n.log,
		Lease:             options.Lease,
		GatewayGrace:      options.GatewayGrace,
		ElectionTimeout:   options.ElectionTimeout,
		HeartbeatInterval: options.HeartbeatInterval,
		StartupTimeout:    options.StartupTimeout,
		Seed:              options.Seed,
		TickInterval:      options.TickInterval,
		SnapshotInterval:  options.SnapshotInterval,
		SnapshotBytes:     options.SnapshotBytes,
		ReplaceAfter:      options.ReplaceAfter,
		Voters:            options.Voters,
		InitialControl:    options.InitialControl,
	}
}

// assemble creates the components that use the engine.
func (n *Node) assemble(nodeMetrics *metrics.Metrics) {
	options := n.options
	contacts := discovery.NewContacts(n.engine, options.PeerAddress, options.Region, options.Seeds, n.engine.InitialControl())
	n.contacts = contacts
	n.describer = discovery.NewDescriber(n.description(), n.engine, n.network, options.CallTimeout)
	n.reader = readindex.New(n.engine, n.network, options.PeerAddress, options.CallTimeout)
	n.locator = locator.New(options.Name, n.engine, n.network, contacts, nodeMetrics.Lookups, n.log)
	n.updates = updates.New(n.engine, n.network, options.PeerAddress, n.log)
	n.bootstrapper = bootstrap.New(bootstrap.Config{
		Name:           options.Name,
		PeerAddress:    options.PeerAddress,
		Zone:           options.Zone,
		InitialControl: n.engine.InitialControl(),
		Interval:       options.DiscoveryInterval,
		CallTimeout:    options.CallTimeout,
		Engine:         n.engine,
		Network:        n.network,
		Contacts:       contacts,
		Describer:      n.describer,
		Logger:         n.log,
	})
	n.executor = executor.New(executor.Config{
		PeerAddress: options.PeerAddress,
		LeaseLength: options.Lease.Duration,
		Queue:       n.queue,
		Engine:      n.engine,
		Network:     n.network,
		Reader:      n.reader,
		Contacts:    contacts,
		Metrics:     nodeMetrics,
		Logger:      n.log,
	})
	n.reporter = status.New(status.Config{
		Name:        options.Name,
		PeerAddress: options.PeerAddress,
		CallTimeout: options.CallTimeout,
		Engine:      n.engine,
		Network:     n.network,
		Describer:   n.describer,
	})
	n.handler = httpapi.NewHandler(httpapi.Config{
		Tokens:           options.Tokens,
		CallTimeout:      options.CallTimeout,
		OperationTimeout: options.OperationTimeout,
		Engine:           n.engine,
		Executor:         n.executor,
		Reader:           n.reader,
		Reporter:         n.reporter,
		Metrics:          nodeMetrics.Registry,
	})
	if options.Inventory != nil {
		n.inventory = inventory.NewReader(options.Inventory, options.InventoryInterval, n.engine, n.executor, n.log)
	}
	nodeMetrics.RegisterTraffic(n.network)
}

// description returns this node's description; the Describer adds its identity.
func (n *Node) description() message.Description {
	return message.Description{
		Name:            n.options.Name,
		Zone:            n.options.Zone,
		Region:          n.options.Region,
		Incarnation:     n.incarnation,
		OperatorAddress: n.options.OperatorAddress,
	}
}

// handleMessages registers the handlers of messages from other processes.
func (n *Node) handleMessages() {
	n.network.Handle(peer.KindConsensus, n.engine.ServeConsensus)
	n.network.Handle(peer.KindHello, n.bootstrapper.ServeHello)
	n.network.Handle(peer.KindBootstrap, n.bootstrapper.ServeBootstrap)
	n.network.Handle(peer.KindJoin, n.bootstrapper.ServeJoin)
	n.network.Handle(peer.KindRenew, n.engine.ServeRenew)
	n.network.Handle(peer.KindUpdate, n.updates.Serve)
	n.network.Handle(peer.KindOperation, n.executor.Serve)
	n.network.Handle(message.KindDescribe, n.describer.Serve)
	n.network.Handle(message.KindReadIndex, n.reader.Serve)
	n.network.Handle(message.KindOverview, n.reporter.Serve)
	n.network.Handle(peer.KindWhere, n.locator.Serve)
}

// Start begins to serve peers and to participate in the control group.
func (n *Node) Start() error {
	if err := n.network.Start(); err != nil {
		return fmt.Errorf("control: starting the network: %w", err)
	}
	observed := n.engine.Observe()
	n.log.Info("control node started", "incarnation", n.incarnation, "identity", string(observed.Identity), "cluster", observed.Cluster)
	ctx, cancel := context.WithCancel(context.Background())
	go n.run(cancel)
	n.goWorker(ctx, n.bootstrapper.Run)
	n.goWorker(ctx, takeover.New(n.engine, n.network, n.log).Run)
	n.goWorker(ctx, n.describer.Run)
	if n.inventory != nil {
		n.goWorker(ctx, n.inventory.Run)
	}
	return nil
}

// goWorker starts a background goroutine that returns once ctx is canceled; run waits
// for it.
func (n *Node) goWorker(ctx context.Context, work func(context.Context)) {
	n.workers.Add(1)
	go func() {
		defer n.workers.Done()
		work(ctx)
	}()
}

// run runs the event loop until it returns. It then cancels the workers' context,
// closes the network, waits for the workers and closes the disk, in this order.
func (n *Node) run(cancel context.CancelFunc) {
	err := n.engine.Run(n.stop)
	if err != nil {
		n.log.Error("control node failed", "error", err)
	}
	cancel()
	closeErr := n.network.Close()
	n.workers.Wait()
	n.err = errors.Join(err, closeErr, n.options.Store.Close())
	n.queue.Close()
}

// SetSeeds replaces the seeds, the peer addresses of other processes that are used to
// discover the group.
func (n *Node) SetSeeds(seeds []string) { n.contacts.SetSeeds(seeds) }

// Done returns a channel that is closed when the node has stopped; Err then returns the
// cause.
func (n *Node) Done() <-chan struct{} { return n.queue.Done() }

// Err returns the error that stopped the node: a *storage.FinalError for a failed
// write, nil after Stop. It blocks until the node has stopped.
func (n *Node) Err() error {
	<-n.queue.Done()
	return n.err
}

// Leave transfers leadership to another member if this node leads, and then stops the
// node.
func (n *Node) Leave(ctx context.Context) error {
	n.TransferLeadership(ctx)
	return n.Stop()
}

// Stop stops the node immediately, without transferring leadership.
func (n *Node) Stop() error {
	n.stopOnce.Do(func() { close(n.stop) })
	return n.Err()
}

// TransferLeadership transfers leadership to another member if this node leads, and
// waits up to transferTimeout until this node no longer leads.
func (n *Node) TransferLeadership(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	requested := false
	n.engine.WaitUntil(ctx, func(o *engine.Observation) bool {
		if o.Status.Role != consensus.Leader || len(o.Status.Membership.Members) < 2 {
			return true
		}
		if !requested {
			requested = true
			n.engine.TransferLeadership(ctx)
		}
		return false
	})
}

// Server returns an HTTP server for the operator API with all timeouts and size limits
// set. The caller sets its address, starts it and closes it.
func (n *Node) Server() *http.Server { return httpapi.NewServer(n.handler) }

// Handler returns the HTTP handler of the operator API.
func (n *Node) Handler() http.Handler { return n.handler }

// Where returns the HTTP addresses of up to limit gateways that a client in the region
// should use. It returns none if no gateway is known.
func (n *Node) Where(region string, limit int) []string { return n.locator.Where(region, limit) }

// Submit executes an operation, on this node or by forwarding it to the primary. It
// returns when every gateway with a lease has activated the result, when the operation
// is refused, or when ctx is done.
func (n *Node) Submit(ctx context.Context, request peer.OperationRequest) peer.OperationReply {
	return n.executor.Submit(ctx, request)
}

// Serial returns the serial of this node's copy of the registry, and whether it has one.
// Other nodes may have a newer copy.
func (n *Node) Serial() (serial uint32, known bool) {
	observed := n.engine.Observe()
	return observed.Serial, observed.Catalog != nil
}

// CurrentConfiguration returns the newest configuration with its version and text as
// submitted; the boolean is false if there is none yet. The read is linearizable: it
// reflects every configuration acknowledged before the call.
func (n *Node) CurrentConfiguration(ctx context.Context) (catalog.Configuration, bool, *api.Error) {
	observed, problem := n.reader.Linearizable(ctx)
	if problem != nil {
		return catalog.Configuration{}, false, problem
	}
	if observed.Catalog == nil {
		return catalog.Configuration{}, false, nil
	}
	current, configured := observed.Catalog.Configuration()
	return current, configured, nil
}
