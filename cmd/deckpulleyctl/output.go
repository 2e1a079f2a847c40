package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"go.yaml.in/yaml/v3"
)

// Output formats.
const (
	formatTable = "table"
	formatJSON  = "json"
	formatYAML  = "yaml"
)

// table is what people see.
type table struct {
	header []string
	rows   [][]string
}

func (t *table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, cell := range cells {
		row[i] = fmt.Sprint(cell)
		if row[i] == "" {
			row[i] = "-"
		}
	}
	t.rows = append(t.rows, row)
}

func (t *table) write(output io.Writer) error {
	writer := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	for _, row := range append([][]string{t.header}, t.rows...) {
		if _, err := fmt.Fprintln(writer, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return writer.Flush()
}

// show writes an answer in the chosen format.
func (o *options) show(output io.Writer, answer any, people func() *table) error {
	switch o.format {
	case formatJSON:
		encoder := json.NewEncoder(output)
		encoder.SetIndent("", "  ")
		return encoder.Encode(answer)
	case formatYAML:
		return writeYAML(output, answer)
	default:
		return people().write(output)
	}
}

// writeYAML keeps the names that the JSON form has.
func writeYAML(output io.Writer, answer any) error {
	text, err := json.Marshal(answer)
	if err != nil {
		return err
	}
	var generic any
	if err := yaml.Unmarshal(text, &generic); err != nil {
		return err
	}
	encoder := yaml.NewEncoder(output)
	encoder.SetIndent(2)
	return encoder.Encode(generic)
}

func yesNo(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}
