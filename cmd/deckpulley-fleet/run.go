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
	// minimumSeconds is long enough to check an evacuation.
	minimumSeconds = 16
	maximumSeconds = 3600
	defaultSeconds = 20
	// defaultMinSuccessRatio is the default minimum ratio of successful requests.
	defaultMinSuccessRatio = 0.995
	// runOverhead bounds the time for starting, stopping and checking the fleet.
	runOverhead = 3 * time.Minute
)

func newRunCommand() *cobra.Command {
	var flags runFlags
	var seconds int
	var minSuccessRatio float64
	command := &cobra.Command{
		Use:   "run",
		Short: "Run the ordinary path: load, a configuration change, an evacuation and its withdrawal",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if seconds < minimumSeconds || seconds > maximumSeconds {
				return usageError{fmt.Errorf("invalid value for --seconds: must be from %d to %d", minimumSeconds, maximumSeconds)}
			}
			if minSuccessRatio < 0 || minSuccessRatio > 1 {
				return usageError{errors.New("invalid value for --least-success: must be from 0 to 1")}
			}
			duration := time.Duration(seconds) * time.Second
			ctx, cancel := context.WithTimeout(command.Context(), duration+runOverhead)
			defer cancel()
			config, err := flags.config()
			if err != nil {
				return err
			}
			return suite.RunOrdinary(ctx, command.OutOrStdout(), config, duration, minSuccessRatio)
		},
	}
	flags.register(command)
	command.Flags().IntVar(&seconds, "seconds", defaultSeconds, "duration of the load, in seconds")
	command.Flags().Float64Var(&minSuccessRatio, "least-success", defaultMinSuccessRatio, "minimum ratio of requests that must succeed, from 0 to 1; promises are checked regardless of it")
	return command
}
