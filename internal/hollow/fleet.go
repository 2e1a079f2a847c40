// Package hollow runs simulated gateways and replicas, comparable to the hollow nodes
// of Kubernetes' kubemark. A hollow gateway holds a lease and a copy of the registry
// but relays no requests; a hollow replica computes nothing. Many of them fit into one
// process, so that the control-plane cost of a large fleet can be measured on a single
// machine. The package is for measurements only and is not part of a deployment.
package hollow

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"strconv"
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/gateway/agent"
	"github.com/deckpulley/deckpulley/internal/eventlog"
	"github.com/deckpulley/deckpulley/lease"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/transport"
)

// FleetOptions configures the gateways of one process.
type FleetOptions struct {
	// Count is the number of gateways.
	Count int
	// Prefix is the prefix of the gateways' names; a name is the prefix, a hyphen and
	// the index.
	Prefix string
	// Location returns the zone and region of the gateway with the given index.
	Location func(index int) (zone, region string)
	// Host is the loopback address to listen on; the operating system assigns the ports.
	Host string
	// Seeds are the peer addresses of control nodes.
	Seeds []string
	// Keys are the fleet's transport keys.
	Keys [][]byte
	// LeaseConfig is the lease configuration of the fleet.
	LeaseConfig lease.Config
}

// Fleet is a set of hollow gateways. It is not safe for concurrent use.
type Fleet struct {
	options  FleetOptions
	started  time.Time
	gateways []*hollowGateway
	// stoppedCounters sums the transport counters of the gateway incarnations that Restart
	// stopped.
	stoppedCounters map[transport.Kind]transport.KindCounters

	mutex       sync.Mutex // guards activations, which the agents' callbacks update
	activations map[uint64]Activation
}

// hollowGateway is a gateway's agent with its own transport node.
type hollowGateway struct {
	network     *transport.Node
	agent       *agent.Agent
	incarnation int
	cancel      context.CancelFunc
	loop        sync.WaitGroup
}

// stop ends the gateway without releasing its lease.
func (g *hollowGateway) stop() {
	g.cancel()
	_ = g.network.Close()
	g.loop.Wait()
}

// Activation describes how many gateways have activated a configuration version.
type Activation struct {
	// Gateways is the number of gateways at which the version became active.
	Gateways int
	// LastAt is the time of the most recent of these activations, in nanoseconds of
	// eventlog.Now.
	LastAt int64
}

// Start starts the gateways. The caller must stop them with Close.
func Start(options FleetOptions) (*Fleet, error) {
	fleet := &Fleet{
		options:         options,
		started:         time.Now(),
		stoppedCounters: make(map[transport.Kind]transport.KindCounters),
		activations:     make(map[uint64]Activation),
	}
	for i := range options.Count {
		started, err := fleet.startGateway(i, 1)
		if err != nil {
			fleet.Close()
			return nil, err
		}
		fleet.gateways = append(fleet.gateways, started)
	}
	return fleet, nil
}

// Restart stops the first count gateways abruptly, without releasing their leases, as
// if their machines had failed. It then starts each as a new incarnation on another
// port.
func (f *Fleet) Restart(count int) error {
	for i := range min(count, len(f.gateways)) {
		lost := f.gateways[i]
		lost.stop()
		for kind, counters := range lost.network.Counters() {
			f.stoppedCounters[kind] = AddCounters(f.stoppedCounters[kind], counters)
		}
		restarted, err := f.startGateway(i, lost.incarnation+1)
		if err != nil {
			return err
		}
		f.gateways[i] = restarted
	}
	return nil
}

// startGateway starts the gateway with the given index on a port that the operating
// system assigns.
func (f *Fleet) startGateway(index, incarnation int) (*hollowGateway, error) {
	name := fmt.Sprintf("%s-%d", f.options.Prefix, index)
	network, err := transport.Listen(transport.Config{Name: name, Listen: f.options.Host + ":0", Keys: f.options.Keys}, nil)
	if err != nil {
		return nil, fmt.Errorf("hollow gateway %s: %w", name, err)
	}
	zone, region := f.options.Location(index)
	ctx, cancel := context.WithCancel(context.Background())
	started := &hollowGateway{network: network, incarnation: incarnation, cancel: cancel}
	started.agent = agent.New(agent.Options{
		Gateway: peer.GatewayInfo{
			Name:        name,
			Incarnation: strconv.Itoa(incarnation),
			Zone:        zone,
			Region:      region,
			PeerAddress: network.Address(),
			HTTPAddress: network.Address(),
		},
		Seeds:       f.options.Seeds,
		LeaseConfig: f.options.LeaseConfig,
		Network:     network,
		Clock:       func() time.Duration { return time.Since(f.started) },
		OnActivate:  f.recordActivation(),
		Logger:      slog.New(slog.DiscardHandler),
	})
	if err := network.Start(); err != nil {
		cancel()
		return nil, fmt.Errorf("hollow gateway %s: %w", name, err)
	}
	started.loop.Go(func() { started.agent.Run(ctx) })
	return started, nil
}

// recordActivation returns the OnActivate callback of one gateway. The callback counts
// each version once, even if the gateway activates several states of the same version.
func (f *Fleet) recordActivation() func(*catalog.State) {
	activeVersion := uint64(0)
	return func(state *catalog.State) {
		version := state.Version()
		if version == activeVersion {
			return
		}
		activeVersion = version
		f.mutex.Lock()
		defer f.mutex.Unlock()
		recorded := f.activations[version]
		f.activations[version] = Activation{Gateways: recorded.Gateways + 1, LastAt: eventlog.Now()}
	}
}

// Activation returns the activation progress of a configuration version.
func (f *Fleet) Activation(version uint64) Activation {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.activations[version]
}

// Leases returns the number of gateways with a valid lease.
func (f *Fleet) Leases() int {
	valid := 0
	for _, gateway := range f.gateways {
		if gateway.agent.Valid() {
			valid++
		}
	}
	return valid
}

// Counters returns the sum of the transport counters of all gateways, including those
// of earlier incarnations, by message kind.
func (f *Fleet) Counters() map[transport.Kind]transport.KindCounters {
	sum := maps.Clone(f.stoppedCounters)
	for _, gateway := range f.gateways {
		for kind, counters := range gateway.network.Counters() {
			sum[kind] = AddCounters(sum[kind], counters)
		}
	}
	return sum
}

// AddCounters returns the field-by-field sum of two sets of counters.
func AddCounters(a, b transport.KindCounters) transport.KindCounters {
	a.SentMessages += b.SentMessages
	a.SentBytes += b.SentBytes
	a.ReceivedMessages += b.ReceivedMessages
	a.ReceivedBytes += b.ReceivedBytes
	a.DroppedMessages += b.DroppedMessages
	return a
}

// Close stops the gateways without releasing their leases.
func (f *Fleet) Close() {
	for _, gateway := range f.gateways {
		gateway.stop()
	}
}
