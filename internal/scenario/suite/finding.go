package suite

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/deckpulley/deckpulley/internal/results"
)

// findingFile is the name of the file that is written into the run folder of a scenario that
// was not good, next to the process logs and event logs.
const findingFile = "finding.txt"

// WriteFindings writes a finding for each scenario that was not good. The parameter build
// identifies the source of the programs.
func (f *Faults) WriteFindings(out io.Writer, build results.Build) error {
	for _, done := range f.outcomes {
		if done.good() || done.folder == "" {
			continue
		}
		if err := f.config.writeFinding(done, build); err != nil {
			return err
		}
		fmt.Fprintf(out, "%s: seed %d, logs and %s in %s\n", done.scenario.Name, f.config.Seed, findingFile, done.folder)
	}
	return nil
}

// writeFinding stores the information that is needed to investigate a scenario that was not
// good: source, seed, machine, cause, and the command that repeats the run.
func (c Config) writeFinding(done outcome, build results.Build) error {
	name := done.scenario.Name
	lines := []string{
		"scenario: " + name,
		"deployment: " + c.Deployment.Name,
		fmt.Sprintf("seed: %d", c.Seed),
		"commit: " + build.Commit,
		fmt.Sprintf("machine: %+v", results.CurrentMachine()),
		fmt.Sprintf("again: deckpulley-fleet faults --deployment %s --scenario %s --seed %d", c.Deployment.Name, name, c.Seed),
		done.reason(),
	}
	if done.result != nil {
		for _, problem := range done.result.Problems {
			lines = append(lines, "problem: "+problem.Error())
		}
	}
	path := filepath.Join(done.folder, findingFile)
	if err := os.MkdirAll(done.folder, 0o755); err != nil {
		return fmt.Errorf("writing the finding: %w", err)
	}
	if err := os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o644); err != nil {
		return fmt.Errorf("writing the finding: %w", err)
	}
	return nil
}
