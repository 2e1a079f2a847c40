package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/deckpulley/deckpulley/internal/results"
)

// findingFile is what a scenario that was not good leaves in its run folder, beside
// the logs of its processes and events.
const findingFile = "finding.txt"

// keepFindings writes a finding for each scenario that was not good.
func keepFindings(out io.Writer, outcomes []outcome, flags common, build results.Build) error {
	for _, of := range outcomes {
		if of.good() || of.folder == "" {
			continue
		}
		if err := writeFinding(of, flags, build); err != nil {
			return err
		}
		fmt.Fprintf(out, "%s: seed %d, logs and %s in %s\n", of.scenario.Name, flags.seed, findingFile, of.folder)
	}
	return nil
}

// writeFinding keeps what is needed to look into a scenario that was not good: which
// sources, seed and machine, what was broken, and how to play it again.
func writeFinding(of outcome, flags common, build results.Build) error {
	machine := results.CurrentMachine()
	lines := []string{
		"scenario: " + of.scenario.Name,
		"deployment: " + flags.deployment,
		fmt.Sprintf("seed: %d", flags.seed),
		"commit: " + build.Commit,
		fmt.Sprintf("machine: %+v", machine),
		fmt.Sprintf("again: deckpulley-fleet faults --deployment %s --scenario %s --seed %d", flags.deployment, of.scenario.Name, flags.seed),
	}
	lines = append(lines, badScenarios([]outcome{of})...)
	if of.result != nil {
		for _, problem := range of.result.Problems {
			lines = append(lines, "problem: "+problem.Error())
		}
	}
	path := filepath.Join(of.folder, findingFile)
	if err := os.MkdirAll(of.folder, 0o755); err != nil {
		return fmt.Errorf("keeping a finding: %w", err)
	}
	if err := os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o644); err != nil {
		return fmt.Errorf("keeping a finding: %w", err)
	}
	return nil
}
