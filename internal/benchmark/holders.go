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

// holdersJob is a job that runs the agents of many gateways, each with its own transport node.
// An agent holds its gateway's lease, and is called a holder here; no gateway relays
// requests.
type holdersJob struct {
	agents   []*agent.Agent
	networks []*transport.Node
	cancel   context.CancelFunc
	running  sync.WaitGroup
}

// workerLogger returns the logger of a worker. It writes warnings to standard error if the
// benchmark is verbose, and discards all messages otherwise.
func workerLogger(config workerConfig) *slog.Logger {
	if config.Verbose {
		return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelWarn}))
	}
	return slog.New(slog.DiscardHandler)
}

func newHoldersJob(config workerConfig) (*holdersJob, error) {
	ctx, cancel := context.WithCancel(context.Background())
	h := &holdersJob{cancel: cancel}
	for i := range config.Count {
		if err := h.add(ctx, config, i); err != nil {
			h.stop()
			return nil, err
		}
	}
	return h, nil
}

// add starts another holder, which runs until ctx is done.
func (h *holdersJob) add(ctx context.Context, config workerConfig, index int) error {
	name := fmt.Sprintf("gateway-%d", index)
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

func (h *holdersJob) fillStatus(status *workerStatus) {
	for i, holder := range h.agents {
		current := holder.Status()
		status.Renewals += current.GrantedRenewals
		if i == 0 || current.Term < status.Term {
			status.Term = current.Term
		}
		status.NewestTerm = max(status.NewestTerm, current.Term)
		if current.LeaseRemaining > 0 {
			status.Valid++
		}
		if current.ActiveSerial == 0 {
			continue
		}
		status.Active++
		if status.Serial == 0 || registry.SerialLess(current.ActiveSerial, status.Serial) {
			status.Serial = current.ActiveSerial
		}
	}
}

func (h *holdersJob) stop() {
	h.cancel()
	h.running.Wait()
	for _, network := range h.networks {
		_ = network.Close()
	}
}
