// Package hollow runs what a fleet's size is made of, without its work: gateways
// that keep a lease and a copy of the registry but carry no request, and replicas
// that compute nothing. Many fit into one process, to measure what they cost the
// others and each other. Deployments do not run it.
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

// FleetOptions set up the gateways of one process.
type FleetOptions struct {
	// Count of gateways.
	Count int
	// Prefix of their names.
	Prefix string
	// Zone and Region name the place of the gateway with an index.
	Place func(index int) (zone, region string)
	// Host is the loopback address to listen on; the ports are the system's choice.
	Host string
	// Seeds are the peers' addresses of control nodes.
	Seeds []string
	// Keys are the fleet's keys.
	Keys [][]byte
	// Terms are the fleet's lease terms.
	Terms lease.Config
}

// Fleet is a number of hollow gateways.
type Fleet struct {
	options  FleetOptions
	started  time.Time
	gateways []*hollowGateway
	retired  map[transport.Kind]transport.KindCounters // of gateways that were restarted

	mutex       sync.Mutex
	activations map[uint64]Activation
}

type hollowGateway struct {
	network     *transport.Node
	agent       *agent.Agent
	incarnation int
	cancel      context.CancelFunc
	loop        sync.WaitGroup
}

// stop ends the gateway without a word to the primary.
func (g *hollowGateway) stop() {
	g.cancel()
	_ = g.network.Close()
	g.loop.Wait()
}

// Activation says how many gateways have made a configuration version active,
// and when the last of them did, in nanoseconds of eventlog.Now.
type Activation struct {
	Gateways int
	Last     int64
}

// Start starts the gateways. Stop them with Close. The methods of a Fleet are for
// one goroutine.
func Start(options FleetOptions) (*Fleet, error) {
	fleet := &Fleet{
		options:     options,
		started:     time.Now(),
		retired:     make(map[transport.Kind]transport.KindCounters),
		activations: make(map[uint64]Activation),
	}
	for i := range options.Count {
		member, err := fleet.startGateway(i, 1)
		if err != nil {
			fleet.Close()
			return nil, err
		}
		fleet.gateways = append(fleet.gateways, member)
	}
	return fleet, nil
}

// Restart ends some gateways as lost machines would and starts each again as a
// new incarnation at another port.
func (f *Fleet) Restart(count int) error {
	for i := range min(count, len(f.gateways)) {
		lost := f.gateways[i]
		lost.stop()
		for kind, counters := range lost.network.Counters() {
			f.retired[kind] = AddCounters(f.retired[kind], counters)
		}
		member, err := f.startGateway(i, lost.incarnation+1)
		if err != nil {
			return err
		}
		f.gateways[i] = member
	}
	return nil
}

func (f *Fleet) startGateway(index, incarnation int) (*hollowGateway, error) {
	name := fmt.Sprintf("%s-%d", f.options.Prefix, index)
	network, err := transport.Listen(transport.Config{Name: name, Listen: f.options.Host + ":0", Keys: f.options.Keys}, nil)
	if err != nil {
		return nil, fmt.Errorf("hollow gateway %s: %w", name, err)
	}
	zone, region := f.options.Place(index)
	ctx, cancel := context.WithCancel(context.Background())
	member := &hollowGateway{network: network, incarnation: incarnation, cancel: cancel}
	member.agent = agent.New(agent.Options{
		Gateway: peer.GatewayInfo{
			Name:        name,
			Incarnation: strconv.Itoa(incarnation),
			Zone:        zone,
			Region:      region,
			PeerAddress: network.Address(),
			HTTPAddress: network.Address(),
		},
		Seeds:       f.options.Seeds,
		LeaseConfig: f.options.Terms,
		Network:     network,
		Clock:       func() time.Duration { return time.Since(f.started) },
		OnActivate:  f.activated(),
		Logger:      slog.New(slog.DiscardHandler),
	})
	if err := network.Start(); err != nil {
		cancel()
		return nil, fmt.Errorf("hollow gateway %s: %w", name, err)
	}
	member.loop.Go(func() { member.agent.Run(ctx) })
	return member, nil
}

// activated returns one gateway's note of what becomes active there.
func (f *Fleet) activated() func(*catalog.State) {
	newest := uint64(0)
	return func(contents *catalog.State) {
		version := contents.Version()
		if version == newest {
			return
		}
		newest = version
		f.mutex.Lock()
		defer f.mutex.Unlock()
		noted := f.activations[version]
		f.activations[version] = Activation{Gateways: noted.Gateways + 1, Last: eventlog.Now()}
	}
}

// Activation returns what is known of a version.
func (f *Fleet) Activation(version uint64) Activation {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.activations[version]
}

// Leases counts the gateways with a valid lease.
func (f *Fleet) Leases() int {
	valid := 0
	for _, member := range f.gateways {
		if member.agent.Valid() {
			valid++
		}
	}
	return valid
}

// Counters sums the transport's counters of all gateways, past ones included.
func (f *Fleet) Counters() map[transport.Kind]transport.KindCounters {
	sum := maps.Clone(f.retired)
	for _, member := range f.gateways {
		for kind, counters := range member.network.Counters() {
			sum[kind] = AddCounters(sum[kind], counters)
		}
	}
	return sum
}

// AddCounters adds two readings.
func AddCounters(a, b transport.KindCounters) transport.KindCounters {
	a.SentMessages += b.SentMessages
	a.SentBytes += b.SentBytes
	a.ReceivedMessages += b.ReceivedMessages
	a.ReceivedBytes += b.ReceivedBytes
	a.DroppedMessages += b.DroppedMessages
	return a
}

// Close stops the gateways without a word to the primary.
func (f *Fleet) Close() {
	for _, member := range f.gateways {
		member.stop()
	}
}
