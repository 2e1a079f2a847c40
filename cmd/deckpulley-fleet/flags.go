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

// Bounds of the number of fleets side by side.
const (
	defaultParallel = 3
	maximumParallel = 6
)

// invalidError marks wrong flags.
type invalidError struct{ error }

// Unwrap returns the reason.
func (e invalidError) Unwrap() error { return e.error }

// runFlags are the flags of every command that runs fleets.
type runFlags struct {
	deployment string
	programs   string
	folder     string
	seed       uint64
	logLevel   string
}

func (f *runFlags) register(command *cobra.Command) {
	flags := command.Flags()
	flags.StringVar(&f.deployment, "deployment", "kodovka", fmt.Sprintf("one of %v", fleet.Deployments()))
	flags.StringVar(&f.programs, "programs", programFolder(), "folder of the built programs")
	flags.StringVar(&f.folder, "out", "out", "folder for run folders")
	flags.Uint64Var(&f.seed, "seed", 1, "seed of load and faults")
	flags.StringVar(&f.logLevel, "log-level", "info", "level of the daemons' logs")
}

// programFolder returns the folder of this program.
func programFolder() string {
	path, err := os.Executable()
	if err != nil {
		return "bin"
	}
	return filepath.Dir(path)
}

// config returns the configuration of runs with one fleet at a time.
func (f *runFlags) config() (suite.Config, error) {
	deployment, err := fleet.LoadDeployment(f.deployment)
	if err != nil {
		return suite.Config{}, invalidError{err}
	}
	return suite.Config{
		Deployment: deployment, Programs: f.programs, Folder: f.folder, Seed: f.seed, LogLevel: f.logLevel,
		Parallel: 1, Progress: os.Stderr,
	}, nil
}

// suiteFlags are the flags of the commands that run a suite.
type suiteFlags struct {
	runFlags
	names    []string
	parallel int
	record   recordFlags
}

func (f *suiteFlags) register(command *cobra.Command, selector string) {
	f.runFlags.register(command)
	flags := command.Flags()
	flags.StringSliceVar(&f.names, selector, nil, "run these alone")
	flags.IntVar(&f.parallel, "parallel", defaultParallel, "fleets side by side")
	f.record.register(command)
}

func (f *suiteFlags) validate() error {
	if f.parallel < 1 || f.parallel > maximumParallel {
		return invalidError{fmt.Errorf("--parallel: must be from 1 to %d", maximumParallel)}
	}
	return nil
}

// config returns the configuration of runs with several fleets side by side.
func (f *suiteFlags) config() (suite.Config, error) {
	config, err := f.runFlags.config()
	config.Parallel = f.parallel
	return config, err
}

// recordFlags are the flags of the commands that store a record of their run.
type recordFlags struct {
	path   string
	commit string
}

func (f *recordFlags) register(command *cobra.Command) {
	flags := command.Flags()
	flags.StringVar(&f.path, "record", "", "file that keeps the result for the page of results")
	flags.StringVar(&f.commit, "commit", "", "commit to record, if the program was built without it")
}

// begin returns a record of this run, which begins now.
func (f *recordFlags) begin(kind results.Kind, deployment string) results.Record {
	build := results.CurrentBuild()
	if f.commit != "" {
		build = results.Build{Commit: f.commit}
	}
	return results.Record{
		Kind: kind, Deployment: deployment, Command: strings.Join(os.Args, " "),
		Build: build, Machine: results.CurrentMachine(), Began: time.Now(),
	}
}

// save completes a record and stores it, if a file was named.
func (f *recordFlags) save(record results.Record) error {
	if f.path == "" {
		return nil
	}
	record.Seconds = time.Since(record.Began).Seconds()
	return results.Save(f.path, record)
}
