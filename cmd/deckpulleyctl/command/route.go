package command

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/cmd/deckpulleyctl/printer"
)

func newRouteCommand(flags *globalFlags) *cobra.Command {
	command := &cobra.Command{Use: "route", Short: "Show how requests are routed"}
	command.AddCommand(newRouteExplainCommand(flags))
	return command
}

func newRouteExplainCommand(flags *globalFlags) *cobra.Command {
	var request api.GenerateRequest
	var class string
	var prefixes []string
	command := &cobra.Command{
		Use:   "explain MODEL",
		Short: "Explain how a request would be routed now",
		Long: `Explain how a request would be routed now: each step of the routing decision of the
gateway that responds, its view of the regions, and the replicas of its own region.
No request is sent to a replica and no state is changed.

The first address in --gateways must be that of the gateway that would receive the
request. Whether a request spills to another region depends on its ID, so the results
for two IDs may differ.`,
		Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			request.Model, request.Class = arguments[0], api.Class(class)
			parsed, err := parsePrefixes(prefixes)
			if err != nil {
				return err
			}
			request.Prefixes = parsed
			return explainRoute(command, flags, &request)
		},
	}
	commandFlags := command.Flags()
	commandFlags.StringVar(&request.RequestID, "request-id", "", "request ID")
	commandFlags.StringVar(&request.Tenant, "tenant", "", "tenant that sends the request")
	commandFlags.StringVar(&request.Home, "home", "", "home rule named by the request")
	commandFlags.StringVar(&request.Client, "client", "", "client group")
	commandFlags.StringVar(&class, "class", "", "request class: quick, long or fetch; default the class of the route")
	commandFlags.StringSliceVar(&prefixes, "prefix", nil, "shared prompt prefix as id=tokens, outermost first")
	commandFlags.IntVar(&request.PromptTokens, "prompt-tokens", 0, "number of prompt tokens after the prefixes")
	commandFlags.IntVar(&request.MaxTokens, "max-tokens", 1, "maximum number of tokens to generate")
	commandFlags.BoolVar(&request.Stream, "stream", false, "request a streamed response")
	commandFlags.BoolVar(&request.Repeatable, "repeatable", true, "the request may be executed more than once")
	return command
}

// parsePrefixes parses the values of --prefix.
func parsePrefixes(texts []string) ([]api.Prefix, error) {
	var prefixes []api.Prefix
	for _, text := range texts {
		id, count, _ := strings.Cut(text, "=")
		tokens, err := strconv.Atoi(count)
		if err != nil || id == "" {
			return nil, &usageError{fmt.Errorf("--prefix %q must be id=tokens", text)}
		}
		prefixes = append(prefixes, api.Prefix{ID: id, Tokens: tokens})
	}
	return prefixes, nil
}

func explainRoute(command *cobra.Command, flags *globalFlags, request *api.GenerateRequest) error {
	gateway, err := flags.newGatewayClient()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(command.Context(), flags.timeout)
	defer cancel()
	answer, err := gateway.Explain(ctx, request)
	if err != nil {
		return err
	}
	output := command.OutOrStdout()
	if flags.outputFormat() != printer.FormatTable {
		return flags.print(output, answer, nil)
	}
	return printExplanation(output, answer)
}

// printExplanation prints the answer as tables, and omits tables without rows.
func printExplanation(output io.Writer, answer *api.ExplainAnswer) error {
	fmt.Fprintf(output, "gateway %s in region %s, configuration version %d, serial %d\n\n", answer.Gateway, answer.Region, answer.ConfigurationVersion, answer.Serial)
	tables := []*printer.Table{stepsTable(answer), regionsTable(answer.Regions), candidatesTable(answer.Replicas)}
	for i, table := range tables {
		if table.Len() == 0 {
			continue
		}
		if i > 0 {
			fmt.Fprintln(output)
		}
		if err := table.Print(output); err != nil {
			return err
		}
	}
	return nil
}

func stepsTable(answer *api.ExplainAnswer) *printer.Table {
	table := printer.NewTable("STEP", "RESULT", "REASON")
	for _, step := range answer.Steps {
		table.AddRow(step.Step, step.Result, step.Reason)
	}
	if answer.Error != nil {
		table.AddRow("answer", "refused", answer.Error.Error())
	}
	return table
}

func regionsTable(regions []api.ExplainRegion) *printer.Table {
	table := printer.NewTable("REGION", "RANK", "LOAD", "KNOWLEDGE", "USABLE", "TAKES SPILL")
	for _, region := range regions {
		rank := "not a candidate"
		if region.Rank > 0 {
			rank = strconv.Itoa(region.Rank)
		}
		table.AddRow(region.Region, rank, printer.Percent(region.Load), region.LoadFreshness, printer.YesNo(region.Usable), printer.YesNo(region.AcceptsSpill))
	}
	return table
}

func candidatesTable(replicas []api.ExplainReplica) *printer.Table {
	table := printer.NewTable("REPLICA", "STATE", "IN FLIGHT", "OTHERS", "LIMIT", "FIRST TOKEN MS")
	for _, replica := range replicas {
		table.AddRow(replica.Replica, replica.State, replica.InFlight, replica.Others, replica.Limit, replica.FirstTokenMS)
	}
	return table
}
