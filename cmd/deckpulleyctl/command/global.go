package command

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/deckpulley/deckpulley/client"
	"github.com/deckpulley/deckpulley/cmd/deckpulleyctl/printer"
)

// Environment variables that stand in for flags.
const (
	environmentAddress   = "DECKPULLEYCTL_ADDRESS"
	environmentGateways  = "DECKPULLEYCTL_GATEWAYS"
	environmentTokenFile = "DECKPULLEYCTL_TOKEN_FILE"
)

const defaultTimeout = 30 * time.Second

// globalFlags are the flags that every command has.
type globalFlags struct {
	controlAddresses []string
	gatewayAddresses []string
	tokenFile        string
	timeout          time.Duration
	format           string
}

func (g *globalFlags) register(flags *pflag.FlagSet) {
	flags.StringSliceVarP(&g.controlAddresses, "address", "a", nil, "operators' addresses (host:port) of control nodes, tried in turn; default $"+environmentAddress)
	flags.StringSliceVarP(&g.gatewayAddresses, "gateways", "g", nil, "operators' addresses (host:port) of gateways, for status, top and route; default $"+environmentGateways)
	flags.StringVar(&g.tokenFile, "token-file", "", "file that holds the operator's token, or \"name token\"; default $"+environmentTokenFile)
	flags.DurationVar(&g.timeout, "timeout", defaultTimeout, "longest time to wait")
	flags.StringVarP(&g.format, "output", "o", string(printer.FormatTable), "table, json or yaml")
}

// withControlClient calls run with a client of the control nodes and a context
// that ends after --timeout.
func (g *globalFlags) withControlClient(command *cobra.Command, run func(context.Context, *client.Client) error) error {
	controlClient, err := g.newControlClient()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(command.Context(), g.timeout)
	defer cancel()
	return run(ctx, controlClient)
}

// newControlClient returns a client of the control nodes. It checks --output too,
// so that a wrong format is found before anything is sent.
func (g *globalFlags) newControlClient() (*client.Client, error) {
	if err := g.validateFormat(); err != nil {
		return nil, err
	}
	addresses := addressesOrEnvironment(g.controlAddresses, environmentAddress)
	if len(addresses) == 0 {
		return nil, &usageError{fmt.Errorf("no address: give --address or set %s", environmentAddress)}
	}
	return g.newClient(addresses)
}

// newGatewayClient returns a client of the gateways.
func (g *globalFlags) newGatewayClient() (*client.Client, error) {
	if err := g.validateFormat(); err != nil {
		return nil, err
	}
	addresses := g.gateways()
	if len(addresses) == 0 {
		return nil, &usageError{fmt.Errorf("no gateway: give --gateways or set %s", environmentGateways)}
	}
	return g.newClient(addresses)
}

func (g *globalFlags) newClient(addresses []string) (*client.Client, error) {
	token, err := readToken(cmp.Or(g.tokenFile, os.Getenv(environmentTokenFile)))
	if err != nil {
		return nil, &usageError{err}
	}
	created, err := client.New(client.Config{Addresses: addresses, Token: token})
	if err != nil {
		return nil, &usageError{err}
	}
	return created, nil
}

// gateways returns the operators' addresses of the gateways, none if not given.
func (g *globalFlags) gateways() []string {
	return addressesOrEnvironment(g.gatewayAddresses, environmentGateways)
}

func (g *globalFlags) outputFormat() printer.Format { return printer.Format(g.format) }

func (g *globalFlags) validateFormat() error {
	if err := g.outputFormat().Validate(); err != nil {
		return &usageError{err}
	}
	return nil
}

// print writes an answer in the format of --output.
func (g *globalFlags) print(output io.Writer, answer any, tables func() []*printer.Table) error {
	return g.outputFormat().Print(output, answer, tables)
}

// addressesOrEnvironment returns the addresses of a flag or, without any, those of
// an environment variable, separated by commas or spaces.
func addressesOrEnvironment(addresses []string, variable string) []string {
	if len(addresses) > 0 {
		return addresses
	}
	return strings.FieldsFunc(os.Getenv(variable), func(r rune) bool { return r == ',' || r == ' ' })
}

// readToken returns the last word of the file's first line that is no comment, and
// no token for no path.
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
