// Package scale measures what the control plane costs at growing sizes and what
// relaying costs a gateway, on one machine and over the loopback interface alone.
// Real control processes stand beside hollow gateways, many to a process. From the
// slopes it works out the target size. No deployment runs it.
package scale

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"
)

// Plan says what is measured.
type Plan struct {
	Gateways     []int // with BaseReplicas replicas
	Replicas     []int // with BaseGateways gateways
	BaseReplicas int
	BaseGateways int
	Streams      []int
	// Page is a file whose tables, between its markers, are replaced; empty for none.
	Page string
	// Nodes asks for one size alone, with the one number in Replicas.
	Nodes int
}

// DefaultPlan is a whole measurement.
func DefaultPlan() Plan {
	return Plan{
		Gateways:     []int{8, 25, 100, 200, targetGateways},
		Replicas:     []int{1000, 3000, 6000, targetReplicas},
		BaseReplicas: 100,
		BaseGateways: 25,
		Streams:      []int{50, 150, 300, 600},
	}
}

// minimumSizes is how many sizes a line with a residual needs.
const minimumSizes = 3

// Check says what is wrong with a plan.
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

// Run measures and writes the tables to output, and its progress beside them.
func (p Plan) Run(ctx context.Context, output, progress io.Writer) error {
	if p.Nodes > 0 {
		return p.measureOne(ctx, output)
	}
	return p.measureAll(ctx, output, progress)
}

// measureOne measures one size and sets it against the bounds.
func (p Plan) measureOne(ctx context.Context, output io.Writer) error {
	one, err := measureSize(ctx, p.Nodes, p.Replicas[0])
	if err != nil {
		return err
	}
	_, err = io.WriteString(output, one.againstBounds())
	return err
}

// measureAll runs the whole plan and reports.
func (p Plan) measureAll(ctx context.Context, output, progress io.Writer) error {
	results := measured{began: time.Now()}
	for _, gateways := range p.Gateways {
		fmt.Fprintf(progress, "measuring %d gateways, %d replicas\n", gateways, p.BaseReplicas)
		one, err := measureSize(ctx, gateways, p.BaseReplicas)
		if err != nil {
			return err
		}
		results.byGateways = append(results.byGateways, one)
	}
	for _, replicas := range p.Replicas {
		fmt.Fprintf(progress, "measuring %d gateways, %d replicas\n", p.BaseGateways, replicas)
		one, err := measureSize(ctx, p.BaseGateways, replicas)
		if err != nil {
			return err
		}
		results.byReplicas = append(results.byReplicas, one)
	}
	fmt.Fprintln(progress, "measuring the relaying of streams")
	var err error
	if results.relays, err = measureRelay(ctx, p.Streams); err != nil {
		return err
	}
	if results.poll, err = measurePoll(ctx); err != nil {
		return err
	}
	results.took = time.Since(results.began)
	text := results.tables()
	if _, err := io.WriteString(output, text); err != nil {
		return err
	}
	if p.Page == "" {
		return nil
	}
	return writeBetweenMarkers(p.Page, text)
}

// drain sends a request and reads the whole answer.
func drain(caller *http.Client, request *http.Request) error {
	response, err := caller.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}
