package benchmark

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/gateway/agent"
	"github.com/deckpulley/deckpulley/lease"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/registry"
	"github.com/deckpulley/deckpulley/transport"
)

// holders are the control sides of many gateways in one process, each with a
// network of its own.
type holders struct {
	agents   []*agent.Agent
	networks []*transport.Node
	cancel   context.CancelFunc
	running  sync.WaitGroup
}

func workerLogger(config workerConfig) *slog.Logger {
	if config.Verbose {
		return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelWarn}))
	}
	return slog.New(slog.DiscardHandler)
}

func newHolders(config workerConfig) (*holders, error) {
	ctx, cancel := context.WithCancel(context.Background())
	h := &holders{cancel: cancel}
	for i := range config.Count {
		if err := h.add(ctx, config, i); err != nil {
			h.stop()
			return nil, err
		}
	}
	return h, nil
}

func (h *holders) add(ctx context.Context, config workerConfig, number int) error {
	name := fmt.Sprintf("gateway-%d", number)
	network, err := transport.Listen(transport.Config{Name: name, Listen: loopback, Keys: [][]byte{config.Key}}, workerLogger(config))
	if err != nil {
		return err
	}
	h.networks = append(h.networks, network)
	started := time.Now()
	added := agent.New(agent.Options{
		Gateway: peer.GatewayInfo{
			Name:        name,
			Incarnation: "1",
			Zone:        config.Zone,
			Region:      config.Region,
			PeerAddress: network.Address(),
			HTTPAddress: network.Address(),
		},
		Seeds:       config.Seeds,
		LeaseConfig: lease.DefaultConfig(),
		Network:     network,
		Clock:       func() time.Duration { return time.Since(started) },
		Logger:      workerLogger(config),
	})
	if err := network.Start(); err != nil {
		return err
	}
	h.agents = append(h.agents, added)
	h.running.Go(func() { added.Run(ctx) })
	return nil
}

func (h *holders) fill(status *workerStatus) {
	for i, holder := range h.agents {
		read := holder.Status()
		status.Renewals += read.GrantedRenewals
		if i == 0 || read.Term < status.Term {
			status.Term = read.Term
		}
		status.NewestTerm = max(status.NewestTerm, read.Term)
		if read.LeaseRemaining > 0 {
			status.Valid++
		}
		if read.ActiveSerial == 0 {
			continue
		}
		status.Active++
		if status.Serial == 0 || registry.SerialLess(read.ActiveSerial, status.Serial) {
			status.Serial = read.ActiveSerial
		}
	}
}

func (h *holders) stop() {
	h.cancel()
	h.running.Wait()
	for _, network := range h.networks {
		_ = network.Close()
	}
}
