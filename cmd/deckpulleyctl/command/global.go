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

// Environment variables that set the defaults of flags.
const (
	environmentAddress   = "DECKPULLEYCTL_ADDRESS"
	environmentGateways  = "DECKPULLEYCTL_GATEWAYS"
	environmentTokenFile = "DECKPULLEYCTL_TOKEN_FILE"
)

const defaultTimeout = 30 * time.Second

// globalFlags holds the flags that all commands share.
type globalFlags struct {
	controlAddresses []string
	gatewayAddresses []string
	tokenFile        string
	timeout          time.Duration
	format           string
}

func (g *globalFlags) register(flags *pflag.FlagSet) {
	flags.StringSliceVarP(&g.controlAddresses, "address", "a", nil, "operator addresses (host:port) of control nodes, tried in order; default $"+environmentAddress)
	flags.StringSliceVarP(&g.gatewayAddresses, "gateways", "g", nil, "operator addresses (host:port) of gateways, for status, top and route; default $"+environmentGateways)
	flags.StringVar(&g.tokenFile, "token-file", "", "file with the operator's token, optionally preceded by a name (\"name token\"); default $"+environmentTokenFile)
	flags.DurationVar(&g.timeout, "timeout", defaultTimeout, "maximum time to wait")
	flags.StringVarP(&g.format, "output", "o", string(printer.FormatTable), "output format: table, json or yaml")
}

// withControlClient calls run with a client for the control nodes and a context that
// is canceled after --timeout.
func (g *globalFlags) withControlClient(command *cobra.Command, run func(context.Context, *client.Client) error) error {
	controlClient, err := g.newControlClient()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(command.Context(), g.timeout)
	defer cancel()
	return run(ctx, controlClient)
}

// newControlClient returns a client for the control nodes. It also validates --output,
// so that an invalid format is reported before anything is sent.
func (g *globalFlags) newControlClient() (*client.Client, error) {
	if err := g.validateFormat(); err != nil {
		return nil, err
	}
	addresses := addressesOrEnvironment(g.controlAddresses, environmentAddress)
	if len(addresses) == 0 {
		return nil, &usageError{fmt.Errorf("no control node address: use --address or set %s", environmentAddress)}
	}
	return g.newClient(addresses)
}

// newGatewayClient returns a client for the gateways. It also validates --output.
func (g *globalFlags) newGatewayClient() (*client.Client, error) {
	if err := g.validateFormat(); err != nil {
		return nil, err
	}
	addresses := g.gateways()
	if len(addresses) == 0 {
		return nil, &usageError{fmt.Errorf("no gateway address: use --gateways or set %s", environmentGateways)}
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

// gateways returns the operator addresses of the gateways from --gateways or the
// environment. It is empty if neither is set.
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

// print writes an answer in the format selected by --output.
func (g *globalFlags) print(output io.Writer, answer any, tables func() []*printer.Table) error {
	return g.outputFormat().Print(output, answer, tables)
}

// addressesOrEnvironment returns the addresses of a flag. If there are none, it returns
// those in an environment variable, separated by commas or spaces.
func addressesOrEnvironment(addresses []string, variable string) []string {
	if len(addresses) > 0 {
		return addresses
	}
	return strings.FieldsFunc(os.Getenv(variable), func(r rune) bool { return r == ',' || r == ' ' })
}

// readToken returns the last word of the file's first line that is neither blank nor a
// comment. For an empty path it returns an empty token.
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
	return "", errors.New("token file: no token found")
}
