// Command deckpulley-soak plays seeded schedules of overlapping disturbances on real processes
// of deckpulley-platform and judges what comes of them. It is not part of a deployment.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/deckpulley/deckpulley/internal/soak"
	"github.com/deckpulley/deckpulley/internal/soak/platform"
	standin "github.com/deckpulley/deckpulley/internal/standin/platform"
)

const (
	defaultLength   = 20 * time.Second
	defaultGateways = 4
)

// errFindings makes the program exit with status 1.
var errFindings = errors.New("a rule was broken")

// errNoFinding means that a schedule that is to be shrunk broke no rule.
var errNoFinding = errors.New("no rule was broken")

// options are the command-line flags.
type options struct {
	seed     uint64
	seeds    int
	length   time.Duration
	gateways int
	program  string
	folder   string
	race     bool
	// passKnown lets runs pass that show known failures alone.
	passKnown bool
}

func main() {
	if err := newCommand().Execute(); err != nil {
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	var flags options
	root := &cobra.Command{
		Use: "deckpulley-soak", Short: "Play overlapping disturbances on real processes and judge them", SilenceUsage: true,
	}
	set := root.PersistentFlags()
	set.StringVar(&flags.program, "program", "target/deckpulley-platform", "path of the deckpulley-platform program")
	set.StringVar(&flags.folder, "folder", "", "folder for schedules, logs and records (default: a temporary one)")
	set.BoolVar(&flags.race, "race", false, "the program was built with the race detector")
	set.BoolVar(&flags.passKnown, "pass-known", false, "print findings that KNOWN-RED.txt lists, and pass over them")
	run := &cobra.Command{
		Use: "run", Short: "Draw schedules from seeds and play them", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return runSeeds(flags) },
	}
	run.Flags().Uint64Var(&flags.seed, "seed", 1, "first seed")
	run.Flags().IntVar(&flags.seeds, "seeds", 1, "number of seeds")
	run.Flags().DurationVar(&flags.length, "length", defaultLength, "length of each schedule")
	run.Flags().IntVar(&flags.gateways, "gateways", defaultGateways, "number of machines with a gateway, at least 3")
	replay := &cobra.Command{
		Use: "replay SCHEDULE", Short: "Play a schedule that was written by run", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, arguments []string) error { return replaySchedule(flags, arguments[0]) },
	}
	shrink := &cobra.Command{
		Use: "shrink SCHEDULE", Short: "Take events out of a schedule while its finding stays, and write the smallest one", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, arguments []string) error { return shrinkSchedule(flags, arguments[0]) },
	}
	root.AddCommand(run, replay, shrink, newTurnoverCommand(&flags))
	return root
}

// runSeeds plays the schedules of some seeds, one after the other.
func runSeeds(flags options) error {
	broken := false
	for number := range flags.seeds {
		schedule := soak.Draw(soak.Options{
			Seed: flags.seed + uint64(number), Length: flags.length, Gateways: flags.gateways, MalformedForms: standin.MalformedForms,
		})
		found, err := play(flags, schedule)
		if err != nil {
			return err
		}
		broken = broken || found
	}
	if broken {
		return errFindings
	}
	return nil
}

func replaySchedule(flags options, path string) error {
	schedule, err := soak.Read(path)
	if err != nil {
		return err
	}
	found, err := play(flags, schedule)
	if err == nil && found {
		err = errFindings
	}
	return err
}

// playsOfCandidate is how often a candidate is played before its finding counts as gone: the
// times of a run are real.
const playsOfCandidate = 3

// shrinkSchedule plays a schedule until it shows a finding, takes events out while one of the
// same rule stays, and writes the smallest schedule beside the first.
func shrinkSchedule(flags options, path string) error {
	schedule, err := soak.Read(path)
	if err != nil {
		return err
	}
	wanted, err := rulesOf(flags, schedule)
	if err != nil {
		return err
	}
	if len(wanted) == 0 {
		return fmt.Errorf("%w in %d plays", errNoFinding, playsOfCandidate)
	}
	smallest, err := soak.Shrink(schedule, func(candidate soak.Schedule) (bool, error) {
		return showsAny(flags, candidate, wanted)
	})
	target := strings.TrimSuffix(path, ".json") + "-smallest.json"
	if writeErr := smallest.Write(target); writeErr != nil {
		return errors.Join(err, writeErr)
	}
	fmt.Printf("%d of %d events are left: %s\n", len(smallest.Events), len(schedule.Events), target)
	return err
}

// rulesOf plays a schedule up to playsOfCandidate times and returns the rules that the first
// play with findings broke.
func rulesOf(flags options, schedule soak.Schedule) ([]platform.Rule, error) {
	for range playsOfCandidate {
		result, err := playOnce(flags, schedule)
		if err != nil {
			return nil, err
		}
		if len(result.Findings) == 0 {
			continue
		}
		var rules []platform.Rule
		for _, finding := range result.Findings {
			rules = append(rules, finding.Rule)
		}
		return rules, nil
	}
	return nil, nil
}

// showsAny reports whether one of playsOfCandidate plays breaks one of the rules.
func showsAny(flags options, schedule soak.Schedule, rules []platform.Rule) (bool, error) {
	for range playsOfCandidate {
		result, err := playOnce(flags, schedule)
		if err != nil {
			return false, err
		}
		for _, finding := range result.Findings {
			if slices.Contains(rules, finding.Rule) {
				return true, nil
			}
		}
	}
	return false, nil
}

// play plays a schedule and reports whether there are findings.
func play(flags options, schedule soak.Schedule) (found bool, err error) {
	result, err := playOnce(flags, schedule)
	return len(result.Findings) > 0 || len(result.Known) > 0 && !flags.passKnown, err
}

// playOnce plays a schedule, which it writes first, and writes and prints the result.
func playOnce(flags options, schedule soak.Schedule) (result platform.Result, err error) {
	folder := flags.folder
	if folder == "" {
		if folder, err = os.MkdirTemp("", "deckpulley-soak-"); err != nil {
			return result, err
		}
	}
	if folder, err = newFolder(filepath.Join(folder, fmt.Sprintf("seed-%d", schedule.Seed))); err != nil {
		return result, err
	}
	if err := schedule.Write(filepath.Join(folder, "schedule.json")); err != nil {
		return result, err
	}
	result, err = platform.Play(schedule, platform.Options{Program: flags.program, Folder: folder, Race: flags.race})
	if err != nil {
		return result, fmt.Errorf("seed %d: %w", schedule.Seed, err)
	}
	text, err := json.MarshalIndent(result, "", "  ")
	if err != nil {
		return result, err
	}
	if err := os.WriteFile(filepath.Join(folder, "record.json"), append(text, '\n'), 0o600); err != nil {
		return result, err
	}
	printResult(result, folder)
	return result, nil
}

// newFolder creates a folder, or one with a number after its name if there is one already: a
// run must not start on the data of another one.
func newFolder(path string) (string, error) {
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		return "", err
	}
	for number := 1; ; number++ {
		folder := path
		if number > 1 {
			folder = fmt.Sprintf("%s-%d", path, number)
		}
		err := os.Mkdir(folder, 0o700)
		if err == nil || !errors.Is(err, fs.ErrExist) {
			return folder, err
		}
	}
}

func printResult(result platform.Result, folder string) {
	fmt.Printf("seed %d: %d events, %d restarts, requests by status %v, peak %d MB, %d findings\n",
		result.Seed, result.Events, result.Restarts, result.Statuses, result.PeakMB, len(result.Findings))
	printed := make(map[platform.Rule]int)
	for _, finding := range result.Findings {
		if printed[finding.Rule]++; printed[finding.Rule] > maxPrinted {
			continue
		}
		fmt.Printf("  %s at %v: %s\n", finding.Rule, finding.At.Round(time.Millisecond), finding.Text)
	}
	for _, finding := range result.Known {
		fmt.Printf("  known, see KNOWN-RED.txt: %s at %v: %s\n", finding.Rule, finding.At.Round(time.Millisecond), finding.Text)
	}
	if len(result.Findings) > 0 {
		fmt.Printf("  kept in %s\n", folder)
	}
}
