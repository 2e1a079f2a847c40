// Package printer writes the answers of deckpulleyctl as tables, JSON or YAML.
package printer

import (
	"encoding/json"
	"fmt"
	"io"

	"go.yaml.in/yaml/v3"
)

// Format is a value of the flag --output.
type Format string

// Output formats.
const (
	FormatTable Format = "table" // for people
	FormatJSON  Format = "json"  // the documents of package api
	FormatYAML  Format = "yaml"  // the same fields as the JSON form
)

const indentSpaces = 2

// Validate returns an error for an unknown format.
func (f Format) Validate() error {
	switch f {
	case FormatTable, FormatJSON, FormatYAML:
		return nil
	default:
		return fmt.Errorf("--output %q must be %s, %s or %s", f, FormatTable, FormatJSON, FormatYAML)
	}
}

// Print writes the answer in the format. For FormatTable it writes the tables that
// tables returns, separated by empty lines; the other formats do not call tables.
func (f Format) Print(output io.Writer, answer any, tables func() []*Table) error {
	switch f {
	case FormatJSON:
		return printJSON(output, answer)
	case FormatYAML:
		return printYAML(output, answer)
	default:
		return PrintTables(output, tables()...)
	}
}

func printJSON(output io.Writer, answer any) error {
	encoder := json.NewEncoder(output)
	encoder.SetIndent("", fmt.Sprintf("%*s", indentSpaces, ""))
	return encoder.Encode(answer)
}

// printYAML converts the answer from its JSON form, since the types of package api have
// no YAML tags.
func printYAML(output io.Writer, answer any) error {
	text, err := json.Marshal(answer)
	if err != nil {
		return err
	}
	var fields any
	if err := yaml.Unmarshal(text, &fields); err != nil {
		return err
	}
	encoder := yaml.NewEncoder(output)
	encoder.SetIndent(indentSpaces)
	return encoder.Encode(fields)
}
