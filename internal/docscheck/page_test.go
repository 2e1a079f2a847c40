package docscheck

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// line is one line of a page. Numbers start at 1.
type line struct {
	number int
	text   string
}

// page is a Markdown page without its fenced blocks, which contain programs and drawings.
type page struct {
	path  string // relative to the repository's root
	lines []line
	// length is the number of lines including fenced blocks.
	length int
}

func readPage(t *testing.T, path string) page {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(repositoryRoot, filepath.FromSlash(path)))
	if err != nil {
		t.Fatal(err)
	}
	return newPage(path, string(text))
}

func newPage(path, text string) page {
	read := page{path: path}
	fenced := false
	for _, content := range strings.Split(strings.TrimSuffix(text, "\n"), "\n") {
		read.length++
		if strings.HasPrefix(strings.TrimSpace(content), "```") {
			fenced = !fenced
			continue
		}
		if !fenced {
			read.lines = append(read.lines, line{number: read.length, text: content})
		}
	}
	return read
}

// section returns the lines below a heading, up to the next heading of the same or a
// higher level.
func (p page) section(t *testing.T, heading string) page {
	t.Helper()
	found := page{path: p.path}
	level := 0
	for _, l := range p.lines {
		depth := len(l.text) - len(strings.TrimLeft(l.text, "#"))
		switch {
		case level == 0 && depth > 0 && strings.TrimSpace(l.text[depth:]) == heading:
			level = depth
		case level > 0 && depth > 0 && depth <= level:
			return found
		case level > 0:
			found.lines = append(found.lines, l)
		}
	}
	if level == 0 {
		t.Fatalf("%s has no heading %q", p.path, heading)
	}
	return found
}

// notInAnchor matches the characters of a heading that its anchor omits.
var notInAnchor = regexp.MustCompile(`[^a-z0-9 _-]`)

// hasHeading reports whether the anchor belongs to one of the page's headings.
func (p page) hasHeading(anchor string) bool {
	for _, l := range p.lines {
		title := strings.TrimSpace(strings.TrimLeft(l.text, "#"))
		if !strings.HasPrefix(l.text, "#") {
			continue
		}
		plain := notInAnchor.ReplaceAllString(strings.ToLower(title), "")
		if strings.ReplaceAll(plain, " ", "-") == anchor {
			return true
		}
	}
	return false
}

var codeSpan = regexp.MustCompile("`([^`]+)`")

// spans returns the code spans of a text.
func spans(text string) []string {
	var found []string
	for _, match := range codeSpan.FindAllStringSubmatch(text, -1) {
		found = append(found, match[1])
	}
	return found
}

// row is a row of a table. Header rows and the rules below them are not included.
type row struct {
	line
	cells []string
}

var tableRule = regexp.MustCompile(`^\|[\s:|-]+\|$`)

// rows returns the rows of all tables of a page.
func (p page) rows() []row {
	var found []row
	for _, l := range p.lines {
		if !strings.HasPrefix(l.text, "|") {
			continue
		}
		if tableRule.MatchString(l.text) {
			found = found[:max(0, len(found)-1)] // the line above the rule is the header row
			continue
		}
		cells := strings.Split(strings.Trim(l.text, "|"), "|")
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		found = append(found, row{line: l, cells: cells})
	}
	return found
}

var numberedStep = regexp.MustCompile(`^\d+\. `)

// steps returns the items of numbered lists. Each item is one line.
func (p page) steps() []line {
	var found []line
	for _, l := range p.lines {
		if numberedStep.MatchString(l.text) {
			found = append(found, l)
		}
	}
	return found
}

// references returns the code spans that have the form of qualified Go names.
func references(text string) []reference {
	var found []reference
	for _, span := range spans(text) {
		if parsed, isReference := parseReference(span); isReference {
			found = append(found, parsed)
		}
	}
	return found
}

func TestPageParts(t *testing.T) {
	read := newPage("sample.md", "# Title\n\n## One\n1. do `a.B`\n\n```\n1. not a step\n```\n| left | right |\n|---|---|\n| `x y` | two |\n\n## Two\n2. other\n")
	if read.length != 14 {
		t.Errorf("length %d, want 14", read.length)
	}
	one := read.section(t, "One")
	if steps := one.steps(); len(steps) != 1 || steps[0].number != 4 {
		t.Errorf("steps %v", steps)
	}
	if !read.hasHeading("one") || read.hasHeading("three") {
		t.Error("hasHeading does not find headings by their anchors")
	}
	rows := one.rows()
	if len(rows) != 1 || len(rows[0].cells) != 2 || rows[0].cells[1] != "two" || rows[0].number != 11 {
		t.Errorf("rows %v", rows)
	}
	if found := references("do `a.B` and `x y`"); len(found) != 1 || found[0].text != "a.B" {
		t.Errorf("references %v", found)
	}
}
