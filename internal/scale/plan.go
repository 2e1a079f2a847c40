// Package scale measures the cost of the control plane at growing sizes, and that of
// relaying streams at a gateway, on one machine over the loopback interface. The
// control nodes are real, one a process; the gateways are hollow, many a process. It
// fits lines to the figures and extrapolates them to the target size. It is no part
// of a deployment.
package scale

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"
)

// Plan says which sizes are measured.
type Plan struct {
	// Gateways lists numbers of gateways, each measured with BaseReplicas replicas.
	Gateways     []int
	BaseReplicas int
	// Replicas lists numbers of replicas, each measured with BaseGateways gateways.
	Replicas     []int
	BaseGateways int
	// Streams lists numbers of streams through one real gateway.
	Streams []int
	// Page is a file whose tables, between its markers, are replaced; empty for none.
	Page string
	// Nodes, if above zero, is the only number of gateways to measure, with the only
	// number in Replicas.
	Nodes int
}

// DefaultPlan returns the plan of a complete measurement, up to the target size.
func DefaultPlan() Plan {
	return Plan{
		Gateways:     []int{8, 25, 100, 200, targetGateways},
		Replicas:     []int{1000, 3000, 6000, targetReplicas},
		BaseReplicas: 100,
		BaseGateways: 25,
		Streams:      []int{50, 150, 300, 600},
	}
}

// minimumSizes is the number of points from which a fitted line has a residual.
const minimumSizes = 3

// Check returns an error that names the flag of the first invalid field.
func (p Plan) Check() error {
	if p.Nodes > 0 {
		return p.checkOne()
	}
	for name, sizes := range map[string][]int{"gateways": p.Gateways, "replicas": p.Replicas, "streams": p.Streams} {
		if len(sizes) < minimumSizes {
			return fmt.Errorf("--%s: %d sizes given, %d at least", name, len(sizes), minimumSizes)
		}
		if slices.Min(sizes) < 1 {
			return fmt.Errorf("--%s: sizes must be above zero", name)
		}
	}
	return nil
}

func (p Plan) checkOne() error {
	switch {
	case len(p.Replicas) != 1 || p.Replicas[0] < 1:
		return errors.New("--replicas: exactly one number, above zero, goes with --nodes")
	case p.Page != "":
		return errors.New("--write: one size makes no lines, leave --nodes out")
	default:
		return nil
	}
}

// Run runs the plan. It writes the tables to output and its progress to progress.
func (p Plan) Run(ctx context.Context, output, progress io.Writer) error {
	if p.Nodes > 0 {
		return p.measureOne(ctx, output)
	}
	return p.measureAll(ctx, output, progress)
}

// measureOne measures one size and compares it with the bounds of the target.
func (p Plan) measureOne(ctx context.Context, output io.Writer) error {
	size, err := measureSize(ctx, p.Nodes, p.Replicas[0])
	if err != nil {
		return err
	}
	_, err = io.WriteString(output, size.againstBounds())
	return err
}

// measureAll measures every size of the plan, prints the tables and replaces those
// of the page.
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
	fmt.Fprintln(progress, "measuring the relaying of streams")
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
