package scenario

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/internal/fleet/caller"
	"github.com/deckpulley/deckpulley/internal/workload"
)

// load controls the request load of a run: the ordinary load and, temporarily, an additional
// load called the crowd. Its methods are safe for concurrent use.
type load struct {
	pool    *caller.Pool
	profile *workload.Profile // of the ordinary load
	seed    uint64

	generators sync.WaitGroup

	mutex         sync.Mutex
	stopOrdinary  context.CancelFunc // nil before the ordinary load starts
	stopCrowd     context.CancelFunc // nil without a crowd
	generatorsRun int
}

// setOrdinary starts or replaces the ordinary load. Without phases the load is constant.
func (l *load) setOrdinary(ctx context.Context, phases workload.Scenario) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.stopOrdinary != nil {
		l.stopOrdinary()
	}
	l.stopOrdinary = l.generateLocked(ctx, l.profile, phases)
}

// addCrowd adds load so that the total is factor times the ordinary load. It replaces an
// earlier crowd.
func (l *load) addCrowd(ctx context.Context, factor float64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.stopCrowd != nil {
		l.stopCrowd()
	}
	l.stopCrowd = l.generateLocked(ctx, l.profile.Scale(factor-1), nil)
}

// removeCrowd ends the additional load.
func (l *load) removeCrowd() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.stopCrowd != nil {
		l.stopCrowd()
		l.stopCrowd = nil
	}
}

// generateLocked starts a generator with a unique name, so that its request IDs differ from
// those of other generators. The caller holds the lock.
func (l *load) generateLocked(ctx context.Context, profile *workload.Profile, phases workload.Scenario) context.CancelFunc {
	ctx, cancel := context.WithCancel(ctx)
	l.generatorsRun++
	generator := workload.New(profile, phases, l.seed, fmt.Sprintf("load%d", l.generatorsRun))
	l.generators.Add(1)
	go func() {
		defer l.generators.Done()
		l.pool.Generate(ctx, generator)
	}()
	return cancel
}

// end stops the load and waits at most timeout for the answers. It reports whether all
// requests have ended.
func (l *load) end(timeout time.Duration) bool {
	l.removeCrowd()
	l.mutex.Lock()
	if l.stopOrdinary != nil {
		l.stopOrdinary()
	}
	l.mutex.Unlock()
	l.generators.Wait()
	return l.pool.Wait(timeout)
}
