package suite

import (
	"fmt"
	"io"
	"os"
	"slices"
	"sort"
	"strings"
	"text/tabwriter"

	"github.com/deckpulley/deckpulley/internal/scenario"
	"github.com/deckpulley/deckpulley/scenarios"
)

// Selection determines which scenarios to run.
type Selection struct {
	// Folder is a folder of scenario files. If it is empty, the shipped scenarios are used.
	Folder string
	// Names lists the scenarios to run. If it is empty, all are run.
	Names []string
	// Short excludes scenarios that are not in the short suite.
	Short bool
}

// Partial reports whether the selection may exclude scenarios.
func (s Selection) Partial() bool { return s.Short || len(s.Names) > 0 }

// Load reads the selected scenarios and sorts them by descending length, so that parallel
// workers finish at about the same time.
func (s Selection) Load() ([]*scenario.Scenario, error) {
	all, err := loadScenarios(s.Folder)
	if err != nil {
		return nil, err
	}
	var selected []*scenario.Scenario
	for _, candidate := range all {
		if s.includes(candidate) {
			selected = append(selected, candidate)
		}
	}
	for _, name := range s.Names {
		if !slices.ContainsFunc(selected, func(found *scenario.Scenario) bool { return found.Name == name }) {
			return nil, fmt.Errorf("--scenario: no scenario %q to run; deckpulley-fleet list names them", name)
		}
	}
	sort.SliceStable(selected, func(i, j int) bool { return selected[i].Length() > selected[j].Length() })
	return selected, nil
}

func (s Selection) includes(candidate *scenario.Scenario) bool {
	named := len(s.Names) == 0 || slices.Contains(s.Names, candidate.Name)
	return named && (candidate.Short || !s.Short)
}

func loadScenarios(folder string) ([]*scenario.Scenario, error) {
	if folder != "" {
		return scenario.LoadAll(os.DirFS(folder))
	}
	return scenario.LoadAll(scenarios.Files)
}

// WriteList writes a table with one row per shipped scenario.
func WriteList(out io.Writer) error {
	list, err := loadScenarios("")
	if err != nil {
		return err
	}
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	for _, shipped := range list {
		suite := ""
		if shipped.Short {
			suite = "short"
		}
		fmt.Fprintf(table, "%s\t%s\t%.0f s\t%s\t%s\n", shipped.Name, suite, shipped.Length().Seconds(),
			strings.Join(shipped.Promises, " "), shipped.About)
	}
	return table.Flush()
}
