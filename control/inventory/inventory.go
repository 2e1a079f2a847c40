// Package inventory copies the platform's list of model replicas into the registry. Only
// the primary reads the list, for the whole fleet.
package inventory

import (
	"context"
	"log/slog"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/control/engine"
	"github.com/deckpulley/deckpulley/control/executor"
	"github.com/deckpulley/deckpulley/peer"
)

// readTimeout bounds reading the list once and applying it to the registry.
const readTimeout = 2 * time.Second

// Source provides the list of all replicas.
type Source interface {
	// Replicas returns the complete current list.
	Replicas(ctx context.Context) (*api.ReplicaList, error)
}

// Reader reads a source periodically and applies its list to the registry.
type Reader struct {
	source   Source
	interval time.Duration
	engine   *engine.Engine
	executor *executor.Executor
	log      *slog.Logger
}

// NewReader returns a reader of a source.
func NewReader(source Source, interval time.Duration, engine *engine.Engine, executor *executor.Executor, log *slog.Logger) *Reader {
	return &Reader{source: source, interval: interval, engine: engine, executor: executor, log: log}
}

// Run reads the list periodically until ctx ends, whenever this node is the primary and
// the registry has a configuration.
func (r *Reader) Run(ctx context.Context) {
	ticker := time.NewTicker(r.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		// Consecutive reads start at least an interval apart, even after a slow one,
		// because the source limits the rate of calls.
		ticker.Reset(r.interval)
		observed := r.engine.Observe()
		if observed.Primary && observed.Catalog != nil && observed.Catalog.Version() > 0 {
			r.read(ctx)
		}
	}
}

func (r *Reader) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	list, err := r.source.Replicas(ctx)
	if err != nil {
		r.log.Warn("replica list fetch failed", "error", err)
		return
	}
	reply := r.executor.Execute(ctx, peer.OperationRequest{Replicas: list})
	if reply.Error != nil {
		r.log.Warn("replica list rejected", "error", reply.Error)
	}
}
