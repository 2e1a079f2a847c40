package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/deckpulley/deckpulley/client"
)

// Environment variables that stand in for flags.
const (
	environmentAddress   = "DECKPULLEYCTL_ADDRESS"
	environmentTokenFile = "DECKPULLEYCTL_TOKEN_FILE"
)

// options are the flags of every command.
type options struct {
	addresses []string
	tokenFile string
	timeout   time.Duration
	format    string
}

func (o *options) addFlags(flags *pflag.FlagSet) {
	flags.StringSliceVarP(&o.addresses, "address", "a", nil, "operators' addresses (host:port) of nodes, tried in turn; default $"+environmentAddress)
	flags.StringVar(&o.tokenFile, "token-file", "", "file that holds the operator's token, or \"name token\"; default $"+environmentTokenFile)
	flags.DurationVar(&o.timeout, "timeout", 30*time.Second, "longest time to wait")
	flags.StringVarP(&o.format, "output", "o", formatTable, "table, json or yaml")
}

// connect makes a client and a context of the chosen time-out.
func (o *options) connect(command *cobra.Command) (*client.Client, context.Context, context.CancelFunc, error) {
	switch o.format {
	case formatTable, formatJSON, formatYAML:
	default:
		return nil, nil, nil, usageError{fmt.Errorf("--output %q must be %s, %s or %s", o.format, formatTable, formatJSON, formatYAML)}
	}
	addresses := o.addresses
	if len(addresses) == 0 {
		addresses = splitList(os.Getenv(environmentAddress))
	}
	if len(addresses) == 0 {
		return nil, nil, nil, usageError{fmt.Errorf("no address: give --address or set %s", environmentAddress)}
	}
	token, err := readToken(cmp.Or(o.tokenFile, os.Getenv(environmentTokenFile)))
	if err != nil {
		return nil, nil, nil, usageError{err}
	}
	connection, err := client.New(client.Config{Addresses: addresses, Token: token})
	if err != nil {
		return nil, nil, nil, usageError{err}
	}
	ctx, cancel := context.WithTimeout(command.Context(), o.timeout)
	return connection, ctx, cancel, nil
}

func splitList(text string) []string {
	return strings.FieldsFunc(text, func(r rune) bool { return r == ',' || r == ' ' })
}

// readToken takes the last word of the file's first line that is no comment.
func readToken(path string) (string, error) {
	if path == "" {
		return "", nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return "", fmt.Errorf("token file: %w", err)
	}
	for line := range strings.Lines(string(text)) {
		words := strings.Fields(line)
		if len(words) > 0 && !strings.HasPrefix(words[0], "#") {
			return words[len(words)-1], nil
		}
	}
	return "", errors.New("token file: holds no token")
}
