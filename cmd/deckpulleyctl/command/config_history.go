package command

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/client"
	"github.com/deckpulley/deckpulley/cmd/deckpulleyctl/printer"
)

const defaultHistoryLimit = 20 // operations

func newConfigHistoryCommand(flags *globalFlags) *cobra.Command {
	var limit int
	fetch := func(control *client.Client, ctx context.Context) (*api.OperationsAnswer, error) {
		return control.Operations(ctx, limit)
	}
	command := newReadCommand(flags, "history", "List the latest operations and their results, including evacuations", fetch, operationsTable)
	command.Flags().IntVar(&limit, "limit", defaultHistoryLimit, "maximum number of operations, newest first")
	return command
}

func operationsTable(answer *api.OperationsAnswer) *printer.Table {
	table := printer.NewTable("NUMBER", "ORDER", "ACCEPTED", "VERSION", "REASON")
	for _, operation := range answer.Orders {
		table.AddRow(operation.Number, operation.OperationID, printer.YesNo(operation.Accepted), operation.Version, refusalReason(operation))
	}
	return table
}

// refusalReason returns why an operation was refused. It is empty for an accepted one.
func refusalReason(operation api.OperationStatus) string {
	if operation.Accepted {
		return ""
	}
	refusal := api.Error{Code: operation.Code, Outcome: api.OutcomeRefused, Field: operation.Field, Message: operation.Reason}
	return refusal.Error()
}
