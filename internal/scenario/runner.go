package scenario

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/internal/checker"
	"github.com/deckpulley/deckpulley/internal/eventlog"
	"github.com/deckpulley/deckpulley/internal/fleet"
	"github.com/deckpulley/deckpulley/internal/fleet/process"
)

// Options say what to run, on what and where.
type Options struct {
	Scenario   *Scenario
	Deployment fleet.Deployment
	Programs   string
	// Folder is the run folder, new or empty.
	Folder   string
	Seed     uint64
	LogLevel string
	// Environment is added to that of the daemons, as NAME=value.
	Environment []string
	// Progress takes one line for each step; nil discards them.
	Progress func(format string, arguments ...any)
}

// NodeUsage is what one daemon used up to the end of the load.
type NodeUsage struct {
	Name  string
	Usage process.Usage
	// Since is the time that the process had run.
	Since time.Duration
}

// Result is one finished run.
type Result struct {
	Scenario   *Scenario
	Deployment string
	Folder     string
	Events     []eventlog.Event
	Report     checker.Report
	Usage      []NodeUsage
	// Problems are steps that could not be done.
	Problems []error
	Took     time.Duration
}

// Unexercised lists promises that the scenario is for and left unexercised.
func (r *Result) Unexercised() []string {
	var list []string
	for _, promise := range r.Scenario.Promises {
		verdict, ok := r.Report.Verdict(checker.Promise(promise))
		if !ok || verdict.Status() == checker.StatusNotExercised {
			list = append(list, promise)
		}
	}
	return list
}

// Good reports whether the run broke nothing, did all its steps and exercised
// what it is for.
func (r *Result) Good() bool {
	return !r.Report.Broken() && len(r.Problems) == 0 && len(r.Unexercised()) == 0
}

// runner does the steps of one scenario.
type runner struct {
	*session
	scenario *Scenario
	begun    time.Time

	background sync.WaitGroup
	mutex      sync.Mutex
	last       target
	lost       target // that of the last kill, wipe or replacement
	frozen     map[string]bool
	problems   []error
}

// Run runs one scenario on a fleet of its own and checks it. The error tells
// what kept the run from beginning; Result.Problems tells of steps.
func Run(ctx context.Context, options Options) (*Result, error) {
	if options.Progress == nil {
		options.Progress = func(string, ...any) {}
	}
	start := time.Now()
	opened, err := openSession(ctx, options, options.Progress)
	if err != nil {
		return nil, fmt.Errorf("scenario %s: %w", options.Scenario.Name, err)
	}
	r := &runner{session: opened, scenario: options.Scenario, begun: time.Now(), frozen: map[string]bool{}}
	r.runSteps(ctx)
	usage := r.usage()
	if ctx.Err() != nil {
		err := opened.fleet.Close() // so that the callers end at once
		r.endLoad()
		return nil, fmt.Errorf("scenario %s: %w", options.Scenario.Name, errors.Join(ctx.Err(), err, opened.close()))
	}
	r.endLoad()
	if err := r.read(ctx); err != nil {
		r.problem(fmt.Errorf("reading back at the end: %w", err))
	}
	if err := opened.close(); err != nil {
		r.problem(fmt.Errorf("ending the fleet: %w", err))
	}
	events, err := eventlog.ReadFolder(opened.fleet.EventFolder())
	if err != nil {
		return nil, err
	}
	return &Result{
		Scenario: options.Scenario, Deployment: options.Deployment.Name, Folder: options.Folder,
		Events: events, Report: checker.Check(events, checkerOptions(options.Deployment)),
		Usage: usage, Problems: r.problems, Took: time.Since(start),
	}, nil
}

// coldRamp is the first step of a cold replica's ramp in the configurations.
const coldRamp = 1

func checkerOptions(deployment fleet.Deployment) checker.Options {
	options := checker.Options{ColdRamp: coldRamp}
	for _, plan := range deployment.Regions {
		options.Gateways += plan.Gateways
	}
	return options
}

func (r *runner) problem(err error) {
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

func (r *runner) setLast(on target) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.last = on
}

func (r *runner) setLost(on target) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.lost = on
}

func (r *runner) lostTarget() target {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.lost
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

func (r *runner) runSteps(ctx context.Context) {
	r.setLoad(ctx, r.profile, nil)
	steps := r.scenario.Steps
	if r.scenario.Random != nil {
		steps = drawSteps(*r.scenario.Random, r.options.Seed, r.options.Deployment)
	}
	for i, step := range steps {
		if ctx.Err() != nil {
			return
		}
		if err := r.await(ctx, step); err != nil {
			r.problem(fmt.Errorf("steps[%d] (%s %s): %w", i, step.Do, step.Target, err))
		}
		if ctx.Err() != nil {
			return
		}
		r.do(ctx, i, step)
	}
	r.background.Wait()
	sleep(ctx, time.Duration(r.scenario.Tail))
}

// await waits for the step's time and condition.
func (r *runner) await(ctx context.Context, step Step) error {
	switch {
	case step.At != nil:
		sleep(ctx, time.Until(r.begun.Add(time.Duration(*step.At))))
	case step.After != nil:
		sleep(ctx, time.Duration(*step.After))
	}
	if step.When == "" {
		return nil
	}
	within := time.Duration(step.Within)
	if within == 0 {
		within = stepPatience
	}
	limited, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	begun := time.Now()
	for {
		err := r.holds(limited, step.When)
		if err == nil {
			r.progress("%s after %.1f s", step.When, time.Since(begun).Seconds())
			if step.When == WhenRepaired {
				r.fleet.LogFault(checker.FaultRepaired, checker.TargetControls, targetControls, "")
			}
			return nil
		}
		if !sleep(limited, conditionStep) {
			return fmt.Errorf("not %s within %v: %w", step.When, within, err)
		}
	}
}

var errNotYet = errors.New("not yet")

func (r *runner) holds(ctx context.Context, condition Condition) error {
	switch condition {
	case WhenReady:
		return r.fleet.CheckReady(ctx)
	case WhenRepaired:
		members, err := r.operators[0].ReadMembers(ctx)
		if err != nil {
			return err
		}
		if !members.RepairDone {
			return errNotYet
		}
		return nil
	case WhenSucceeded:
		primary, ok := r.knownPrimary(ctx)
		if !ok || primary.Name == r.lastTarget().label {
			return errNotYet
		}
		return nil
	}
	return fmt.Errorf("unknown condition %q", condition)
}

// do performs a step, beside the next ones if it says so.
func (r *runner) do(ctx context.Context, number int, step Step) {
	work := func() {
		r.progress("%6.2f s  %s %s", time.Since(r.begun).Seconds(), step.Do, step.Target)
		if err := r.perform(ctx, step); err != nil {
			r.problem(fmt.Errorf("steps[%d] (%s %s): %w", number, step.Do, step.Target, err))
		}
	}
	if !step.Background {
		work()
		return
	}
	r.background.Add(1)
	go func() {
		defer r.background.Done()
		work()
	}()
}

func (r *runner) usage() []NodeUsage {
	var list []NodeUsage
	for _, node := range append(r.fleet.Controls(), r.fleet.Gateways()...) {
		usage, err := node.Usage()
		if err != nil {
			continue
		}
		list = append(list, NodeUsage{Name: node.Name, Usage: usage, Since: time.Since(r.begun)})
	}
	return list
}
