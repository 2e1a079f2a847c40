package printer

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

const (
	columnGap = 2   // spaces between two columns
	emptyCell = "-" // shown for an empty text, so that scripts can split rows into columns
)

// Table is a human-readable table: a header and rows of cells.
type Table struct {
	header []string
	rows   [][]string
}

// NewTable returns a table without rows.
func NewTable(header ...string) *Table { return &Table{header: header} }

// AddRow appends a row. Each cell is formatted as by fmt.Sprint.
func (t *Table) AddRow(cells ...any) {
	row := make([]string, len(cells))
	for i, cell := range cells {
		row[i] = fmt.Sprint(cell)
		if row[i] == "" {
			row[i] = emptyCell
		}
	}
	t.rows = append(t.rows, row)
}

// Len returns the number of rows without the header.
func (t *Table) Len() int { return len(t.rows) }

// Print writes the table with aligned columns.
func (t *Table) Print(output io.Writer) error {
	writer := tabwriter.NewWriter(output, 0, 0, columnGap, ' ', 0)
	for _, row := range append([][]string{t.header}, t.rows...) {
		if _, err := fmt.Fprintln(writer, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return writer.Flush()
}

// PrintTables writes tables separated by empty lines.
func PrintTables(output io.Writer, tables ...*Table) error {
	for i, table := range tables {
		if i > 0 {
			fmt.Fprintln(output)
		}
		if err := table.Print(output); err != nil {
			return err
		}
	}
	return nil
}

// YesNo formats a boolean as "yes" or "no".
func YesNo(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}

// Percent formats a fraction as a percentage: 1 is "100%".
func Percent(fraction float64) string { return fmt.Sprintf("%.0f%%", 100*fraction) }
