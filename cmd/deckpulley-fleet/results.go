package main

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/deckpulley/deckpulley/internal/results"
)

func newResultsCommand() *cobra.Command {
	var path string
	command := &cobra.Command{
		Use:   "results RECORD...",
		Short: "Render the records of complete runs as one Markdown page",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			return writeResults(command.OutOrStdout(), path, arguments)
		},
	}
	command.Flags().StringVar(&path, "write", "", "file to write the page to (default standard output)")
	return command
}

// writeResults renders stored records as a page and writes it to path, or to out if
// path is empty.
func writeResults(out io.Writer, path string, files []string) error {
	var records []results.Record
	for _, file := range files {
		record, err := results.Load(file)
		if err != nil {
			return usageError{err}
		}
		records = append(records, record)
	}
	page := results.Page(records)
	if path == "" {
		fmt.Fprint(out, page)
		return nil
	}
	if err := os.WriteFile(path, []byte(page), 0o644); err != nil {
		return fmt.Errorf("writing the results page: %w", err)
	}
	return nil
}
