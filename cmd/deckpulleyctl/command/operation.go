package command

import (
	"context"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/client"
	"github.com/deckpulley/deckpulley/cmd/deckpulleyctl/printer"
)

// operationFlags holds the flags of the commands that send an operation with an ID.
type operationFlags struct {
	id     string
	author string
}

func (f *operationFlags) register(command *cobra.Command) {
	command.Flags().StringVar(&f.id, "order-id", "", "ID of an earlier operation to repeat after its response was lost; default a new ID")
	command.Flags().StringVar(&f.author, "author", os.Getenv("USER"), "author recorded with the operation")
}

// operationID returns the operation's ID, and generates one if none was given. Every
// call returns the same ID.
func (f *operationFlags) operationID() string {
	if f.id == "" {
		f.id = client.NewOperationID()
	}
	return f.id
}

// reportUnknownOutcome prints how to resolve an unknown outcome: repeating the operation with
// the same ID returns its stored result. It returns err unchanged.
func (f *operationFlags) reportUnknownOutcome(command *cobra.Command, err error, otherFlags string) error {
	if exitStatus(err) == exitUnknown {
		fmt.Fprintf(command.ErrOrStderr(), "the outcome is unknown; repeat this command with --order-id %s --author %q%s\n", f.id, f.author, otherFlags)
	}
	return err
}

// printResult writes the result of an operation.
func (g *globalFlags) printResult(command *cobra.Command, result *api.OperationResult) error {
	return g.print(command.OutOrStdout(), result, func() []*printer.Table {
		table := printer.NewTable("ORDER", "ACCEPTED", "VERSION", "SERIAL")
		table.AddRow(result.OperationID, printer.YesNo(result.Accepted), result.Version, result.Serial)
		return []*printer.Table{table}
	})
}

// currentVersion is the default of --base-version. It selects the version that is
// current when the command starts.
const currentVersion = -1

// configurationOperation describes a command that sends a file as a change to a given
// version of the configuration.
type configurationOperation struct {
	use, short, long string
	// baseVersionHelp is the help text of --base-version.
	baseVersionHelp string
	// readFile returns the file's text after validating it.
	readFile func(command *cobra.Command, path string) (text string, err error)
	send     func(ctx context.Context, control *client.Client, request configurationRequest) (*api.OperationResult, error)
}

// configurationRequest holds the values that a configurationOperation sends.
type configurationRequest struct {
	operationID string
	author      string
	text        string
	baseVersion uint64
}

func (o configurationOperation) command(flags *globalFlags) *cobra.Command {
	var operation operationFlags
	var baseVersion int64
	command := &cobra.Command{
		Use:   o.use,
		Short: o.short,
		Long:  o.long,
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			text, err := o.readFile(command, arguments[0])
			if err != nil {
				return err
			}
			return flags.withControlClient(command, func(ctx context.Context, control *client.Client) error {
				version, err := resolveBaseVersion(ctx, control, baseVersion)
				if err != nil {
					return err
				}
				request := configurationRequest{operationID: operation.operationID(), author: operation.author, text: text, baseVersion: version}
				result, err := o.send(ctx, control, request)
				if err != nil {
					return operation.reportUnknownOutcome(command, err, fmt.Sprintf(" --base-version %d", version))
				}
				return flags.printResult(command, result)
			})
		},
	}
	operation.register(command)
	command.Flags().Int64Var(&baseVersion, "base-version", currentVersion, o.baseVersionHelp)
	return command
}

// resolveBaseVersion returns the requested version. If requested is currentVersion, it
// fetches the version that is current now.
func resolveBaseVersion(ctx context.Context, control *client.Client, requested int64) (uint64, error) {
	if requested > currentVersion {
		return uint64(requested), nil
	}
	current, err := control.Configuration(ctx, true)
	if err != nil {
		return 0, err
	}
	return current.Version, nil
}
