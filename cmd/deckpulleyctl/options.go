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
	environmentGateways  = "DECKPULLEYCTL_GATEWAYS"
	environmentTokenFile = "DECKPULLEYCTL_TOKEN_FILE"
)

// options are the flags of every command.
type options struct {
	addresses []string
	gateways  []string
	tokenFile string
	timeout   time.Duration
	format    string
}

func (o *options) addFlags(flags *pflag.FlagSet) {
	flags.StringSliceVarP(&o.addresses, "address", "a", nil, "operators' addresses (host:port) of control nodes, tried in turn; default $"+environmentAddress)
	flags.StringSliceVarP(&o.gateways, "gateways", "g", nil, "operators' addresses (host:port) of gateways, for status, top and route; default $"+environmentGateways)
	flags.StringVar(&o.tokenFile, "token-file", "", "file that holds the operator's token, or \"name token\"; default $"+environmentTokenFile)
	flags.DurationVar(&o.timeout, "timeout", 30*time.Second, "longest time to wait")
	flags.StringVarP(&o.format, "output", "o", formatTable, "table, json or yaml")
}

// connect makes a client of the control nodes and a context of the chosen time-out.
func (o *options) connect(command *cobra.Command) (*client.Client, context.Context, context.CancelFunc, error) {
	connection, err := o.control()
	if err != nil {
		return nil, nil, nil, err
	}
	ctx, cancel := context.WithTimeout(command.Context(), o.timeout)
	return connection, ctx, cancel, nil
}

// control makes a client of the control nodes.
func (o *options) control() (*client.Client, error) {
	if err := o.checkFormat(); err != nil {
		return nil, err
	}
	addresses := o.addresses
	if len(addresses) == 0 {
		addresses = splitList(os.Getenv(environmentAddress))
	}
	if len(addresses) == 0 {
		return nil, usageError{fmt.Errorf("no address: give --address or set %s", environmentAddress)}
	}
	return o.clientOf(addresses)
}

func (o *options) checkFormat() error {
	switch o.format {
	case formatTable, formatJSON, formatYAML:
		return nil
	default:
		return usageError{fmt.Errorf("--output %q must be %s, %s or %s", o.format, formatTable, formatJSON, formatYAML)}
	}
}

func (o *options) clientOf(addresses []string) (*client.Client, error) {
	token, err := readToken(cmp.Or(o.tokenFile, os.Getenv(environmentTokenFile)))
	if err != nil {
		return nil, usageError{err}
	}
	connection, err := client.New(client.Config{Addresses: addresses, Token: token})
	if err != nil {
		return nil, usageError{err}
	}
	return connection, nil
}

// gatewayAddresses are the operators' addresses of the gateways, none if not given.
func (o *options) gatewayAddresses() []string {
	if len(o.gateways) > 0 {
		return o.gateways
	}
	return splitList(os.Getenv(environmentGateways))
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
