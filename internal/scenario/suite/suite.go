// Package suite runs fault scenarios and planted defects on one deployment, several
// fleets side by side, and condenses what they measured into tables, records and
// findings. The program deckpulley-fleet reads flags and calls it.
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

// ErrBroken means that runs came to their end and did not keep what they should.
var ErrBroken = errors.New("the run did not keep what it should")

// Config says on what, from where and how runs are made.
type Config struct {
	Deployment fleet.Deployment
	// Programs is the folder of the built programs.
	Programs string
	// Folder receives one run folder for each run.
	Folder string
	// Seed is that of load and faults.
	Seed uint64
	// LogLevel is the level of the daemons' logs.
	LogLevel string
	// Parallel is the number of fleets side by side, at least 1.
	Parallel int
	// Progress takes one line for each step. It must be safe for concurrent use.
	Progress io.Writer
}

// run is one scenario to run under a configuration.
type run struct {
	scenario *scenario.Scenario
	// folder is the name of the run in that of its folder.
	folder string
	// label begins each line of progress.
	label string
	// environment is added to that of the daemons, as NAME=value.
	environment []string
}

// start runs a scenario in a run folder of its own. The path of the folder is valid
// also with an error, unless it is empty.
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
		return "", fmt.Errorf("naming the run folder: %w", err)
	}
	return path, nil
}

// labelOf pads the name of a run so that the lines of several align.
func labelOf(name string) string { return fmt.Sprintf("%-22s ", name) }

// forEach calls work with each index below count, in order, on up to parallel
// goroutines, and returns once all calls have.
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
