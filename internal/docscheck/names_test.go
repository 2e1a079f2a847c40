package docscheck

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// notOurs maps words in code spans that look like names of this repository, but are not,
// to what they are.
var notOurs = map[string]string{
	"--quick": "a flag of the platform's bench",
	"--why":   "a flag of the platform's bench",

	"config_change":                 "a kind of trouble of the platform's bench",
	"garble":                        "a kind of trouble of the platform's bench",
	"kill_all":                      "a kind of trouble of the platform's bench",
	"node_kill":                     "a kind of trouble of the platform's bench",
	"power_off_all":                 "a kind of trouble of the platform's bench",
	"srv_crash":                     "a kind of trouble of the platform's bench",
	"non_idempotent":                "a kind of route of the platform, translated as any kind but two",
	"repo-explain":                  "a service of one of the platform's sites",
	"retry_after_s":                 "a figure of the platform's pricing",
	"X-Deckpulley-Expected-Version": "a header of the platform that is not used",
	"X-Deckpulley-Server-Load":      "a header of the platform that is not used",

	"ErrLeaseNotFound":  "etcd's",
	"GOMAXPROCS":        "the Go runtime's",
	"getrusage":         "a system call",
	"testing/synctest":  "a package of the standard library",
	"text/event-stream": "a media type",
	"_seconds":          "the ending of a metric's name",
	"_total":            "the ending of a metric's name",

	"out/":                   "a folder that programs write",
	"data/":                  "a folder in a run folder of deckpulley-fleet",
	"secrets/":               "a folder in a run folder of deckpulley-fleet",
	"settings/":              "a folder in a run folder of deckpulley-fleet",
	"events/*.jsonl":         "files in a run folder of deckpulley-fleet",
	"logs/*.log":             "files in a run folder of deckpulley-fleet",
	"man/*.1":                "files that deckpulleyctl writes",
	"report.html":            "a file in a run folder of deckpulley-fleet",
	"callers.pprof":          "a file that deckpulley-bench writes",
	"control.pprof":          "a file that deckpulley-bench writes",
	"gateway-capacity.pprof": "a file that deckpulley-bench writes",
}

// foreignPackages lists the packages of the standard library that pages mention.
var foreignPackages = map[string]bool{"http": true, "io": true, "slog": true, "testing": true}

// namedPages returns all pages in which every name must exist. Names in the incidents and
// in CHANGELOG.md may be out of date, because these pages describe past versions.
// upgradingPage lists old names next to new ones: TestUpgradingNamesWhatIsDeclared checks
// the new ones.
func namedPages(t *testing.T) []string {
	t.Helper()
	pages := []string{"README.md", "DEVELOPERS.md"}
	err := fs.WalkDir(os.DirFS(repositoryRoot), "docs", func(name string, entry fs.DirEntry, err error) error {
		if entry.IsDir() && name == "docs/incidents" {
			return fs.SkipDir
		}
		if strings.HasSuffix(name, ".md") && name != upgradingPage {
			pages = append(pages, name)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(pages) < 25 {
		t.Fatalf("found only %d pages, some are missing", len(pages))
	}
	return pages
}

func readText(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(repositoryRoot, filepath.FromSlash(name)))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// snippet is code in a page: a code span, which may span several lines, or a fenced block.
type snippet struct {
	line
	language string // of a fenced block; "" for none
	fenced   bool
}

// snippets returns the code of a page. It returns an error for a paragraph with an
// unpaired backtick, after which code and prose would be mistaken for each other.
func snippets(text string) ([]snippet, error) {
	var found []snippet
	var paragraph []string
	var block *snippet
	var failure error
	lines := strings.Split(text, "\n")
	endParagraph := func(number int) {
		joined := strings.Join(paragraph, "\n")
		first := number - len(paragraph)
		paragraph = nil
		if strings.Count(joined, "`")%2 != 0 {
			failure = errors.Join(failure, fmt.Errorf("line %d: a backtick without its pair", first))
		}
		for _, at := range codeSpan.FindAllStringSubmatchIndex(joined, -1) {
			number := first + strings.Count(joined[:at[0]], "\n")
			found = append(found, snippet{line: line{number, strings.Join(strings.Fields(joined[at[2]:at[3]]), " ")}})
		}
	}
	for at, content := range lines {
		number := at + 1
		mark, isFence := strings.CutPrefix(strings.TrimSpace(content), "```")
		switch {
		case isFence && block != nil:
			found = append(found, *block)
			block = nil
		case isFence:
			endParagraph(number)
			block = &snippet{line: line{number: number + 1}, language: mark, fenced: true}
		case block != nil:
			block.text += content + "\n"
		case strings.TrimSpace(content) == "" || strings.HasPrefix(content, "|"):
			if strings.HasPrefix(content, "|") {
				paragraph = append(paragraph, content)
				number++
			}
			endParagraph(number)
		default:
			paragraph = append(paragraph, content)
		}
	}
	endParagraph(len(lines) + 1)
	if block != nil {
		failure = errors.Join(failure, fmt.Errorf("line %d: the block has no end", block.number))
	}
	return found, failure
}

// command is a simple command of a snippet, split into words.
type command struct {
	number int
	words  []string
}

var (
	shellComment   = regexp.MustCompile(`(?:^|\s)#.*`)
	shellSeparator = regexp.MustCompile(`;|&&|\|\||\||&|[(){}]`)
	// substitution matches a command substitution, $(...).
	substitution = regexp.MustCompile(`\$\(([^()]*)\)`)
	quotes       = strings.NewReplacer(`"`, "", `'`, "", "[", " ", "]", " ", ",", " ")
)

// commands splits a snippet into simple commands and removes the brackets around optional
// arguments.
func (s snippet) commands() []command {
	if !s.fenced {
		return []command{{s.number, strings.Fields(quotes.Replace(strings.ReplaceAll(s.text, "|", " ")))}}
	}
	var found []command
	joined := strings.ReplaceAll(s.text, "\\\n", "\x00")
	number := s.number
	for _, content := range strings.Split(joined, "\n") {
		plain := shellComment.ReplaceAllString(strings.ReplaceAll(content, "\x00", " "), "")
		for _, inner := range substitution.FindAllStringSubmatch(plain, -1) {
			plain += ";" + inner[1]
		}
		plain = substitution.ReplaceAllString(plain, "output")
		for _, simple := range shellSeparator.Split(plain, -1) {
			if words := strings.Fields(quotes.Replace(simple)); len(words) > 0 {
				found = append(found, command{number, words})
			}
		}
		number += 1 + strings.Count(content, "\x00")
	}
	return found
}

// checker checks that the names in one page exist in the repository.
type checker struct {
	text   string
	code   []snippet
	parsed source
	has    *inventory
	report func(number int, format string, arguments ...any)
}

func (c *checker) check() {
	c.checkTests()
	c.checkPackages()
	c.checkNamesInFiles()
	for _, s := range c.code {
		if !s.fenced {
			c.checkSpan(s)
		}
		if s.language == "go" {
			continue
		}
		for _, command := range s.commands() {
			c.checkCommand(command)
		}
	}
}

// TestPagesNameWhatExists checks that each package, file, Go name, test, make target,
// script and flag that a page names exists.
func TestPagesNameWhatExists(t *testing.T) {
	parsed, has := loadSource(t), loadInventory(t)
	for _, name := range namedPages(t) {
		t.Run(name, func(t *testing.T) {
			text := readText(t, name)
			code, err := snippets(text)
			if err != nil {
				t.Error(err)
			}
			report := func(number int, format string, arguments ...any) {
				t.Errorf("%s:%d: %s", name, number, fmt.Sprintf(format, arguments...))
			}
			checked := checker{text: text, code: code, parsed: parsed, has: has, report: report}
			checked.check()
		})
	}
}

// TestDesignHasEachPackage checks that the tables of the design page list each package
// that is not a program or an example.
func TestDesignHasEachPackage(t *testing.T) {
	listed := make(map[string]bool)
	for _, l := range readPage(t, "docs/DESIGN.md").section(t, "Packages and imports").lines {
		addAll(listed, spans(l.text))
	}
	for folder, declared := range loadSource(t) {
		if declared.name != "main" && !listed[folder] {
			t.Errorf("docs/DESIGN.md: no row for package %s", folder)
		}
	}
}

// TestPlatformRowsNameTheirFiles checks, for each row of the table that translates the
// platform's terms, that it names a function and that each file in it declares one of the
// row's functions.
func TestPlatformRowsNameTheirFiles(t *testing.T) {
	has := loadInventory(t)
	rows := readPage(t, "docs/PLATFORM.md").section(t, "What is translated into what").rows()
	if len(rows) < 20 {
		t.Fatalf("found only %d rows, some are missing", len(rows))
	}
	for _, r := range rows {
		place := r.cells[len(r.cells)-1]
		named := references(place)
		if len(named) == 0 {
			t.Errorf("docs/PLATFORM.md:%d: the row names no function", r.number)
		}
		for _, file := range spans(place) {
			declaresOne := slices.ContainsFunc(named, func(n reference) bool { return has.functions[file][n.name] })
			if goFile.MatchString(file) && !declaresOne {
				t.Errorf("docs/PLATFORM.md:%d: %s declares no function that the row names", r.number, file)
			}
		}
	}
}

var (
	testName  = regexp.MustCompile(`^(?:Test|Fuzz|Benchmark|Example)(?:[A-Z_]\w*)?$`)
	namedTest = regexp.MustCompile(`\b((?:Test|Fuzz|Benchmark|Example)[A-Z]\w*)(?:/([\w-]+))?`)
)

// checkTests checks each name of a test anywhere in the page, in prose or in code.
func (c *checker) checkTests() {
	for number, content := range strings.Split(c.text, "\n") {
		for _, match := range namedTest.FindAllStringSubmatch(content, -1) {
			if !c.has.hasTest("", match[1], match[2]) {
				c.report(number+1, "there is no test %s", match[0])
			}
		}
	}
}

var (
	listOfPackages = regexp.MustCompile("\\b[Pp]ackages? ((?:`[\\w/-]+`(?:, | and | or )?)+)")
	packageHeading = regexp.MustCompile(`^\|\s*packages?\s*\|`)
)

// checkPackages checks the names that follow the word "package", and those in the first
// column of tables of packages.
func (c *checker) checkPackages() {
	inTable := false
	for number, content := range strings.Split(c.text, "\n") {
		named := ""
		for _, match := range listOfPackages.FindAllStringSubmatch(content, -1) {
			named += match[1]
		}
		inTable = strings.HasPrefix(content, "|") && (inTable || packageHeading.MatchString(content))
		if inTable {
			named += strings.Split(content, "|")[1]
		}
		for _, name := range spans(named) {
			if _, err := c.parsed.find(name); err != nil && notOurs[name] == "" {
				c.report(number+1, "%s: %v", name, err)
			}
		}
	}
}

// namesInFile matches a Go file followed by names in parentheses that it declares.
var namesInFile = regexp.MustCompile("`([\\w-]+(?:/[\\w-]+)*)/\\w+\\.go` \\(((?:`\\w+`(?:, | and )?)+)\\)")

// checkNamesInFiles checks that the names matched by namesInFile are declared in the
// file's package.
func (c *checker) checkNamesInFiles() {
	for number, content := range strings.Split(c.text, "\n") {
		for _, match := range namesInFile.FindAllStringSubmatch(content, -1) {
			declared := c.parsed[match[1]]
			for _, name := range spans(match[2]) {
				if declared == nil || !declared.types[name] && !declared.values[name] {
					c.report(number+1, "%s: not declared in %s", name, match[1])
				}
			}
		}
	}
}

var (
	oneWord    = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_-]*$`)
	pathForm   = regexp.MustCompile(`^(?:\./)?[\w.-]+(?:/[\w.*<>-]*)+$`)
	sourceFile = regexp.MustCompile(`^[\w.-]+\.(?:go|md|sh|py|toml|mod|sum)$`)
	// withArguments matches a call: the function, and a name in the parentheses.
	withArguments = regexp.MustCompile(`^([\w./()*-]*\w)\((\w*)\)$`)
	keyForm       = regexp.MustCompile(`^(?:[a-z]\w*)?(?:\.[a-zA-Z]\w*)+$`)
	// exportedWord matches a word in the form of an exported Go name. Such a name must be
	// declared.
	exportedWord = regexp.MustCompile(`^[A-Z][a-z][A-Za-z0-9]*$`)
	placeholder  = regexp.MustCompile(`^[A-Z]+$`)
)

// checkSpan checks a code span that is a single name.
func (c *checker) checkSpan(s snippet) {
	if call := withArguments.FindStringSubmatch(s.text); call != nil {
		c.checkSpan(snippet{line: line{s.number, call[1]}})
		if call[2] != "" {
			c.checkSpan(snippet{line: line{s.number, call[2]}})
		}
		return
	}
	named, isReference := parseReference(s.text)
	switch {
	case notOurs[s.text] != "":
	case isReference:
		c.checkReference(s.number, named)
	case memberForm.MatchString(s.text) && !fileForm.MatchString(s.text):
		parts := memberForm.FindStringSubmatch(s.text)
		if !c.parsed.hasMember(parts[1], parts[2]) {
			c.report(s.number, "no type %s of this module has a member %s", parts[1], parts[2])
		}
	case sourceFile.MatchString(s.text):
		if !c.has.hasFile(s.text) {
			c.report(s.number, "there is no file %s", s.text)
		}
	case pathForm.MatchString(s.text) && !namedTest.MatchString(s.text):
		c.checkPath(s.number, s.text)
	case keyForm.MatchString(s.text) && !fileForm.MatchString(s.text):
		if !c.isKey(s.text) {
			c.report(s.number, "%s: a part of this key is written nowhere in the repository", s.text)
		}
	case oneWord.MatchString(s.text) && !namedTest.MatchString(s.text):
		if !c.knows(s.text) {
			c.report(s.number, "%s is declared or written nowhere in the repository", s.text)
		}
	}
}

// checkReference checks a name with dots. It is a Go name, or a key of settings or
// configuration, which begins with a lowercase letter and may contain a placeholder.
func (c *checker) checkReference(number int, named reference) {
	_, _, err := c.parsed.resolve(named)
	if err == nil || foreignPackages[named.packages] && errors.Is(err, errNoPackage) {
		return
	}
	if named.receiver == "" && (!looksExported(named) || placeholder.MatchString(named.name)) {
		if c.isKey(named.text) {
			return
		}
	}
	c.report(number, "%v", err)
}

// isKey reports whether each part of a key with dots occurs in a file that is not a page
// or is a placeholder.
func (c *checker) isKey(name string) bool {
	for _, part := range strings.Split(strings.TrimPrefix(name, "."), ".") {
		if !placeholder.MatchString(part) && !c.has.words[part] {
			return false
		}
	}
	return true
}

// knows reports whether a word is declared, or occurs in a file that is not a page.
func (c *checker) knows(name string) bool {
	if c.has.identifiers[name] || !exportedWord.MatchString(name) && c.has.words[name] || c.has.paths[name] || c.has.programs[name] != nil {
		return true
	}
	if _, err := c.parsed.find(name); err == nil {
		return true
	}
	for _, prefix := range metricPrefixes {
		if rest, isMetric := strings.CutPrefix(name, prefix); isMetric && c.has.words[rest] {
			return true
		}
	}
	return false
}

// metricPrefixes lists the prefixes of metric names, which the source contains separately
// from the rest of the name.
var metricPrefixes = []string{"deckpulley_control_", "deckpulley_gateway_", "deckpulley_http_", "deckpulley_http_exchange_"}

// hasFile reports whether any folder contains a file with the name.
func (i *inventory) hasFile(name string) bool {
	for known := range i.paths {
		if path.Base(known) == name {
			return true
		}
	}
	return false
}

var angles = regexp.MustCompile(`<\w+>`)

// checkPath checks a path relative to the repository's root.
func (c *checker) checkPath(number int, name string) {
	plain := angles.ReplaceAllString(strings.TrimPrefix(name, "./"), "*")
	plain = strings.TrimSuffix(strings.TrimSuffix(plain, "..."), "/")
	program, isBuilt := strings.CutPrefix(plain, "bin/")
	switch {
	case notOurs[name] != "":
	case isBuilt && (c.has.programs[program] != nil || c.has.targets["build-"+program]):
	case isBuilt || !c.has.hasPath(plain):
		c.report(number, "there is no %s", name)
	}
}

// checkCommand checks the make targets, paths, tests and flags that a command names.
func (c *checker) checkCommand(command command) {
	words := command.words
	if len(words) == 0 {
		return
	}
	if words[0] == "make" {
		c.checkMake(command)
		return
	}
	if len(words) > 1 && words[0] == "go" && words[1] == "test" {
		c.checkGoTest(command)
	}
	program := ""
	for _, word := range words {
		switch {
		case c.has.programs[path.Base(word)] != nil && !strings.HasPrefix(word, "cmd/"):
			program = path.Base(word)
			c.checkBuilt(command.number, word)
		case c.has.paths[word] && (strings.HasSuffix(word, ".sh") || strings.HasSuffix(word, ".py")):
			program = word
		case c.isPathOfOurs(word) && len(words) > 1:
			c.checkPath(command.number, word)
		case strings.HasPrefix(word, "-"):
			c.checkFlag(command, program, word)
		}
	}
}

func (c *checker) checkBuilt(number int, word string) {
	if strings.HasPrefix(word, "bin/") {
		c.checkPath(number, word)
	}
}

// isPathOfOurs reports whether a word of a command is a path below a folder at the
// repository's root.
func (c *checker) isPathOfOurs(word string) bool {
	if _, isReference := parseReference(word); isReference || !pathForm.MatchString(word) {
		return false
	}
	first, _, _ := strings.Cut(strings.TrimPrefix(word, "./"), "/")
	return c.has.paths[first] || first == "bin"
}

var makeAssignment = regexp.MustCompile(`^([A-Z_]+)=`)

func (c *checker) checkMake(command command) {
	for _, word := range command.words[1:] {
		assignment := makeAssignment.FindStringSubmatch(word)
		switch {
		case assignment != nil && !c.has.variables[assignment[1]]:
			c.report(command.number, "the Makefile has no variable %s", assignment[1])
		case assignment == nil && !c.has.targets[word]:
			c.report(command.number, "there is no make target %s", word)
		}
	}
}

// goTestFlags lists the flags of go test that pages use.
var goTestFlags = []string{"bench", "count", "cover", "fuzz", "fuzztime", "race", "run", "short", "tags", "timeout", "v"}

// checkGoTest checks that the package of a go test command declares the tests and flags
// that the command names.
func (c *checker) checkGoTest(command command) {
	folder := ""
	for _, word := range command.words[2:] {
		if strings.HasPrefix(word, "./") {
			folder = strings.TrimSuffix(strings.TrimPrefix(word, "./"), "/...")
		}
	}
	for at, word := range command.words {
		name, isFlag := strings.CutPrefix(word, "-")
		name, _, _ = strings.Cut(name, "=")
		switch {
		case !isFlag:
		case name == "run" || name == "bench" || name == "fuzz":
			if at+1 == len(command.words) || !c.matchesTest(folder, command.words[at+1]) {
				c.report(command.number, "%s has no test for -%s %s", folder, name, strings.Join(command.words[at+1:], " "))
			}
		case !slices.Contains(goTestFlags, name) && !c.has.testFlags[folder][name]:
			c.report(command.number, "no test of %s declares the flag -%s", folder, name)
		}
	}
}

func (c *checker) matchesTest(folder, pattern string) bool {
	matcher, err := regexp.Compile(pattern)
	if err != nil {
		return false
	}
	for name, folders := range c.has.tests {
		if slices.Contains(folders, folder) && matcher.MatchString(name) {
			return true
		}
	}
	return false
}

// flagForm matches a long flag or a one-letter shorthand.
var flagForm = regexp.MustCompile(`^(?:--([a-z][a-z0-9-]*)|-([a-z]))(?:=.*)?$`)

// foreignCommands lists programs from outside the repository, whose flags are not checked.
var foreignCommands = []string{"apt-get", "awk", "bash", "curl", "cut", "go", "git", "grep", "ip", "jq", "kill", "mkdir", "mktemp", "od", "rm", "sed", "seq", "sleep", "systemctl", "tail", "tc", "test", "tr", "unshare", "until", "wc", "for", "head", "install", "cp", "cat", "chmod", "trap", "while", "[", "set"}

// checkFlag checks a flag of a program or script of the repository. If the command names
// neither, as in `config apply --author`, a program named in the page must have the flag.
func (c *checker) checkFlag(command command, program, word string) {
	form := flagForm.FindStringSubmatch(word)
	if form == nil || notOurs[word] != "" {
		return
	}
	name := form[1] + form[2]
	switch {
	case program != "" && c.has.programs[program] != nil:
		if !c.has.programs[program][name] {
			c.report(command.number, "%s has no flag %s", program, word)
		}
	case program != "":
		if !c.scriptHas(program, word) {
			c.report(command.number, "%s has no flag %s", program, word)
		}
	case slices.Contains(foreignCommands, path.Base(command.words[0])):
	default:
		for known, flags := range c.has.programs {
			if flags[name] && strings.Contains(c.text, known) {
				return
			}
		}
		c.report(command.number, "no program that the page names has the flag %s (%s)", word, strings.Join(command.words, " "))
	}
}

func (c *checker) scriptHas(script, flag string) bool {
	return strings.Contains(c.has.scripts[script], flag)
}
