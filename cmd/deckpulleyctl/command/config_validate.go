package command

import (
	"fmt"

	"github.com/spf13/cobra"
)

func newConfigValidateCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "validate FILE",
		Short: "Validate a configuration file without sending it",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			file, err := readConfiguration(command, arguments[0])
			if err != nil {
				return err
			}
			document := file.document
			_, err = fmt.Fprintf(command.OutOrStdout(), "valid: %d regions, %d services, %d routes, %d homes, %d tenants\n",
				len(document.Regions), len(document.Services), len(document.Routes), len(document.Homes), len(document.Tenants))
			return err
		},
	}
}
