package scale

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/deckpulley/deckpulley/control"
	"github.com/deckpulley/deckpulley/gateway"
	"github.com/deckpulley/deckpulley/internal/hollow"
	"github.com/deckpulley/deckpulley/lease"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/storage"
	"github.com/deckpulley/deckpulley/transport"
)

const host = "127.0.0.1"

// controlPart is one real control node.
type controlPart struct {
	network *transport.Node
	node    *control.Node
	server  *http.Server
}

func startControl(what setup) (*controlPart, error) {
	network, err := transport.Listen(transport.Config{Name: what.Name, Listen: what.Peer, Keys: [][]byte{what.Key}}, nil)
	if err != nil {
		return nil, err
	}
	disk, err := storage.Open(what.Folder)
	if err != nil {
		return nil, fmt.Errorf("opening the disk: %w", err)
	}
	node, err := control.New(control.Options{
		Name: what.Name, Zone: what.Zone, Region: what.Region,
		PeerAddress: what.Peer, OperatorAddress: what.HTTP,
		Seeds: what.Seeds, InitialControl: what.Initial,
		Network: network, Store: disk,
		Logger: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		return nil, err
	}
	started := &controlPart{network: network, node: node, server: node.Server()}
	if err := serveHTTP(started.server, what.HTTP); err != nil {
		return nil, err
	}
	return started, node.Start()
}

func (p *controlPart) fill(report *sample, _ uint64) { report.Frames = p.network.Counters() }

func (p *controlPart) close() {
	_ = p.server.Close()
	_ = p.node.Stop()
}

// serveHTTP binds the address and serves until the server is closed.
func serveHTTP(server *http.Server, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() { _ = server.Serve(listener) }()
	return nil
}

// hollowCollector keeps a process with hundreds of copies of the table from
// taking twice their size.
const hollowCollector = 25

// gatewaysPart is a number of hollow gateways.
type gatewaysPart struct{ fleet *hollow.Fleet }

func startGateways(what setup) (*gatewaysPart, error) {
	debug.SetGCPercent(hollowCollector)
	fleet, err := hollow.Start(hollow.FleetOptions{
		Count:  what.Gateways,
		Prefix: what.Name,
		Place:  placeOf,
		Host:   host,
		Seeds:  what.Seeds,
		Keys:   [][]byte{what.Key},
		Terms:  lease.DefaultConfig(),
	})
	if err != nil {
		return nil, err
	}
	return &gatewaysPart{fleet: fleet}, nil
}

func (p *gatewaysPart) fill(report *sample, version uint64) {
	report.Frames = p.fleet.Counters()
	report.Leases = p.fleet.Leases()
	activation := p.fleet.Activation(version)
	report.Activated, report.ActivatedAt = activation.Gateways, activation.Last
}

func (p *gatewaysPart) close() { p.fleet.Close() }

// gatewayPart is one real gateway.
type gatewayPart struct {
	network *transport.Node
	gateway *gateway.Gateway
	callers *http.Server
}

func startGateway(what setup) (*gatewayPart, error) {
	network, err := transport.Listen(transport.Config{Name: what.Name, Listen: what.Peer, Keys: [][]byte{what.Key}}, nil)
	if err != nil {
		return nil, err
	}
	running, err := gateway.New(gateway.Options{
		Info: peer.GatewayInfo{
			Name: what.Name, Incarnation: "1", Zone: what.Zone, Region: what.Region,
			PeerAddress: what.Peer, HTTPAddress: what.HTTP,
		},
		Seeds:           what.Seeds,
		TicketKeys:      [][]byte{what.Key},
		LeaseConfig:     lease.DefaultConfig(),
		Network:         network,
		Seed:            1,
		MaxConnections:  4096,
		ShutdownTimeout: time.Second,
	})
	if err != nil {
		return nil, err
	}
	started := &gatewayPart{network: network, gateway: running, callers: running.CallersServer()}
	if err := running.Start(); err != nil {
		return nil, err
	}
	return started, serveHTTP(started.callers, what.HTTP)
}

func (p *gatewayPart) fill(report *sample, _ uint64) {
	report.Frames = p.network.Counters()
	if p.gateway.Agent().Valid() && p.gateway.Agent().Active() != nil {
		report.Leases = 1
	}
}

func (p *gatewayPart) close() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	p.gateway.Stop(ctx)
	_ = p.callers.Close()
	_ = p.network.Close()
}

// replicaPart is one hollow replica.
type replicaPart struct{ server *http.Server }

const replicaSlots = 10_000

func startReplica(what setup) (*replicaPart, error) {
	gap, err := time.ParseDuration(what.Gap)
	if err != nil {
		return nil, err
	}
	replica := &hollow.Replica{ID: what.Name, Service: serviceName(0), Slots: replicaSlots, Gap: gap}
	server := &http.Server{Handler: replica.Handler(), ReadHeaderTimeout: time.Minute}
	return &replicaPart{server: server}, serveHTTP(server, what.HTTP)
}

func (p *replicaPart) fill(*sample, uint64) {}

func (p *replicaPart) close() { _ = p.server.Close() }
