package docscheck

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/fstest"
)

// sampleRepository returns a small repository with one example of each kind of thing that
// pages can name.
func sampleRepository(t *testing.T) (source, *inventory) {
	t.Helper()
	root := fstest.MapFS{
		"Makefile":                       {Data: []byte("SEEDS ?= 1\n\n.PHONY: build\nbuild: ## build\n\tgo build\n\nbuild-planted:\n")},
		"scripts/walk.sh":                {Data: []byte("case $1 in --prove) ;; esac\n")},
		"examples/one.yaml":              {Data: []byte("first_key: 1\n")},
		"settings/overrides.go":          {Data: []byte("package settings\n\nfunc textFlags() []textFlag {\n\treturn []textFlag{\n\t\t{name: \"zone\", usage: \"zone\"},\n\t\t{name: \"data-folder\", usage: \"folder\", role: RoleControl},\n\t}\n}\n")},
		"sample/sample.go":               {Data: []byte(sampleSource)},
		"sample/sample_test.go":          {Data: []byte("package sample\n\nvar days = flag.Int(\"days\", 1, \"days\")\n\nfunc TestStart(t *testing.T) { t.Run(\"two words\", nil); t.Log(\"Written\") }\n\nfunc FuzzRead(f *testing.F) {}\n")},
		"cmd/runner/main.go":             {Data: []byte("package main\n\nconst hidden = \"by-constant\"\n\nfunc main() {\n\tflags.StringVarP(&path, \"output\", \"o\", \"\", \"usage\")\n\tflags.Bool(hidden, false, \"usage\")\n\tf.register(command, \"scenario\")\n}\n")},
		"cmd/deckpulley-gateway/main.go": {Data: []byte("package main\n\nfunc main() {}\n")},
		"cmd/deckpulley-control/main.go": {Data: []byte("package main\n\nfunc main() {}\n")},
	}
	parsed, err := parseSource(root)
	if err != nil {
		t.Fatal(err)
	}
	has, err := newInventory(root)
	if err != nil {
		t.Fatal(err)
	}
	return parsed, has
}

// TestChecker checks that the checker accepts names that exist in the sample repository,
// and reports each kind of name that does not.
func TestChecker(t *testing.T) {
	parsed, has := sampleRepository(t)
	tests := []struct {
		name, text string
		// want lists a part of each expected report, in order. It is empty if the checker
		// must report nothing.
		want []string
	}{
		{"nothing named", "Plain text, and `code with blanks`.", nil},
		{"package", "The package `sample` does it.", nil},
		{"unknown package", "The package `elsewhere` does it.", []string{"elsewhere: no such package", "elsewhere is declared or written nowhere"}},
		{"unknown one of two packages", "See packages `sample` and `Limit`.", []string{"Limit: no such package"}},
		{"table of packages", "| package | job |\n|---|---|\n| `sample` | all |\n", nil},
		{"unknown package in a table", "| package | job |\n|---|---|\n| `Limit` | all |\n", []string{"Limit: no such package"}},
		{"Go names", "`sample.New`, `sample.(*Node).Start`, `sample.Node.depth`, `Node.Start`, `Start`, `New()`, `sample.New(Limit)`", nil},
		{"unknown function", "`sample.Old`", []string{"sample.Old: not declared"}},
		{"unknown method", "`sample.(*Node).Stop`", []string{"not declared"}},
		{"name in an unknown package", "`former.New`", []string{"former.New: no such package"}},
		{"name in another module's package", "`io.Reader`", nil},
		{"unknown member", "`Node.Stop`", []string{"no type Node of this module has a member Stop"}},
		{"unknown argument", "`sample.New(Old)`", []string{"Old is declared or written nowhere"}},
		{"unknown word", "`Old` and `former_key`", []string{"Old is declared", "former_key is declared"}},
		{"word of a string in the form of a Go name", "`Written`", []string{"Written is declared"}},
		{"names of a file", "`sample/sample.go` (`New`, `ErrFull`)", nil},
		{"name of another file", "`settings/overrides.go` (`New`)", []string{"New: not declared in settings"}},
		{"key", "`first_key`, `one`, `first_key.NAME.first_key`", nil},
		{"unknown key", "`first_key.NAME.former`", []string{"first_key.NAME.former: a part of this key"}},
		{"exception", "`getrusage`", nil},
		{"file", "`sample/sample.go`, `sample.go`, `scripts/`, `sample/*.go`, `cmd/<program>/main.go`", nil},
		{"unknown file", "`sample/former.go`", []string{"there is no sample/former.go"}},
		{"unknown file without a folder", "`former.go`", []string{"there is no file former.go"}},
		{"unknown folder", "`former/`", []string{"there is no former/"}},
		{"tests", "TestStart, `FuzzRead`, `TestStart/two_words`", nil},
		{"unknown test in prose", "as TestFormer shows", []string{"there is no test TestFormer"}},
		{"unknown subtest", "`TestStart/three_words`", []string{"there is no test TestStart/three_words"}},
		{"unknown test in a block", "```\ngo test ./sample -run TestFormer\n```\n", []string{"there is no test TestFormer", "sample has no test for -run TestFormer"}},
		{"test of another package", "`go test ./cmd/runner -run TestStart`", []string{"cmd/runner has no test for -run TestStart"}},
		{"flag of tests", "`go test ./sample -run Start -days 3`", nil},
		{"unknown flag of tests", "`go test ./sample -weeks 3`", []string{"no test of sample declares the flag -weeks"}},
		{"make", "`make build SEEDS=3` and `make build-planted`", nil},
		{"unknown target", "```\nmake former   # comment\n```\n", []string{"there is no make target former"}},
		{"unknown variable", "`make build FORMER=3`", []string{"the Makefile has no variable FORMER"}},
		{"make among packages", "```\napt-get install make git\n```\n", nil},
		{"flags", "```\nbin/runner --output x -o y --by-constant \\\n  --scenario z | tail --lines 3\n```\n", nil},
		{"unknown flag", "```\nx=1; bin/runner one \\\n  --former x &\n```\n", []string{"runner has no flag --former"}},
		{"unknown flag in a span over lines", "`runner [--output x |\n--former y]`", []string{"runner has no flag --former"}},
		{"flag of both daemons", "`deckpulley-gateway --zone z` `deckpulley-control --zone z --data-folder f`", nil},
		{"flag of the other daemon", "`deckpulley-gateway --data-folder f`", []string{"deckpulley-gateway has no flag --data-folder"}},
		{"flag without its program", "With `runner`: `--output x`", nil},
		{"flag of no program of the page", "With `--output x`", []string{"no program that the page names has the flag --output"}},
		{"flag of another program in a substitution", "```\ncurl --data \"$(runner --former)\"\n```\n", []string{"runner has no flag --former"}},
		{"script", "`scripts/walk.sh --prove`", nil},
		{"unknown flag of a script", "`scripts/walk.sh --former`", []string{"scripts/walk.sh has no flag --former"}},
		{"unknown script", "`scripts/former.sh now`", []string{"there is no scripts/former.sh"}},
		{"built program", "`bin/runner now`, `bin/planted/`", nil},
		{"unknown built program", "`bin/former now`", []string{"there is no bin/former"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			code, err := snippets(test.text)
			if err != nil {
				t.Fatal(err)
			}
			var got []string
			report := func(_ int, format string, arguments ...any) { got = append(got, fmt.Sprintf(format, arguments...)) }
			checked := checker{text: test.text, code: code, parsed: parsed, has: has, report: report}
			checked.check()
			if !slices.EqualFunc(got, test.want, strings.Contains) {
				t.Errorf("reports %q, want %q", got, test.want)
			}
		})
	}
}

func TestSnippets(t *testing.T) {
	code, err := snippets("One `a` and `b\nc`.\n\n| `d` |\n| `e` |\n\n```go\nf\ng\n```\n")
	if err != nil {
		t.Fatal(err)
	}
	want := []snippet{
		{line: line{1, "a"}},
		{line: line{1, "b c"}},
		{line: line{4, "d"}},
		{line: line{5, "e"}},
		{line: line{8, "f\ng\n"}, language: "go", fenced: true},
	}
	if !slices.Equal(code, want) {
		t.Errorf("snippets %v, want %v", code, want)
	}
	for _, text := range []string{"A `lone backtick.", "```\nwithout an end\n"} {
		if _, err := snippets(text); err == nil {
			t.Errorf("snippets accepts %q, want an error", text)
		}
	}
}

// TestExceptionsAreNeeded checks that each exception in notOurs occurs in a page and has a
// reason.
func TestExceptionsAreNeeded(t *testing.T) {
	named := make(map[string]bool)
	for _, name := range namedPages(t) {
		code, err := snippets(readText(t, name))
		if err != nil {
			t.Fatal(err)
		}
		for _, s := range code {
			named[s.text] = true
		}
	}
	for exception, reason := range notOurs {
		if !named[exception] || reason == "" {
			t.Errorf("exception %s occurs in no page or has no reason", exception)
		}
	}
}
