package scenario

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/internal/checker"
	"github.com/deckpulley/deckpulley/internal/fleet/wait"
)

// runner executes the steps of a scenario.
type runner struct {
	*session
	scenario  *Scenario
	loadStart time.Time

	background sync.WaitGroup // steps in the background

	mutex sync.Mutex
	// last is the target of the most recent step that had one, and lost that of the most
	// recent kill or wipe.
	last, lost target
	frozen     map[string]bool // by node
	problems   []error
}

func newRunner(opened *session) *runner {
	return &runner{session: opened, scenario: opened.options.Scenario, loadStart: time.Now(), frozen: map[string]bool{}}
}

func (r *runner) addProblem(err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.problems = append(r.problems, err)
	r.progress("problem: %v", err)
}

func (r *runner) lastTarget() target {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.last
}

func (r *runner) setLastTarget(on target) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.last = on
}

func (r *runner) lostTarget() target {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.lost
}

func (r *runner) setLostTarget(on target) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.lost = on
}

func (r *runner) isFrozen(name string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.frozen[name]
}

func (r *runner) setFrozen(on target, frozen bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, node := range on.nodes {
		r.frozen[node.Name] = frozen
	}
}

// runSteps starts the load, executes the steps and waits for the tail. It returns early if ctx
// ends.
func (r *runner) runSteps(ctx context.Context) {
	r.load.setOrdinary(ctx, nil)
	steps := r.scenario.Steps
	if r.scenario.Random != nil {
		steps = drawSteps(*r.scenario.Random, r.options.Seed, r.options.Deployment)
	}
	for i, step := range steps {
		if ctx.Err() != nil {
			return
		}
		if err := r.await(ctx, step); err != nil {
			r.addProblem(stepError(i, step, err))
		}
		if ctx.Err() != nil {
			return
		}
		r.startStep(ctx, i, step)
	}
	r.background.Wait()
	_ = wait.Sleep(ctx, time.Duration(r.scenario.Tail)) // Run checks ctx
}

func stepError(index int, step Step, err error) error {
	return fmt.Errorf("steps[%d] (%s %s): %w", index, step.Do, step.Target, err)
}

// startStep executes a step, in the background if step.Background is set.
func (r *runner) startStep(ctx context.Context, index int, step Step) {
	perform := func() {
		r.progress("%6.2f s  %s %s", time.Since(r.loadStart).Seconds(), step.Do, step.Target)
		if err := r.perform(ctx, step); err != nil {
			r.addProblem(stepError(index, step, err))
		}
	}
	if !step.Background {
		perform()
		return
	}
	r.background.Add(1)
	go func() {
		defer r.background.Done()
		perform()
	}()
}

// await waits for the start time of a step and then for its condition.
func (r *runner) await(ctx context.Context, step Step) error {
	r.awaitTime(ctx, step)
	if step.When == "" {
		return nil
	}
	timeout := time.Duration(step.Within)
	if timeout == 0 {
		timeout = stepTimeout
	}
	return r.awaitCondition(ctx, step.When, timeout)
}

// awaitTime waits for the start time of a step. It returns early if ctx ends, which runSteps
// checks.
func (r *runner) awaitTime(ctx context.Context, step Step) {
	switch {
	case step.At != nil:
		_ = wait.Sleep(ctx, time.Until(r.loadStart.Add(time.Duration(*step.At))))
	case step.After != nil:
		_ = wait.Sleep(ctx, time.Duration(*step.After))
	}
}

func (r *runner) awaitCondition(ctx context.Context, condition Condition, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	start := time.Now()
	err := wait.Poll(ctx, conditionInterval, func() error { return r.check(ctx, condition) })
	if err != nil {
		return fmt.Errorf("not %s within %v: %w", condition, timeout, err)
	}
	r.progress("%s after %.1f s", condition, time.Since(start).Seconds())
	if condition == WhenRepaired {
		r.fleet.LogFault(checker.FaultRepaired, checker.TargetControls, targetControls, "")
	}
	return nil
}

var errConditionNotMet = errors.New("the condition does not hold yet")

// check returns nil if the condition currently holds.
func (r *runner) check(ctx context.Context, condition Condition) error {
	switch condition {
	case WhenReady:
		return r.fleet.CheckReady(ctx)
	case WhenRepaired:
		members, err := r.operators[0].ReadMembers(ctx)
		if err != nil {
			return err
		}
		if !members.RepairDone {
			return errConditionNotMet
		}
		return nil
	case WhenNewPrimary:
		primary, ok := r.knownPrimary(ctx)
		if !ok || primary.Name == r.lastTarget().label {
			return errConditionNotMet
		}
		return nil
	}
	return fmt.Errorf("unknown condition %q", condition)
}
