// Command deckpulley-scale measures what the control plane costs at growing
// sizes and what relaying costs a gateway, on one machine and over the loopback
// interface alone. Real control processes stand beside hollow gateways, many to a
// process. It prints the slopes, works out the target size from them, and with
// --write puts the tables into the capacity page between its markers.
//
// It is no part of a deployment. Exit status: 0 after a whole measurement, 1
// after a failure, 2 for usage.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"time"

	"github.com/spf13/cobra"
)

const (
	exitFailure = 1
	exitUsage   = 2
	// runLimit ends a measurement that hangs.
	runLimit = 8 * time.Minute
)

// plan says what is measured.
type plan struct {
	gateways     []int // with baseReplicas replicas
	replicas     []int // with baseGateways gateways
	baseReplicas int
	baseGateways int
	streams      []int
	page         string
	// nodes asks for one size alone, with the one number in replicas.
	nodes int
}

// minimumSizes is how many sizes a line with a residual needs.
const minimumSizes = 3

func (p plan) check() error {
	if p.nodes > 0 {
		return p.checkOne()
	}
	for name, sizes := range map[string][]int{"gateways": p.gateways, "replicas": p.replicas, "streams": p.streams} {
		if len(sizes) < minimumSizes {
			return fmt.Errorf("--%s: %d sizes given, %d at least", name, len(sizes), minimumSizes)
		}
		if slices.Min(sizes) < 1 {
			return fmt.Errorf("--%s: sizes must be above zero", name)
		}
	}
	return nil
}

func (p plan) checkOne() error {
	switch {
	case len(p.replicas) != 1 || p.replicas[0] < 1:
		return errors.New("--replicas: exactly one number, above zero, goes with --nodes")
	case p.page != "":
		return errors.New("--write: one size makes no lines, leave --nodes out")
	default:
		return nil
	}
}

func main() {
	if len(os.Args) == 2 && os.Args[1] == childArgument {
		if err := serveOrders(os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, "deckpulley-scale: child:", err)
			os.Exit(exitFailure)
		}
		return
	}
	usage := true
	command := newCommand(&usage)
	if err := command.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "deckpulley-scale:", err)
		if usage {
			os.Exit(exitUsage)
		}
		os.Exit(exitFailure)
	}
}

func newCommand(usage *bool) *cobra.Command {
	var chosen plan
	command := &cobra.Command{
		Use:           "deckpulley-scale",
		Short:         "Measure the control plane at growing sizes",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(command *cobra.Command, _ []string) error {
			if err := chosen.check(); err != nil {
				return err
			}
			*usage = false
			ctx, stop := signal.NotifyContext(command.Context(), os.Interrupt)
			defer stop()
			ctx, cancel := context.WithTimeout(ctx, runLimit)
			defer cancel()
			if chosen.nodes > 0 {
				return measureOne(ctx, chosen, command.OutOrStdout())
			}
			return measureAll(ctx, chosen, command.OutOrStdout(), command.ErrOrStderr())
		},
	}
	flags := command.Flags()
	flags.IntSliceVar(&chosen.gateways, "gateways", []int{8, 25, 100, 200, targetGateways}, "numbers of hollow gateways")
	flags.IntSliceVar(&chosen.replicas, "replicas", []int{1000, 3000, 6000, targetReplicas}, "numbers of listed replicas")
	flags.IntVar(&chosen.baseReplicas, "base-replicas", 100, "listed replicas while the gateways grow")
	flags.IntVar(&chosen.baseGateways, "base-gateways", 25, "hollow gateways while the replicas grow")
	flags.IntSliceVar(&chosen.streams, "streams", []int{50, 150, 300, 600}, "numbers of streams through one real gateway")
	flags.IntVar(&chosen.nodes, "nodes", 0, "measure this one number of hollow gateways, with one number of --replicas")
	flags.StringVar(&chosen.page, "write", "", "page to put the tables into, between its markers")
	return command
}

// measureOne measures one size and sets it against the bounds.
func measureOne(ctx context.Context, chosen plan, output io.Writer) error {
	one, err := measureSize(ctx, chosen.nodes, chosen.replicas[0])
	if err != nil {
		return err
	}
	_, err = io.WriteString(output, one.againstBounds())
	return err
}

// measureAll runs the plan and reports.
func measureAll(ctx context.Context, chosen plan, output, progress io.Writer) error {
	results := measured{began: time.Now()}
	for _, gateways := range chosen.gateways {
		fmt.Fprintf(progress, "measuring %d gateways, %d replicas\n", gateways, chosen.baseReplicas)
		one, err := measureSize(ctx, gateways, chosen.baseReplicas)
		if err != nil {
			return err
		}
		results.byGateways = append(results.byGateways, one)
	}
	for _, replicas := range chosen.replicas {
		fmt.Fprintf(progress, "measuring %d gateways, %d replicas\n", chosen.baseGateways, replicas)
		one, err := measureSize(ctx, chosen.baseGateways, replicas)
		if err != nil {
			return err
		}
		results.byReplicas = append(results.byReplicas, one)
	}
	fmt.Fprintln(progress, "measuring the relaying of streams")
	var err error
	if results.relays, err = measureRelay(ctx, chosen.streams); err != nil {
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
	if chosen.page == "" {
		return nil
	}
	return writeBetweenMarkers(chosen.page, text)
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
