package benchmark

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"

	"github.com/deckpulley/deckpulley/gateway"
	"github.com/deckpulley/deckpulley/lease"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/transport"
)

// gatewayJob is a job that runs one gateway, set up as in the gateway daemon.
type gatewayJob struct {
	gateway *gateway.Gateway
	network *transport.Node
	server  *http.Server
	serving sync.WaitGroup
	address string // HTTP address for callers
}

func newGatewayJob(config workerConfig) (*gatewayJob, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, fmt.Errorf("listening for callers: %w", err)
	}
	const name = "gateway-1"
	keys := [][]byte{config.Key}
	network, err := transport.Listen(transport.Config{Name: name, Listen: loopback, Keys: keys}, workerLogger(config))
	if err != nil {
		return nil, err
	}
	address := listener.Addr().String()
	created, err := gateway.New(gateway.Options{
		Info: peer.GatewayInfo{
			Name:        name,
			Incarnation: "1",
			Zone:        config.Zone,
			Region:      config.Region,
			PeerAddress: network.Address(),
			HTTPAddress: address,
		},
		Seeds:       config.Seeds,
		TicketKeys:  keys,
		LeaseConfig: lease.DefaultConfig(),
		Network:     network,
		Logger:      workerLogger(config),
	})
	if err != nil {
		return nil, err
	}
	if err := created.Start(); err != nil {
		return nil, err
	}
	j := &gatewayJob{gateway: created, network: network, server: created.CallersServer(), address: address}
	j.serving.Go(func() { _ = j.server.Serve(listener) })
	return j, nil
}

func (j *gatewayJob) fillStatus(status *workerStatus) {
	status.Address = j.address
	if j.gateway.Agent().Valid() {
		status.Valid = 1
	}
}

func (j *gatewayJob) stop() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // do not wait for the requests in flight
	j.gateway.Stop(ctx)
	_ = j.server.Close()
	j.serving.Wait()
	_ = j.network.Close()
}
