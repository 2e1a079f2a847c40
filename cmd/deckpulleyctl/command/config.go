package command

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/deckpulley/deckpulley/configuration"
)

// standardInput is the file name that selects the standard input.
const standardInput = "-"

func newConfigCommand(flags *globalFlags) *cobra.Command {
	command := &cobra.Command{Use: "config", Short: "Validate, compare, apply and read the configuration"}
	command.AddCommand(
		newConfigValidateCommand(),
		newConfigDiffCommand(flags),
		newConfigApplyCommand(flags),
		newConfigChangeCommand(flags),
		newConfigGetCommand(flags),
		newConfigHistoryCommand(flags),
	)
	return command
}

// configurationFile is a configuration document and the text it was parsed from.
type configurationFile struct {
	text     string
	document *configuration.Document
}

// readConfiguration reads and validates a configuration file.
func readConfiguration(command *cobra.Command, path string) (configurationFile, error) {
	text, err := readFile(command, path)
	if err != nil {
		return configurationFile{}, &usageError{err}
	}
	document, err := configuration.Parse(text)
	if err != nil {
		return configurationFile{}, &usageError{fmt.Errorf("%s: %w", path, err)}
	}
	if err := document.Validate(); err != nil {
		return configurationFile{}, &usageError{fmt.Errorf("%s: %w", path, err)}
	}
	return configurationFile{text: text, document: document}, nil
}

// readFile returns the text of a file. From the standard input it reads at most one byte
// more than the size limit of a document, so that the parser rejects a longer one.
func readFile(command *cobra.Command, path string) (string, error) {
	if path == standardInput {
		text, err := io.ReadAll(io.LimitReader(command.InOrStdin(), configuration.MaxDocumentBytes+1))
		return string(text), err
	}
	text, err := os.ReadFile(path)
	return string(text), err
}
