package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"

	"github.com/spf13/cobra"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/client"
	"github.com/deckpulley/deckpulley/configuration"
)

func configCommand(shared *options) *cobra.Command {
	command := &cobra.Command{Use: "config", Short: "Validate, compare, apply and read the configuration"}
	command.AddCommand(configValidate(), configDiff(shared), configApply(shared), configChange(shared), configGet(shared), configHistory(shared))
	return command
}

// readDocument reads and validates a file; "-" is the standard input.
func readDocument(command *cobra.Command, path string) (string, *configuration.Document, error) {
	text, err := readText(command, path)
	if err != nil {
		return "", nil, usageError{err}
	}
	document, err := configuration.Parse(text)
	if err != nil {
		return "", nil, usageError{fmt.Errorf("%s: %w", path, err)}
	}
	if err := document.Validate(); err != nil {
		return "", nil, usageError{fmt.Errorf("%s: %w", path, err)}
	}
	return text, document, nil
}

func readText(command *cobra.Command, path string) (string, error) {
	if path == "-" {
		text, err := io.ReadAll(io.LimitReader(command.InOrStdin(), configuration.MaxDocumentBytes+1))
		return string(text), err
	}
	text, err := os.ReadFile(path)
	return string(text), err
}

func configValidate() *cobra.Command {
	return &cobra.Command{
		Use:   "validate FILE",
		Short: "Check a configuration file without sending it",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			_, document, err := readDocument(command, arguments[0])
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(command.OutOrStdout(), "valid: %d regions, %d services, %d routes, %d homes, %d tenants\n",
				len(document.Regions), len(document.Services), len(document.Routes), len(document.Homes), len(document.Tenants))
			return err
		},
	}
}

func configDiff(shared *options) *cobra.Command {
	return &cobra.Command{
		Use:   "diff FILE",
		Short: "Show what applying a file would change",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			_, document, err := readDocument(command, arguments[0])
			if err != nil {
				return err
			}
			connection, ctx, cancel, err := shared.connect(command)
			if err != nil {
				return err
			}
			defer cancel()
			current, err := connection.Configuration(ctx, true)
			if err != nil {
				return err
			}
			lines, err := difference(current.Document, document)
			if err != nil {
				return err
			}
			fmt.Fprintf(command.OutOrStdout(), "against version %d: %d changes\n", current.Version, len(lines))
			for _, line := range lines {
				fmt.Fprintln(command.OutOrStdout(), line)
			}
			return nil
		},
	}
}

// difference compares the meaning of two documents, field by field.
func difference(currentText string, wanted *configuration.Document) ([]string, error) {
	current := &configuration.Document{}
	if strings.TrimSpace(currentText) != "" {
		parsed, err := configuration.Parse(currentText)
		if err != nil {
			return nil, usageError{fmt.Errorf("the current configuration cannot be read by this program: %w", err)}
		}
		current = parsed
	}
	before, err := fieldsOf(current)
	if err != nil {
		return nil, err
	}
	after, err := fieldsOf(wanted)
	if err != nil {
		return nil, err
	}
	return compareFields(before, after), nil
}

func compareFields(before, after map[string]string) []string {
	var lines []string
	for path, value := range before {
		other, kept := after[path]
		if !kept {
			lines = append(lines, fmt.Sprintf("- %s: %s", path, value))
		} else if other != value {
			lines = append(lines, fmt.Sprintf("~ %s: %s -> %s", path, value, other))
		}
	}
	for path, value := range after {
		if _, known := before[path]; !known {
			lines = append(lines, fmt.Sprintf("+ %s: %s", path, value))
		}
	}
	sort.Slice(lines, func(i, j int) bool { return lines[i][2:] < lines[j][2:] })
	return lines
}

// fieldsOf flattens a document to dotted paths.
func fieldsOf(document *configuration.Document) (map[string]string, error) {
	text, err := json.Marshal(document)
	if err != nil {
		return nil, err
	}
	var tree map[string]any
	if err := json.Unmarshal(text, &tree); err != nil {
		return nil, err
	}
	fields := make(map[string]string)
	flatten("", tree, fields)
	return fields, nil
}

func flatten(path string, value any, into map[string]string) {
	branch, isBranch := value.(map[string]any)
	if !isBranch {
		text, _ := json.Marshal(value) // a decoded JSON value always encodes
		into[path] = string(text)
		return
	}
	for key, child := range branch {
		name := key
		if path != "" {
			name = path + "." + key
		}
		flatten(name, child, into)
	}
}

// orderFlags are those of every command that sends an order.
type orderFlags struct {
	orderID string
	author  string
}

func (f *orderFlags) add(command *cobra.Command) {
	command.Flags().StringVar(&f.orderID, "order-id", "", "repeat an earlier order whose answer was lost; default a new id")
	command.Flags().StringVar(&f.author, "author", os.Getenv("USER"), "who orders")
}

// id returns the order's id, a new one if none was given.
func (f *orderFlags) id() string {
	if f.orderID == "" {
		f.orderID = client.NewOrderID()
	}
	return f.orderID
}

// explain adds to an unknown outcome how to find it out.
func (f *orderFlags) explain(command *cobra.Command, err error, otherFlags string) error {
	if exitStatus(err) == exitUnknown {
		fmt.Fprintf(command.ErrOrStderr(), "the outcome is unknown; repeat this command with --order-id %s --author %q%s\n", f.orderID, f.author, otherFlags)
	}
	return err
}

func configApply(shared *options) *cobra.Command {
	return versionedOrder{
		use:   "apply FILE",
		short: "Hand over a whole configuration and wait until it is in force everywhere",
		long: `Hand over a whole configuration and wait until it is in force everywhere.

Without --base-version the file replaces the version that is current when the
command starts. Give the version that the file was built on, so that a change by
somebody else in the meantime is not undone. Repeat a lost order with the same
--order-id and --base-version.`,
		base: "version that the file was built on; default the current one",
		read: func(command *cobra.Command, path string) (string, error) {
			text, _, err := readDocument(command, path)
			return text, err
		},
		send: func(ctx context.Context, connection *client.Client, id, author, text string, version uint64) (*api.OperationResult, error) {
			return connection.Apply(ctx, &api.ConfigurationOperation{OperationID: id, BaseVersion: version, Author: author, Document: text})
		},
	}.command(shared)
}

func configChange(shared *options) *cobra.Command {
	return versionedOrder{
		use:   "change FILE",
		short: "Add, replace or remove named items and wait until that is in force everywhere",
		long: `Add, replace or remove named items of the configuration, and leave the rest as it
is. The file has the items by section and name:

  upsert:
    tenants:
      acme: {home: north}
    http.routes:
      chat: {host: chat.example, path_prefix: /, kind: stream, ...}
  remove:
    tenants: [old]

Names to remove that the configuration does not have are ignored. The change is
made to the version given by --base-version, by default the one that is current
when the command starts, and is refused if another one has become current. Repeat
a lost order with the same --order-id and --base-version.`,
		base: "version that the change is made to; default the current one",
		read: readChange,
		send: func(ctx context.Context, connection *client.Client, id, author, text string, version uint64) (*api.OperationResult, error) {
			return connection.Change(ctx, &api.ConfigurationPatchOperation{OperationID: id, BaseVersion: version, Author: author, Change: text})
		},
	}.command(shared)
}

// readChange reads a change of named items and checks its form.
func readChange(command *cobra.Command, path string) (string, error) {
	text, err := readText(command, path)
	if err != nil {
		return "", usageError{err}
	}
	if _, err := configuration.ParseChange(text); err != nil {
		return "", usageError{fmt.Errorf("%s: %w", path, err)}
	}
	return text, nil
}

// versionedOrder is a command that hands a file over, on top of a version of the
// configuration.
type versionedOrder struct {
	use, short, long string
	// base is the help of --base-version.
	base string
	read func(command *cobra.Command, path string) (text string, err error)
	send func(ctx context.Context, connection *client.Client, id, author, text string, version uint64) (*api.OperationResult, error)
}

func (o versionedOrder) command(shared *options) *cobra.Command {
	var flags orderFlags
	var base int64
	command := &cobra.Command{
		Use:   o.use,
		Short: o.short,
		Long:  o.long,
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			text, err := o.read(command, arguments[0])
			if err != nil {
				return err
			}
			connection, ctx, cancel, err := shared.connect(command)
			if err != nil {
				return err
			}
			defer cancel()
			version, err := baseVersion(ctx, connection, base)
			if err != nil {
				return err
			}
			answer, err := o.send(ctx, connection, flags.id(), flags.author, text, version)
			if err != nil {
				return flags.explain(command, err, fmt.Sprintf(" --base-version %d", version))
			}
			return shared.showOrder(command, answer)
		},
	}
	flags.add(command)
	command.Flags().Int64Var(&base, "base-version", -1, o.base)
	return command
}

func baseVersion(ctx context.Context, connection *client.Client, given int64) (uint64, error) {
	if given >= 0 {
		return uint64(given), nil
	}
	current, err := connection.Configuration(ctx, true)
	if err != nil {
		return 0, err
	}
	return current.Version, nil
}

func (o *options) showOrder(command *cobra.Command, answer *api.OperationResult) error {
	return o.show(command.OutOrStdout(), answer, func() *table {
		rows := &table{header: []string{"ORDER", "ACCEPTED", "VERSION", "SERIAL"}}
		rows.add(answer.OperationID, yesNo(answer.Accepted), answer.Version, answer.Serial)
		return rows
	})
}

func configGet(shared *options) *cobra.Command {
	var local bool
	command := &cobra.Command{
		Use:   "get",
		Short: "Print the current configuration file",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			connection, ctx, cancel, err := shared.connect(command)
			if err != nil {
				return err
			}
			defer cancel()
			current, err := connection.Configuration(ctx, !local)
			if err != nil {
				return err
			}
			if shared.format != formatTable {
				return shared.show(command.OutOrStdout(), current, nil)
			}
			fmt.Fprintf(command.ErrOrStderr(), "version %d, serial %d, by %s\n", current.Version, current.Serial, current.Author)
			_, err = io.WriteString(command.OutOrStdout(), current.Document)
			return err
		},
	}
	command.Flags().BoolVar(&local, "local", false, "the answering node's own copy, which may be behind")
	return command
}
