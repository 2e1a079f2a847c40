package scenario

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/deckpulley/deckpulley/internal/checker"
	"github.com/deckpulley/deckpulley/internal/eventlog"
	"github.com/deckpulley/deckpulley/internal/fleet"
	"github.com/deckpulley/deckpulley/internal/fleet/process"
)

// Options describe a run.
type Options struct {
	Scenario   *Scenario
	Deployment fleet.Deployment
	// Programs is the folder of the built programs.
	Programs string
	// Folder is the run folder. It must be new or empty.
	Folder string
	// Seed is that of load and faults.
	Seed uint64
	// LogLevel is the level of the daemons' logs.
	LogLevel string
	// Environment is added to that of the daemons, as NAME=value.
	Environment []string
	// Progress receives one line for each step, without a newline; nil discards them.
	Progress func(format string, arguments ...any)
}

// NodeUsage is what the process of a node used.
type NodeUsage struct {
	Name  string
	Usage process.Usage
	// Since is the time from the start of the load to the reading.
	Since time.Duration
}

// Result is the result of a run that came to its end.
type Result struct {
	Scenario   *Scenario
	Deployment string
	Folder     string
	// Events are those of all event logs, ordered by their timestamps.
	Events []eventlog.Event
	Report checker.Report
	// Usage lists the nodes that ran at the end of the steps.
	Usage []NodeUsage
	// Problems are the errors of steps that could not be done.
	Problems []error
	Took     time.Duration
}

// Unexercised returns the promises that the scenario must exercise and did not.
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

// Good reports whether the run broke no promise, did all its steps and exercised all
// promises that it must.
func (r *Result) Good() bool {
	return !r.Report.Broken() && len(r.Problems) == 0 && len(r.Unexercised()) == 0
}

// Run runs one scenario on a fleet of its own and checks it. An error means that the
// run did not come to its end; Result.Problems has the errors of steps.
func Run(ctx context.Context, options Options) (*Result, error) {
	if options.Progress == nil {
		options.Progress = func(string, ...any) {}
	}
	start := time.Now()
	opened, err := openSession(ctx, options)
	if err != nil {
		return nil, fmt.Errorf("scenario %s: %w", options.Scenario.Name, err)
	}
	r := newRunner(opened)
	r.runSteps(ctx)
	usage := r.usage()
	if ctx.Err() != nil {
		return nil, fmt.Errorf("scenario %s: %w", options.Scenario.Name, errors.Join(ctx.Err(), r.abort()))
	}
	r.finish(ctx)
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

// abort ends a run whose context has ended. The fleet ends first, so that requests in
// flight end at once.
func (r *runner) abort() error {
	err := r.fleet.Close()
	r.endLoad()
	return errors.Join(err, r.close())
}

// finish ends the load, reads the state back, and then ends the fleet.
func (r *runner) finish(ctx context.Context) {
	r.endLoad()
	if err := r.read(ctx); err != nil {
		r.addProblem(fmt.Errorf("reading back at the end: %w", err))
	}
	if err := r.close(); err != nil {
		r.addProblem(fmt.Errorf("ending the fleet: %w", err))
	}
}

// slowStartLimit is the first limit of a cold replica in the example configurations, in
// requests.
const slowStartLimit = 1

func checkerOptions(deployment fleet.Deployment) checker.Options {
	options := checker.Options{SlowStartLimit: slowStartLimit}
	for _, plan := range deployment.Regions {
		options.Gateways += plan.Gateways
	}
	return options
}

// usage reads the usage of the nodes that run.
func (r *runner) usage() []NodeUsage {
	var list []NodeUsage
	for _, node := range r.fleet.Nodes() {
		usage, err := node.Usage()
		if err != nil {
			continue
		}
		list = append(list, NodeUsage{Name: node.Name, Usage: usage, Since: time.Since(r.loadStart)})
	}
	return list
}
