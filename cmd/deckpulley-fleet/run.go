package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/deckpulley/deckpulley/internal/scenario/suite"
)

const (
	// minimumSeconds leaves time for an evacuation to be judged.
	minimumSeconds = 16
	maximumSeconds = 3600
	defaultSeconds = 20
	// defaultLeastSuccess is the smallest ratio of requests that must succeed.
	defaultLeastSuccess = 0.995
	// runOverhead bounds the time for start, end and check.
	runOverhead = 3 * time.Minute
)

func newRunCommand() *cobra.Command {
	var flags runFlags
	var seconds int
	var leastSuccess float64
	command := &cobra.Command{
		Use:   "run",
		Short: "Run the ordinary path: load, a configuration, an evacuation and its withdrawal",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if seconds < minimumSeconds || seconds > maximumSeconds {
				return invalidError{fmt.Errorf("--seconds: must be from %d to %d", minimumSeconds, maximumSeconds)}
			}
			if leastSuccess < 0 || leastSuccess > 1 {
				return invalidError{errors.New("--least-success: must be from 0 to 1")}
			}
			length := time.Duration(seconds) * time.Second
			ctx, cancel := context.WithTimeout(command.Context(), length+runOverhead)
			defer cancel()
			config, err := flags.config()
			if err != nil {
				return err
			}
			return suite.RunOrdinary(ctx, command.OutOrStdout(), config, length, leastSuccess)
		},
	}
	flags.register(command)
	command.Flags().IntVar(&seconds, "seconds", defaultSeconds, "time under load")
	command.Flags().Float64Var(&leastSuccess, "least-success", defaultLeastSuccess, "least part of the requests that must succeed; promises are judged in any case")
	return command
}
