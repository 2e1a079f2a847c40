package main

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/client"
)

func configHistory(shared *options) *cobra.Command {
	limit := 0
	fetch := func(connection *client.Client, ctx context.Context) (*api.OperationsAnswer, error) {
		return connection.Orders(ctx, limit)
	}
	command := reading(shared, "history", "List the newest orders and their answers, evacuations included", fetch, ordersTable)
	command.Flags().IntVar(&limit, "limit", 20, "number of orders, newest first")
	return command
}

func ordersTable(answer *api.OperationsAnswer) *table {
	rows := &table{header: []string{"NUMBER", "ORDER", "ACCEPTED", "VERSION", "REASON"}}
	for _, order := range answer.Orders {
		reason := ""
		if !order.Accepted {
			reason = (&api.Error{Code: order.Code, Outcome: api.OutcomeRefused, Field: order.Field, Message: order.Reason}).Error()
		}
		rows.add(order.Number, order.OperationID, yesNo(order.Accepted), order.Version, reason)
	}
	return rows
}
