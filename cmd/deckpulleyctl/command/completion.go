package command

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/deckpulley/deckpulley/client"
)

// completionTimeout bounds the request to a control node. It is short because the user
// waits at the shell prompt.
const completionTimeout = time.Second

// completeNames completes up to limit arguments with names that list fetches from a
// control node. If the request fails, there are no completions.
func (g *globalFlags) completeNames(limit int, list func(context.Context, *client.Client) ([]string, error)) cobra.CompletionFunc {
	return func(command *cobra.Command, arguments []string, prefix string) ([]cobra.Completion, cobra.ShellCompDirective) {
		if len(arguments) >= limit {
			return nil, cobra.ShellCompDirectiveNoFileComp
		}
		control, err := g.newControlClient()
		if err != nil {
			return nil, cobra.ShellCompDirectiveNoFileComp
		}
		ctx, cancel := context.WithTimeout(command.Context(), completionTimeout)
		defer cancel()
		names, err := list(ctx, control)
		if err != nil {
			return nil, cobra.ShellCompDirectiveNoFileComp
		}
		return filterNames(names, arguments, prefix), cobra.ShellCompDirectiveNoFileComp
	}
}

// filterNames returns the names that have the prefix and are not arguments already.
func filterNames(names, arguments []string, prefix string) []cobra.Completion {
	var completions []cobra.Completion
	for _, name := range names {
		if strings.HasPrefix(name, prefix) && !slices.Contains(arguments, name) {
			completions = append(completions, name)
		}
	}
	return completions
}
