package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/deckpulley/deckpulley/internal/fleet"
	"github.com/deckpulley/deckpulley/internal/results"
	"github.com/deckpulley/deckpulley/internal/scenario/suite"
)

// Default and maximum number of fleets that run in parallel.
const (
	defaultParallel = 3
	maximumParallel = 6
)

// usageError marks an error as a usage error.
type usageError struct{ error }

// Unwrap returns the wrapped error.
func (e usageError) Unwrap() error { return e.error }

// runFlags contains the flags of every command that runs fleets.
type runFlags struct {
	deployment    string
	programFolder string
	outputFolder  string
	seed          uint64
	logLevel      string
}

func (f *runFlags) register(command *cobra.Command) {
	flags := command.Flags()
	flags.StringVar(&f.deployment, "deployment", "kodovka", fmt.Sprintf("deployment to run, one of %v", fleet.Deployments()))
	flags.StringVar(&f.programFolder, "programs", programFolder(), "folder with the built programs")
	flags.StringVar(&f.outputFolder, "out", "out", "folder in which to create a folder for each run")
	flags.Uint64Var(&f.seed, "seed", 1, "seed of the load and the faults")
	flags.StringVar(&f.logLevel, "log-level", "info", "log level of the daemons")
}

// programFolder returns the folder that contains this executable.
func programFolder() string {
	path, err := os.Executable()
	if err != nil {
		return "bin"
	}
	return filepath.Dir(path)
}

// config returns a configuration that runs one fleet at a time.
func (f *runFlags) config() (suite.Config, error) {
	deployment, err := fleet.LoadDeployment(f.deployment)
	if err != nil {
		return suite.Config{}, usageError{err}
	}
	return suite.Config{
		Deployment: deployment, Programs: f.programFolder, Folder: f.outputFolder, Seed: f.seed, LogLevel: f.logLevel,
		Parallel: 1, Progress: os.Stderr,
	}, nil
}

// suiteFlags contains the flags of the commands that run a suite.
type suiteFlags struct {
	runFlags
	names    []string
	parallel int
	record   recordFlags
}

func (f *suiteFlags) register(command *cobra.Command, selector string) {
	f.runFlags.register(command)
	flags := command.Flags()
	flags.StringSliceVar(&f.names, selector, nil, "run only the named ones")
	flags.IntVar(&f.parallel, "parallel", defaultParallel, "number of fleets to run in parallel")
	f.record.register(command)
}

func (f *suiteFlags) validate() error {
	if f.parallel < 1 || f.parallel > maximumParallel {
		return usageError{fmt.Errorf("invalid value for --parallel: must be from 1 to %d", maximumParallel)}
	}
	return nil
}

// config returns a configuration that runs several fleets in parallel.
func (f *suiteFlags) config() (suite.Config, error) {
	config, err := f.runFlags.config()
	config.Parallel = f.parallel
	return config, err
}

// recordFlags contains the flags of the commands that store a record of their run.
type recordFlags struct {
	path   string
	commit string
}

func (f *recordFlags) register(command *cobra.Command) {
	flags := command.Flags()
	flags.StringVar(&f.path, "record", "", "file to store a record of the run in, for the results command")
	flags.StringVar(&f.commit, "commit", "", "commit to store in the record, instead of the one that the program was built from")
}

// newRecord returns a new record of this run with the current time as its start.
func (f *recordFlags) newRecord(kind results.Kind, deployment string) results.Record {
	build := results.CurrentBuild()
	if f.commit != "" {
		build = results.Build{Commit: f.commit}
	}
	return results.Record{
		Kind: kind, Deployment: deployment, Command: strings.Join(os.Args, " "),
		Build: build, Machine: results.CurrentMachine(), Began: time.Now(),
	}
}

// save sets the duration of a record and stores it, if --record is set.
func (f *recordFlags) save(record results.Record) error {
	if f.path == "" {
		return nil
	}
	record.Seconds = time.Since(record.Began).Seconds()
	return results.Save(f.path, record)
}
