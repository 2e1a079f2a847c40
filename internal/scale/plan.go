// Package scale measures the cost of the control plane at increasing sizes, and the cost
// of relaying streams at a gateway, on one machine over the loopback interface. Each
// control node is a complete one in a process of its own. The gateways are hollow (see
// package hollow), many in one process. The package fits lines to the figures and
// extrapolates them to the target size. It is not part of a deployment.
package scale

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"
)

// Plan defines the sizes to measure.
type Plan struct {
	// Gateways lists numbers of gateways, each measured with BaseReplicas replicas.
	Gateways     []int
	BaseReplicas int
	// Replicas lists numbers of replicas, each measured with BaseGateways gateways.
	Replicas     []int
	BaseGateways int
	// Streams lists numbers of concurrent streams through one complete gateway.
	Streams []int
	// Page is a file in which the tables between the markers are replaced. If it is
	// empty, no file is changed.
	Page string
	// Nodes, if above zero, selects the measurement of a single size: this number of
	// gateways, with the only number in Replicas.
	Nodes int
}

// DefaultPlan returns the plan of a complete measurement with sizes up to the target
// size.
func DefaultPlan() Plan {
	return Plan{
		Gateways:     []int{8, 25, 100, 200, targetGateways},
		Replicas:     []int{1000, 3000, 6000, targetReplicas},
		BaseReplicas: 100,
		BaseGateways: 25,
		Streams:      []int{50, 150, 300, 600},
	}
}

// minimumSizes is the smallest number of points at which a fitted line has a residual;
// a line through two points always fits exactly.
const minimumSizes = 3

// Check validates the plan. Its error names the command-line flag of an invalid field.
func (p Plan) Check() error {
	if p.Nodes > 0 {
		return p.checkSingleSize()
	}
	for name, sizes := range map[string][]int{"gateways": p.Gateways, "replicas": p.Replicas, "streams": p.Streams} {
		if len(sizes) < minimumSizes {
			return fmt.Errorf("--%s: got %d sizes, need at least %d", name, len(sizes), minimumSizes)
		}
		if slices.Min(sizes) < 1 {
			return fmt.Errorf("--%s: sizes must be above zero", name)
		}
	}
	return nil
}

func (p Plan) checkSingleSize() error {
	switch {
	case len(p.Replicas) != 1 || p.Replicas[0] < 1:
		return errors.New("--replicas: must be exactly one number above zero if --nodes is set")
	case p.Page != "":
		return errors.New("--write: cannot be combined with --nodes, since lines cannot be fitted to a single size")
	default:
		return nil
	}
}

// Run runs the measurements of the plan. It writes the tables to output and progress
// messages to progress.
func (p Plan) Run(ctx context.Context, output, progress io.Writer) error {
	if p.Nodes > 0 {
		return p.measureSingleSize(ctx, output)
	}
	return p.measureAll(ctx, output, progress)
}

// measureSingleSize measures a single size and writes a comparison with the bounds of the
// target size.
func (p Plan) measureSingleSize(ctx context.Context, output io.Writer) error {
	size, err := measureSize(ctx, p.Nodes, p.Replicas[0])
	if err != nil {
		return err
	}
	_, err = io.WriteString(output, size.compareWithBounds())
	return err
}

// measureAll measures every size of the plan, writes the tables to output and replaces
// those in the page, if one is set.
func (p Plan) measureAll(ctx context.Context, output, progress io.Writer) error {
	report := capacityReport{started: time.Now()}
	for _, gateways := range p.Gateways {
		fmt.Fprintf(progress, "measuring %d gateways, %d replicas\n", gateways, p.BaseReplicas)
		size, err := measureSize(ctx, gateways, p.BaseReplicas)
		if err != nil {
			return err
		}
		report.byGateways = append(report.byGateways, size)
	}
	for _, replicas := range p.Replicas {
		fmt.Fprintf(progress, "measuring %d gateways, %d replicas\n", p.BaseGateways, replicas)
		size, err := measureSize(ctx, p.BaseGateways, replicas)
		if err != nil {
			return err
		}
		report.byReplicas = append(report.byReplicas, size)
	}
	fmt.Fprintln(progress, "measuring stream relaying")
	var err error
	if report.relays, err = measureRelay(ctx, p.Streams); err != nil {
		return err
	}
	if report.poll, err = measurePoll(ctx); err != nil {
		return err
	}
	report.elapsed = time.Since(report.started)
	text := report.tables()
	if _, err := io.WriteString(output, text); err != nil {
		return err
	}
	if p.Page == "" {
		return nil
	}
	return writeBetweenMarkers(p.Page, text)
}
