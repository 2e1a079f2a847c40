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
		Short: "Render records of whole runs as one page",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			return writeResults(command.OutOrStdout(), path, arguments)
		},
	}
	command.Flags().StringVar(&path, "write", "", "file of the page; empty is standard output")
	return command
}

// writeResults writes the page of stored records to a file, or to out without one.
func writeResults(out io.Writer, path string, files []string) error {
	var records []results.Record
	for _, file := range files {
		record, err := results.Load(file)
		if err != nil {
			return invalidError{err}
		}
		records = append(records, record)
	}
	page := results.Page(records)
	if path == "" {
		fmt.Fprint(out, page)
		return nil
	}
	if err := os.WriteFile(path, []byte(page), 0o644); err != nil {
		return fmt.Errorf("writing the page: %w", err)
	}
	return nil
}
