// Package inventory brings the platform's list of model replicas into the registry:
// the primary is its one reader for the whole fleet.
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

// readTimeout bounds one reading of the list, and its way into the registry.
const readTimeout = 2 * time.Second

// Source is where the list of all replicas comes from.
type Source interface {
	// Replicas returns the complete list as it is now.
	Replicas(ctx context.Context) (*api.ReplicaList, error)
}

// Reader reads a source at an interval.
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

// Run reads the list while this node is the primary and there is a configuration,
// until ctx ends.
func (r *Reader) Run(ctx context.Context) {
	ticker := time.NewTicker(r.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		// Two readings never begin closer to one another than the interval, also
		// after a slow one: the source bounds the calls a second.
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
