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

// Options configures a run.
type Options struct {
	Scenario   *Scenario
	Deployment fleet.Deployment
	// Programs is the folder with the compiled programs.
	Programs string
	// Folder is the run folder. It must be new or empty.
	Folder string
	// Seed is the seed of the load and of the faults.
	Seed uint64
	// LogLevel is the log level of the nodes.
	LogLevel string
	// Environment holds additional environment variables of the nodes, as NAME=value.
	Environment []string
	// Progress receives progress messages without a trailing newline. If it is nil, they are
	// discarded.
	Progress func(format string, arguments ...any)
}

// NodeUsage is the resource usage of a node's process.
type NodeUsage struct {
	Name  string
	Usage process.Usage
	// Since is the time from the start of the load to the measurement.
	Since time.Duration
}

// Result is the result of a completed run.
type Result struct {
	Scenario   *Scenario
	Deployment string
	Folder     string
	// Events holds the events of all event logs, ordered by timestamp.
	Events []eventlog.Event
	Report checker.Report
	// Usage holds the usage of the nodes that were running after the last step.
	Usage []NodeUsage
	// Problems holds the errors of failed steps and of the end of the run.
	Problems []error
	Took     time.Duration
}

// Unexercised returns the promises that the scenario must exercise but did not.
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

// Good reports whether the run broke no promise, had no failed step and exercised all required
// promises.
func (r *Result) Good() bool {
	return !r.Report.Broken() && len(r.Problems) == 0 && len(r.Unexercised()) == 0
}

// Run runs a scenario on a new fleet and checks the event logs. An error means that the run was
// not completed. The errors of individual steps are in Result.Problems.
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

// abort ends a run whose context has ended. It closes the fleet first, so that requests in
// flight end immediately.
func (r *runner) abort() error {
	err := r.fleet.Close()
	r.endLoad()
	return errors.Join(err, r.close())
}

// finish ends the load, reads the state back and closes the fleet.
func (r *runner) finish(ctx context.Context) {
	r.endLoad()
	if err := r.read(ctx); err != nil {
		r.addProblem(fmt.Errorf("reading the state back after the load: %w", err))
	}
	if err := r.close(); err != nil {
		r.addProblem(fmt.Errorf("closing the fleet: %w", err))
	}
}

// slowStartLimit is the initial limit of concurrent requests of a cold replica in the example
// configurations.
const slowStartLimit = 1

func checkerOptions(deployment fleet.Deployment) checker.Options {
	options := checker.Options{SlowStartLimit: slowStartLimit}
	for _, plan := range deployment.Regions {
		options.Gateways += plan.Gateways
	}
	return options
}

// usage reads the usage of the running nodes.
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
