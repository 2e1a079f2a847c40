// Package hollow runs gateways and replicas without their work, as Kubernetes'
// kubemark runs hollow nodes: gateways that hold a lease and a copy of the registry
// but carry no requests, and replicas that compute nothing. Many fit into one
// process, so that the cost of a large fleet is measured on one machine. It is no
// part of a deployment.
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
	// Prefix begins their names; the index follows it.
	Prefix string
	// Location returns the zone and region of the gateway with an index.
	Location func(index int) (zone, region string)
	// Host is the loopback address to listen on; the system chooses the ports.
	Host string
	// Seeds are the peer addresses of control nodes.
	Seeds []string
	// Keys are the fleet's transport keys.
	Keys [][]byte
	// LeaseConfig is the fleet's configuration of leases.
	LeaseConfig lease.Config
}

// Fleet is a set of hollow gateways. It is not safe for concurrent use.
type Fleet struct {
	options  FleetOptions
	started  time.Time
	gateways []*hollowGateway
	// retired sums the transport counters of gateways that were restarted.
	retired map[transport.Kind]transport.KindCounters

	mutex       sync.Mutex // guards activations, which agents write
	activations map[uint64]Activation
}

// hollowGateway is a gateway's agent with a network of its own.
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

// Activation says how far the activation of a configuration version has come.
type Activation struct {
	// Gateways is the number of gateways at which the version became active.
	Gateways int
	// LastAt is when it did at the last of them, in nanoseconds of eventlog.Now.
	LastAt int64
}

// Start starts the gateways. The caller must stop them with Close.
func Start(options FleetOptions) (*Fleet, error) {
	fleet := &Fleet{
		options:     options,
		started:     time.Now(),
		retired:     make(map[transport.Kind]transport.KindCounters),
		activations: make(map[uint64]Activation),
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

// Restart stops the first count gateways, as the loss of their machines would, and
// starts each as a new incarnation at another port.
func (f *Fleet) Restart(count int) error {
	for i := range min(count, len(f.gateways)) {
		lost := f.gateways[i]
		lost.stop()
		for kind, counters := range lost.network.Counters() {
			f.retired[kind] = AddCounters(f.retired[kind], counters)
		}
		restarted, err := f.startGateway(i, lost.incarnation+1)
		if err != nil {
			return err
		}
		f.gateways[i] = restarted
	}
	return nil
}

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

// recordActivation returns the OnActivate callback of one gateway. It counts each
// version once, also if the gateway activates several states of it.
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

// Activation returns how far the activation of a version has come.
func (f *Fleet) Activation(version uint64) Activation {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.activations[version]
}

// Leases counts the gateways with a valid lease.
func (f *Fleet) Leases() int {
	valid := 0
	for _, gateway := range f.gateways {
		if gateway.agent.Valid() {
			valid++
		}
	}
	return valid
}

// Counters sums the transport counters of all gateways, including those of earlier
// incarnations.
func (f *Fleet) Counters() map[transport.Kind]transport.KindCounters {
	sum := maps.Clone(f.retired)
	for _, gateway := range f.gateways {
		for kind, counters := range gateway.network.Counters() {
			sum[kind] = AddCounters(sum[kind], counters)
		}
	}
	return sum
}

// AddCounters returns the sum of two readings.
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
