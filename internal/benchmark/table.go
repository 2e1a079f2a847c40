package benchmark

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"
)

// Table is one table of benchmark results.
type Table struct {
	Title string
	// Note explains how the figures were measured. It may be empty.
	Note    string
	Columns []string
	Rows    [][]string
}

func (t *Table) add(cells ...string) { t.Rows = append(t.Rows, cells) }

// WriteTables writes tables as Markdown.
func WriteTables(into io.Writer, tables []Table) error {
	for _, table := range tables {
		if _, err := io.WriteString(into, table.markdown()); err != nil {
			return fmt.Errorf("writing a table: %w", err)
		}
	}
	return nil
}

func (t *Table) markdown() string {
	var text strings.Builder
	fmt.Fprintf(&text, "\n### %s\n\n", t.Title)
	if t.Note != "" {
		fmt.Fprintf(&text, "%s\n\n", t.Note)
	}
	writeRow(&text, t.Columns)
	writeRow(&text, strings.Split(strings.Repeat("---:,", len(t.Columns)-1)+"---:", ","))
	for _, row := range t.Rows {
		writeRow(&text, row)
	}
	return text.String()
}

func writeRow(into *strings.Builder, cells []string) {
	fmt.Fprintf(into, "| %s |\n", strings.Join(cells, " | "))
}

// errNoMarkers means that a page does not contain the markers of a section.
var errNoMarkers = errors.New("the page has no such section")

// ReplaceSection replaces the content between the begin and end markers of a section in
// the page at path. The rest of the page is unchanged.
func ReplaceSection(path, section string, content []byte) error {
	page, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("reading the page: %w", err)
	}
	replaced, err := replaceSection(page, section, content)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	information, err := os.Stat(path)
	if err != nil {
		return fmt.Errorf("reading the page: %w", err)
	}
	if err := os.WriteFile(path, replaced, information.Mode().Perm()); err != nil {
		return fmt.Errorf("writing the page: %w", err)
	}
	return nil
}

func replaceSection(page []byte, section string, content []byte) ([]byte, error) {
	begin := []byte("<!-- begin " + section + " -->\n")
	end := []byte("<!-- end " + section + " -->")
	start := bytes.Index(page, begin)
	if start < 0 {
		return nil, fmt.Errorf("%w: %q is missing", errNoMarkers, bytes.TrimSpace(begin))
	}
	start += len(begin)
	length := bytes.Index(page[start:], end)
	if length < 0 {
		return nil, fmt.Errorf("%w: %q is missing", errNoMarkers, end)
	}
	replaced := append([]byte(nil), page[:start]...)
	replaced = append(replaced, content...)
	return append(replaced, page[start+length:]...), nil
}

// milliseconds formats a duration in milliseconds for a table cell.
func milliseconds(duration time.Duration) string {
	return fmt.Sprintf("%.2f", float64(duration)/float64(time.Millisecond))
}

func integer(value float64) string { return fmt.Sprintf("%.0f", value) }

func decimal(value float64) string { return fmt.Sprintf("%.2f", value) }

// perUnit returns sum divided by count, or 0 if count is 0.
func perUnit(sum, count float64) float64 {
	if count == 0 {
		return 0
	}
	return sum / count
}
