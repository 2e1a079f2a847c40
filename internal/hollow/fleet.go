// Package hollow runs what a fleet's size is made of, without its work: gateways
// that keep a lease and a copy of the registry but carry no request, and replicas
// that compute nothing. Many fit into one process, to measure what they cost the
// others and each other. Deployments do not run it.
package hollow

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/gateway/agent"
	"github.com/deckpulley/deckpulley/internal/eventlog"
	"github.com/deckpulley/deckpulley/lease"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/places"
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
	Terms lease.Terms
}

// Fleet is a number of hollow gateways.
type Fleet struct {
	gateways []hollowGateway
	cancel   context.CancelFunc
	loops    sync.WaitGroup

	mutex       sync.Mutex
	activations map[uint64]Activation
}

type hollowGateway struct {
	network *transport.Node
	agent   *agent.Agent
}

// Activation says how many gateways have made a configuration version active,
// and when the last of them did, in nanoseconds of eventlog.Now.
type Activation struct {
	Gateways int
	Last     int64
}

// Start starts the gateways. Stop them with Close.
func Start(options FleetOptions) (*Fleet, error) {
	ctx, cancel := context.WithCancel(context.Background())
	fleet := &Fleet{cancel: cancel, activations: make(map[uint64]Activation)}
	started := time.Now()
	for i := range options.Count {
		if err := fleet.add(ctx, options, i, started); err != nil {
			fleet.Close()
			return nil, err
		}
	}
	return fleet, nil
}

func (f *Fleet) add(ctx context.Context, options FleetOptions, index int, started time.Time) error {
	name := fmt.Sprintf("%s-%d", options.Prefix, index)
	network, err := transport.Listen(transport.Config{Name: name, Listen: options.Host + ":0", Keys: options.Keys}, nil)
	if err != nil {
		return fmt.Errorf("hollow gateway %s: %w", name, err)
	}
	zone, region := options.Place(index)
	member := hollowGateway{network: network}
	member.agent = agent.New(agent.Options{
		Gateway: peer.GatewayInfo{
			Name:        name,
			Incarnation: "1",
			Zone:        zone,
			Region:      region,
			PeerAddress: network.Address(),
			HTTPAddress: network.Address(),
		},
		Seeds:     options.Seeds,
		Terms:     options.Terms,
		Network:   network,
		Clock:     func() time.Duration { return time.Since(started) },
		Activated: f.activated(),
		Logger:    slog.New(slog.DiscardHandler),
	})
	f.gateways = append(f.gateways, member)
	if err := network.Start(); err != nil {
		return fmt.Errorf("hollow gateway %s: %w", name, err)
	}
	f.loops.Go(func() { member.agent.Run(ctx) })
	return nil
}

// activated returns one gateway's note of what becomes active there.
func (f *Fleet) activated() func(*places.Contents) {
	newest := uint64(0)
	return func(contents *places.Contents) {
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

// Counters sums the transport's counters of all gateways.
func (f *Fleet) Counters() map[transport.Kind]transport.KindCounters {
	sum := make(map[transport.Kind]transport.KindCounters)
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
	f.cancel()
	for _, member := range f.gateways {
		member.network.Close()
	}
	f.loops.Wait()
}
