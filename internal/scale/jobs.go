package scale

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/control"
	"github.com/deckpulley/deckpulley/gateway"
	"github.com/deckpulley/deckpulley/internal/hollow"
	"github.com/deckpulley/deckpulley/lease"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/storage"
	"github.com/deckpulley/deckpulley/transport"
)

// host is the address on which all processes listen.
const host = "127.0.0.1"

// controlJob runs one complete control node.
type controlJob struct {
	network *transport.Node
	node    *control.Node
	server  *httpServer
}

func startControl(config childConfig) (*controlJob, error) {
	network, err := transport.Listen(transport.Config{Name: config.Name, Listen: config.Peer, Keys: [][]byte{config.Key}}, nil)
	if err != nil {
		return nil, err
	}
	disk, err := storage.Open(config.Folder)
	if err != nil {
		return nil, fmt.Errorf("opening the storage: %w", err)
	}
	node, err := control.New(control.Options{
		Name: config.Name, Zone: config.Zone, Region: config.Region,
		PeerAddress: config.Peer, OperatorAddress: config.HTTP,
		Seeds: config.Seeds, InitialControl: config.Initial,
		Network: network, Store: disk,
		Logger: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		return nil, err
	}
	server, err := startHTTP(node.Server(), config.HTTP)
	if err != nil {
		return nil, err
	}
	started := &controlJob{network: network, node: node, server: server}
	return started, node.Start()
}

func (j *controlJob) fillSample(into *sample, _ uint64) { into.Frames = j.network.Counters() }

func (j *controlJob) close() {
	j.server.close()
	_ = j.node.Stop()
}

// httpServer is an HTTP server together with the goroutine that accepts connections.
type httpServer struct {
	server  *http.Server
	serving sync.WaitGroup
}

// startHTTP listens on the address and serves until close is called.
func startHTTP(server *http.Server, address string) (*httpServer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &httpServer{server: server}
	s.serving.Go(func() { _ = server.Serve(listener) })
	return s, nil
}

// close closes the server and its connections and waits for the serving goroutine.
func (s *httpServer) close() {
	_ = s.server.Close()
	s.serving.Wait()
}

// hollowGCPercent is the garbage collection target (GOGC) in a process of hollow
// gateways. At the default of 100, the heap with the gateways' hundreds of copies of the
// registry table could grow to twice its live size.
const hollowGCPercent = 25

// hollowGatewaysJob runs many hollow gateways in one process.
type hollowGatewaysJob struct{ fleet *hollow.Fleet }

func startHollowGatewaysJob(config childConfig) (*hollowGatewaysJob, error) {
	debug.SetGCPercent(hollowGCPercent)
	fleet, err := hollow.Start(hollow.FleetOptions{
		Count:       config.Gateways,
		Prefix:      config.Name,
		Location:    gatewayLocation,
		Host:        host,
		Seeds:       config.Seeds,
		Keys:        [][]byte{config.Key},
		LeaseConfig: lease.DefaultConfig(),
	})
	if err != nil {
		return nil, err
	}
	return &hollowGatewaysJob{fleet: fleet}, nil
}

func (j *hollowGatewaysJob) fillSample(into *sample, version uint64) {
	into.Frames = j.fleet.Counters()
	into.Leases = j.fleet.Leases()
	activation := j.fleet.Activation(version)
	into.Activated, into.ActivatedAt = activation.Gateways, activation.LastAt
}

func (j *hollowGatewaysJob) close() { j.fleet.Close() }

// Limits of the complete gateway that gatewayJob runs.
const (
	maxConnections  = 4096
	shutdownTimeout = time.Second
)

// gatewayJob runs one complete gateway, which relays requests.
type gatewayJob struct {
	network *transport.Node
	gateway *gateway.Gateway
	server  *httpServer
}

func startGateway(config childConfig) (*gatewayJob, error) {
	network, err := transport.Listen(transport.Config{Name: config.Name, Listen: config.Peer, Keys: [][]byte{config.Key}}, nil)
	if err != nil {
		return nil, err
	}
	running, err := gateway.New(gateway.Options{
		Info: peer.GatewayInfo{
			Name: config.Name, Incarnation: "1", Zone: config.Zone, Region: config.Region,
			PeerAddress: config.Peer, HTTPAddress: config.HTTP,
		},
		Seeds:           config.Seeds,
		TicketKeys:      [][]byte{config.Key},
		LeaseConfig:     lease.DefaultConfig(),
		Network:         network,
		Seed:            1,
		MaxConnections:  maxConnections,
		ShutdownTimeout: shutdownTimeout,
	})
	if err != nil {
		return nil, err
	}
	if err := running.Start(); err != nil {
		return nil, err
	}
	server, err := startHTTP(running.CallersServer(), config.HTTP)
	if err != nil {
		return nil, err
	}
	return &gatewayJob{network: network, gateway: running, server: server}, nil
}

func (j *gatewayJob) fillSample(into *sample, _ uint64) {
	into.Frames = j.network.Counters()
	if j.gateway.Agent().Valid() && j.gateway.Agent().Active() != nil {
		into.Leases = 1
	}
}

func (j *gatewayJob) close() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	j.gateway.Stop(ctx)
	j.server.close()
	_ = j.network.Close()
}

// replicaJob runs one hollow replica.
type replicaJob struct{ server *httpServer }

// replicaSlots is the number of parallel requests that a hollow replica reports. It is
// above every measured number of streams.
const replicaSlots = 10_000

func startReplica(config childConfig) (*replicaJob, error) {
	interval, err := time.ParseDuration(config.TokenInterval)
	if err != nil {
		return nil, err
	}
	replica := &hollow.Replica{ID: config.Name, Service: serviceName(0), Slots: replicaSlots, TokenInterval: interval}
	server, err := startHTTP(newReplicaServer(replica), config.HTTP)
	if err != nil {
		return nil, err
	}
	return &replicaJob{server: server}, nil
}

func (j *replicaJob) fillSample(*sample, uint64) {}

func (j *replicaJob) close() { j.server.close() }

// newReplicaServer returns the HTTP server of a hollow replica.
func newReplicaServer(replica *hollow.Replica) *http.Server {
	return &http.Server{Handler: replica.Handler(), ReadHeaderTimeout: time.Minute}
}
