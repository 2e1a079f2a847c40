package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"github.com/deckpulley/deckpulley/internal/soak/turnover"
)

// turnoverOptions are the flags of the command turnover.
type turnoverOptions struct {
	plan      turnover.Plan
	isolation string
	change    string
	seed      uint64
	plays     int
	variants  bool
}

// newTurnoverCommand returns the command that plays the replacement of all control nodes.
func newTurnoverCommand(flags *options) *cobra.Command {
	own := turnoverOptions{plan: turnover.Default()}
	command := &cobra.Command{
		Use: "turnover", Short: "Replace all control nodes while gateways are cut off, and judge which configuration they use", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return playTurnovers(*flags, own) },
	}
	set := command.Flags()
	set.Uint64Var(&own.seed, "seed", 0, "seed of the first play, which shifts the times; 0 shifts nothing")
	set.IntVar(&own.plays, "plays", 1, "number of plays, with successive seeds")
	set.IntVar(&own.plan.Machines, "machines", own.plan.Machines, "number of machines at the start")
	set.IntVar(&own.plan.CutMachines, "cut", own.plan.CutMachines, "number of machines that are cut off")
	set.DurationVar(&own.plan.CutFor, "cut-for", own.plan.CutFor, "length of the cut")
	set.StringVar(&own.isolation, "isolation", string(own.plan.Isolation), "how: from core, initial-core or all, frozen or killed")
	set.DurationSliceVar(&own.plan.Replacements, "replacements", own.plan.Replacements, "times at which the machines with a control node are lost")
	set.StringVar(&own.change, "seeds", string(own.plan.SeedChange), "how the seeds change: signal, file, fields or none")
	set.BoolVar(&own.plan.LostRefuse, "lost-refuse", false, "connections to lost machines are refused; otherwise their packets are lost")
	set.DurationVar(&own.plan.ReplacementDelay, "replacement-delay", own.plan.ReplacementDelay, "time until a successor starts")
	set.BoolVar(&own.variants, "variants", false, "draw order, times, isolation and change of the seeds too; the flags above but machines have no effect")
	return command
}

// playTurnovers plays a plan with successive seeds.
func playTurnovers(flags options, own turnoverOptions) error {
	own.plan.Isolation = turnover.Isolation(own.isolation)
	own.plan.SeedChange = turnover.SeedChange(own.change)
	folder := flags.folder
	if folder == "" {
		var err error
		if folder, err = os.MkdirTemp("", "deckpulley-turnover-"); err != nil {
			return err
		}
	}
	broken := 0
	for number := range own.plays {
		seed := own.seed + uint64(number)
		plan := own.plan.Draw(seed)
		if own.variants {
			plan = own.plan.DrawVariant(seed)
		}
		found, err := playTurnover(flags.program, folder, plan)
		if err != nil {
			return err
		}
		if found {
			broken++
		}
	}
	fmt.Printf("%d of %d plays broke a rule\n", broken, own.plays)
	if broken > 0 {
		return errFindings
	}
	return nil
}

// playTurnover plays one plan, and writes and prints the result.
func playTurnover(program, folder string, plan turnover.Plan) (found bool, err error) {
	own, err := newFolder(filepath.Join(folder, fmt.Sprintf("seed-%d", plan.Seed)))
	if err != nil {
		return false, err
	}
	result, err := turnover.Play(plan, turnover.Options{Program: program, Folder: own})
	if err != nil {
		return false, fmt.Errorf("seed %d: %w", plan.Seed, err)
	}
	text, err := json.MarshalIndent(result, "", "  ")
	if err != nil {
		return false, err
	}
	if err := os.WriteFile(filepath.Join(own, "record.json"), append(text, '\n'), 0o600); err != nil {
		return false, err
	}
	fmt.Printf("seed %d: %s of %d machines, seeds %s: probes by status %v, acknowledged at %v, %d findings; %s\n",
		plan.Seed, plan.Isolation, plan.CutMachines, plan.SeedChange, result.Statuses, rounded(result.Acknowledged), len(result.Findings), own)
	for _, finding := range result.Findings[:min(len(result.Findings), maxPrinted)] {
		fmt.Printf("  %v %s: %s\n", finding.At.Round(time.Millisecond), finding.Machine, finding.Text)
	}
	return len(result.Findings) > 0, nil
}

// maxPrinted is the number of findings of one rule that are printed; the record has all.
const maxPrinted = 5

func rounded(times []time.Duration) []time.Duration {
	rounded := make([]time.Duration, 0, len(times))
	for _, at := range times {
		rounded = append(rounded, at.Round(time.Millisecond))
	}
	return rounded
}
