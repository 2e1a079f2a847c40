package scenario

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/internal/fleet/caller"
	"github.com/deckpulley/deckpulley/internal/workload"
)

// load is what the callers of a run send: the ordinary load and, at times, a crowd
// beside it. Its methods are safe for concurrent use.
type load struct {
	pool    *caller.Pool
	profile *workload.Profile // of the ordinary load
	seed    uint64

	generators sync.WaitGroup

	mutex         sync.Mutex
	stopOrdinary  context.CancelFunc // nil before the ordinary load begins
	stopAddition  context.CancelFunc // nil without a crowd
	generatorsRun int
}

// setOrdinary replaces the ordinary load. Without phases the load is constant.
func (l *load) setOrdinary(ctx context.Context, phases workload.Scenario) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.stopOrdinary != nil {
		l.stopOrdinary()
	}
	l.stopOrdinary = l.generateLocked(ctx, l.profile, phases)
}

// addCrowd adds load beside the ordinary one, so that both together are factor times
// the ordinary one. It replaces an earlier crowd.
func (l *load) addCrowd(ctx context.Context, factor float64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.stopAddition != nil {
		l.stopAddition()
	}
	l.stopAddition = l.generateLocked(ctx, l.profile.Scale(factor-1), nil)
}

// removeCrowd ends the load beside the ordinary one.
func (l *load) removeCrowd() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.stopAddition != nil {
		l.stopAddition()
		l.stopAddition = nil
	}
}

// generateLocked starts a generator with a name of its own, which keeps the ids of
// its requests apart from those of others.
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

// end ends all load and waits for the answers, for at most timeout. It reports
// whether all requests have ended.
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
