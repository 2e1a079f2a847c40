package results

import (
	"fmt"
	"strings"
)

// emptyCell is the text of a table cell without a value.
const emptyCell = "–"

// document builds Markdown text.
type document struct{ strings.Builder }

func (d *document) line(format string, arguments ...any) {
	fmt.Fprintf(d, format+"\n", arguments...)
}

func (d *document) paragraph(text string) {
	d.line("%s", text)
	d.line("")
}

// row writes a table row. Line breaks within cells become spaces.
func (d *document) row(cells ...string) {
	escaped := make([]string, len(cells))
	for i, cell := range cells {
		escaped[i] = singleLine(strings.ReplaceAll(cell, "|", "\\|"))
	}
	d.line("| %s |", strings.Join(escaped, " | "))
}

func (d *document) tableHeader(cells ...string) {
	d.row(cells...)
	d.line("|%s", strings.Repeat("---|", len(cells)))
}

func singleLine(text string) string { return strings.ReplaceAll(text, "\n", " ") }

// joined returns the items of a cell separated by commas, or emptyCell if there are none.
func joined(items []string) string {
	if len(items) == 0 {
		return emptyCell
	}
	return strings.Join(items, ", ")
}
