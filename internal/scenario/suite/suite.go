// Package suite runs fault scenarios and planted defects on a deployment, with several fleets
// in parallel, and summarizes the results as tables, records and findings. It is used by the
// program deckpulley-fleet.
package suite

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/internal/fleet"
	"github.com/deckpulley/deckpulley/internal/report"
	"github.com/deckpulley/deckpulley/internal/scenario"
)

// ErrBroken means that the runs ended without the required results.
var ErrBroken = errors.New("the run did not meet its requirements")

// Config configures runs: the deployment, the paths and the execution.
type Config struct {
	Deployment fleet.Deployment
	// Programs is the folder with the compiled programs.
	Programs string
	// Folder is the folder in which a run folder is created for each run.
	Folder string
	// Seed is the seed of the load and of the faults.
	Seed uint64
	// LogLevel is the log level of the nodes.
	LogLevel string
	// Parallel is the number of fleets that run in parallel. It must be at least 1.
	Parallel int
	// Progress receives the progress messages, one per line. It must be safe for concurrent
	// use.
	Progress io.Writer
}

// run is a single run of a scenario.
type run struct {
	scenario *scenario.Scenario
	// folder is the part of the run folder's name that identifies the run.
	folder string
	// label is the prefix of each progress message.
	label string
	// environment holds additional environment variables of the nodes, as NAME=value.
	environment []string
}

// start runs a scenario in a new run folder. Even with an error, the returned folder is valid
// unless it is empty.
func (c Config) start(ctx context.Context, run run) (result *scenario.Result, folder string, err error) {
	folder, err = c.runFolder(run.folder)
	if err != nil {
		return nil, "", err
	}
	result, err = scenario.Run(ctx, scenario.Options{
		Scenario: run.scenario, Deployment: c.Deployment, Programs: c.Programs, Folder: folder,
		Seed: c.Seed, LogLevel: c.LogLevel, Environment: run.environment,
		Progress: func(format string, arguments ...any) {
			fmt.Fprintf(c.Progress, "%s%s\n", run.label, fmt.Sprintf(format, arguments...))
		},
	})
	return result, folder, err
}

// runFolder returns the absolute path of a new folder for one run.
func (c Config) runFolder(name string) (string, error) {
	timestamp := time.Now().Format("20060102-150405")
	folder := fmt.Sprintf("%s-%s-%s-%d", timestamp, c.Deployment.Name, name, os.Getpid())
	path, err := filepath.Abs(filepath.Join(c.Folder, folder))
	if err != nil {
		return "", fmt.Errorf("determining the path of the run folder: %w", err)
	}
	return path, nil
}

// progressLabel pads the name of a run so that the progress messages of parallel runs are aligned.
func progressLabel(name string) string { return fmt.Sprintf("%-22s ", name) }

// forEach calls work with each index from 0 to count-1. It starts the calls in order, on up to
// parallel goroutines, and waits for all of them.
func forEach(parallel, count int, work func(index int)) {
	indexes := make(chan int)
	var workers sync.WaitGroup
	for range min(parallel, count) {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for index := range indexes {
				work(index)
			}
		}()
	}
	for index := range count {
		indexes <- index
	}
	close(indexes)
	workers.Wait()
}

// writePage writes the HTML report of a run into its folder and returns its path.
func writePage(result *scenario.Result, summary *report.Summary) (string, error) {
	path := filepath.Join(result.Folder, "report.html")
	file, err := os.Create(path)
	if err != nil {
		return "", fmt.Errorf("writing the report: %w", err)
	}
	defer file.Close()
	var problems []string
	for _, problem := range result.Problems {
		problems = append(problems, problem.Error())
	}
	err = report.WritePage(file, report.Page{
		Title: fmt.Sprintf("%s: %s", result.Deployment, result.Scenario.Name),
		About: result.Scenario.About, Summary: summary, Report: result.Report, Problems: problems,
	})
	return path, err
}
