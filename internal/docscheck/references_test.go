package docscheck

import (
	"errors"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"unicode"
)

// scope selects the code spans of a page that must be declared.
type scope int

const (
	// everyPackage selects all spans in the form of Go names.
	everyPackage scope = iota
	// ownPackages selects exported names and methods of packages of this module. Other
	// spans may be settings keys or names of other modules.
	ownPackages
)

// checkReferences reports an error for each Go name in a page that is not declared.
func checkReferences(t *testing.T, parsed source, read page, which scope) {
	t.Helper()
	found := 0
	for _, l := range read.lines {
		for _, named := range references(l.text) {
			_, _, err := parsed.resolve(named)
			if which == ownPackages && (errors.Is(err, errNoPackage) || !looksExported(named)) {
				continue
			}
			found++
			if err != nil {
				t.Errorf("%s:%d: %v", read.path, l.number, err)
			}
		}
	}
	if which == everyPackage && found == 0 {
		t.Errorf("%s names no Go identifier", read.path)
	}
}

func looksExported(named reference) bool {
	return named.receiver != "" || unicode.IsUpper(rune(named.name[0]))
}

// upgradingPage lists old names next to new ones.
const upgradingPage = "docs/UPGRADING.md"

// records lists pages that record past work and measurements. Names in them may be out of
// date. TestUpgradingNamesWhatIsDeclared checks the new names in upgradingPage.
var records = map[string]bool{
	upgradingPage:       true,
	"CHANGELOG.md":      true,
	"docs/DECISIONS.md": true,
	"docs/RESULTS.md":   true,
	"docs/OPEN.md":      true,
}

// livePages returns the pages that describe the current state of the project.
func livePages(t *testing.T) []string {
	t.Helper()
	var found []string
	for _, folder := range []string{".", "docs", "docs/design"} {
		entries, err := os.ReadDir(filepath.Join(repositoryRoot, filepath.FromSlash(folder)))
		if err != nil {
			t.Fatal(err)
		}
		for _, entry := range entries {
			name := path.Join(folder, entry.Name())
			if strings.HasSuffix(name, ".md") && !records[name] {
				found = append(found, name)
			}
		}
	}
	if len(found) < 15 {
		t.Fatalf("found only %d pages, some are missing", len(found))
	}
	return found
}

func TestPagesNameWhatIsDeclared(t *testing.T) {
	parsed := loadSource(t)
	for _, name := range livePages(t) {
		t.Run(name, func(t *testing.T) { checkReferences(t, parsed, readPage(t, name), ownPackages) })
	}
}

// memberForm matches a member of a type without its package, as written in design notes
// about one package.
var memberForm = regexp.MustCompile(`^([A-Z]\w*)\.(\w+)$`)

// TestPagesNameMembersThatExist checks that a member matched by memberForm is declared by
// a type of that name in any package.
func TestPagesNameMembersThatExist(t *testing.T) {
	parsed := loadSource(t)
	for _, name := range livePages(t) {
		for _, l := range readPage(t, name).lines {
			for _, span := range spans(l.text) {
				parts := memberForm.FindStringSubmatch(span)
				if parts != nil && !fileForm.MatchString(span) && !parsed.hasMember(parts[1], parts[2]) {
					t.Errorf("%s:%d: no type %s of this module has a member %s", name, l.number, parts[1], parts[2])
				}
			}
		}
	}
}

var (
	goFile     = regexp.MustCompile(`^[a-z][\w.-]*(?:/[\w.-]+)+\.go$`)
	bareGoFile = regexp.MustCompile(`^[a-z]\w*\.go$`) // a file's name without its folder
)

func TestPagesNameFilesThatExist(t *testing.T) {
	names := loadSource(t).fileNames()
	for _, name := range livePages(t) {
		for _, l := range readPage(t, name).lines {
			for _, span := range spans(l.text) {
				if goFile.MatchString(span) && !exists(span) || bareGoFile.MatchString(span) && !names[span] {
					t.Errorf("%s:%d: there is no file %s", name, l.number, span)
				}
			}
		}
	}
}

func exists(name string) bool {
	_, err := os.Stat(filepath.Join(repositoryRoot, filepath.FromSlash(name)))
	return !errors.Is(err, fs.ErrNotExist)
}

// link matches a Markdown link: its target and the anchor in it. Either may be empty.
var link = regexp.MustCompile(`\]\(([^)#\s]*)(?:#([^)\s]+))?\)`)

func TestLinksLeadSomewhere(t *testing.T) {
	for _, name := range livePages(t) {
		read := readPage(t, name)
		for _, l := range read.lines {
			for _, match := range link.FindAllStringSubmatch(l.text, -1) {
				if problem := brokenLink(t, read, match[1], match[2]); problem != "" {
					t.Errorf("%s:%d: %s", name, l.number, problem)
				}
			}
		}
	}
}

// brokenLink returns what is wrong with a link of a page, or "" if the link works.
func brokenLink(t *testing.T, from page, target, heading string) string {
	t.Helper()
	if strings.Contains(target, "://") {
		return ""
	}
	to := from
	if target != "" {
		file := path.Join(path.Dir(from.path), target)
		if !exists(file) {
			return "there is no file " + file
		}
		if !strings.HasSuffix(file, ".md") {
			return ""
		}
		to = readPage(t, file)
	}
	if heading != "" && !to.hasHeading(heading) {
		return to.path + " has no heading #" + heading
	}
	return ""
}

// TestPackageTables checks that the tables of packages list only folders that exist.
func TestPackageTables(t *testing.T) {
	tables := []struct{ page, heading string }{
		{"docs/DESIGN.md", "Packages and imports"},
		{"docs/EMBEDDING.md", "Which package for what"},
	}
	for _, table := range tables {
		t.Run(table.page, func(t *testing.T) {
			rows := readPage(t, table.page).section(t, table.heading).rows()
			if len(rows) < 15 {
				t.Fatalf("found only %d rows, some are missing", len(rows))
			}
			for _, r := range rows {
				if missing := slices.DeleteFunc(spans(r.cells[0]), exists); len(missing) > 0 {
					t.Errorf("%s:%d: there is no package %q", table.page, r.number, missing)
				}
			}
		})
	}
}

// TestUpgradingNamesWhatIsDeclared checks the new names in upgradingPage: the packages must
// exist and declare the names.
func TestUpgradingNamesWhatIsDeclared(t *testing.T) {
	parsed := loadSource(t)
	read := readPage(t, upgradingPage)
	for _, r := range read.section(t, "Packages").rows() {
		for _, name := range spans(r.cells[1]) {
			if problem := parsed.missing(name); problem != nil {
				t.Errorf("%s:%d: %v", read.path, r.number, problem)
			}
		}
	}
	for _, r := range read.section(t, "Exported Go names").rows() {
		folder, name := strings.Trim(r.cells[0], "`"), strings.Trim(r.cells[2], "`")
		declared, err := parsed.find(folder)
		if err != nil {
			t.Errorf("%s:%d: %s: %v", read.path, r.number, folder, err)
			continue
		}
		if !declared.declares(name) {
			t.Errorf("%s:%d: %s declares no %s", read.path, r.number, folder, name)
		}
	}
}

// TestMessageTableNamesTypes checks that the messages in the design note of the control
// node are types of this module.
func TestMessageTableNamesTypes(t *testing.T) {
	parsed := loadSource(t)
	rows := readPage(t, "docs/design/control.md").section(t, "Messages").rows()
	if len(rows) < 10 {
		t.Fatalf("found only %d rows, some are missing", len(rows))
	}
	for _, r := range rows {
		for _, name := range spans(r.cells[0]) {
			if !parsed.hasType(name) {
				t.Errorf("docs/design/control.md:%d: no package declares the type %s", r.number, name)
			}
		}
	}
}

// TestModelsPointAtFiles checks that the section about each model project names files of
// this module as examples of layout, naming and comments.
func TestModelsPointAtFiles(t *testing.T) {
	read := readPage(t, "DEVELOPERS.md")
	for _, model := range []string{"etcd", "memberlist", "Prometheus"} {
		t.Run(model, func(t *testing.T) {
			rows := read.section(t, model).rows()
			if len(rows) != 3 {
				t.Fatalf("found %d rows, want three: layout, naming and comments", len(rows))
			}
			for _, r := range rows {
				if !slices.ContainsFunc(spans(r.cells[len(r.cells)-1]), goFile.MatchString) {
					t.Errorf("%s:%d: the row names no Go file of this module", read.path, r.number)
				}
			}
		})
	}
}
