package main

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"github.com/deckpulley/deckpulley/api"
)

func routeCommand(shared *options) *cobra.Command {
	command := &cobra.Command{Use: "route", Short: "Ask where requests go"}
	command.AddCommand(routeExplain(shared))
	return command
}

func routeExplain(shared *options) *cobra.Command {
	var request api.GenerateRequest
	var class string
	var prefixes []string
	command := &cobra.Command{
		Use:   "explain MODEL",
		Short: "Say where a request would go now, and why",
		Long: `Say where a request would go now, and why: each step of the decision of the
gateway that answers, its view of the regions, and the replicas of its own region.
Nothing is sent to a replica and nothing is decided.

Ask the gateway that would get the request: give it first in --gateways. The id of
a request decides whether it is one of those that spill, so two ids may differ.`,
		Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			request.Model, request.Class = arguments[0], api.Class(class)
			parsed, err := parsePrefixes(prefixes)
			if err != nil {
				return err
			}
			request.Prefixes = parsed
			return shared.explain(command, &request)
		},
	}
	flags := command.Flags()
	flags.StringVar(&request.RequestID, "request-id", "", "id of the request")
	flags.StringVar(&request.Tenant, "tenant", "", "tenant")
	flags.StringVar(&request.Home, "home", "", "home rule that the request names")
	flags.StringVar(&request.Client, "client", "", "client group")
	flags.StringVar(&class, "class", "", "quick, long or fetch; default by route")
	flags.StringSliceVar(&prefixes, "prefix", nil, "shared prefix as id=tokens, outermost first")
	flags.IntVar(&request.PromptTokens, "prompt-tokens", 0, "tokens of the prompt after its prefixes")
	flags.IntVar(&request.MaxTokens, "max-tokens", 1, "tokens to generate at the most")
	flags.BoolVar(&request.Stream, "stream", false, "streamed answer")
	flags.BoolVar(&request.Repeatable, "repeatable", true, "the request may run twice")
	return command
}

func (o *options) explain(command *cobra.Command, request *api.GenerateRequest) error {
	if err := o.checkFormat(); err != nil {
		return err
	}
	addresses := o.gatewayAddresses()
	if len(addresses) == 0 {
		return usageError{fmt.Errorf("no gateway: give --gateways or set %s", environmentGateways)}
	}
	connection, err := o.clientOf(addresses)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(command.Context(), o.timeout)
	defer cancel()
	answer, err := connection.Explain(ctx, request)
	if err != nil {
		return err
	}
	if o.format != formatTable {
		return o.show(command.OutOrStdout(), answer, nil)
	}
	return writeExplanation(command.OutOrStdout(), answer)
}

func parsePrefixes(texts []string) ([]api.Prefix, error) {
	var prefixes []api.Prefix
	for _, text := range texts {
		id, count, _ := strings.Cut(text, "=")
		tokens, err := strconv.Atoi(count)
		if err != nil || id == "" {
			return nil, usageError{fmt.Errorf("--prefix %q must be id=tokens", text)}
		}
		prefixes = append(prefixes, api.Prefix{ID: id, Tokens: tokens})
	}
	return prefixes, nil
}

func writeExplanation(output io.Writer, answer *api.ExplainAnswer) error {
	fmt.Fprintf(output, "gateway %s in region %s, configuration version %d, serial %d\n\n", answer.Gateway, answer.Region, answer.ConfigurationVersion, answer.Serial)
	steps := &table{header: []string{"STEP", "RESULT", "REASON"}}
	for _, step := range answer.Steps {
		steps.add(step.Step, step.Result, step.Reason)
	}
	if answer.Error != nil {
		steps.add("answer", "refused", answer.Error.Error())
	}
	regions := &table{header: []string{"REGION", "RANK", "LOAD", "KNOWLEDGE", "USABLE", "TAKES SPILL"}}
	for _, region := range answer.Regions {
		rank := "not a candidate"
		if region.Rank > 0 {
			rank = strconv.Itoa(region.Rank)
		}
		regions.add(region.Region, rank, percent(region.Load), region.Knowledge, yesNo(region.Usable), yesNo(region.TakesSpill))
	}
	replicas := &table{header: []string{"REPLICA", "STATE", "IN FLIGHT", "OTHERS", "LIMIT", "FIRST TOKEN MS"}}
	for _, replica := range answer.Replicas {
		replicas.add(replica.Replica, replica.State, replica.InFlight, replica.Others, replica.Limit, replica.FirstTokenMS)
	}
	for i, rows := range []*table{steps, regions, replicas} {
		if len(rows.rows) == 0 {
			continue
		}
		if i > 0 {
			fmt.Fprintln(output)
		}
		if err := rows.write(output); err != nil {
			return err
		}
	}
	return nil
}
