package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/google/go-cmp/cmp"
)

// page is the documentation page that shows the output and excerpts of the program.
const page = "../../docs/EMBEDDING.md"

// wantOutput is the expected output of the program.
const wantOutput = `claim: NOERROR, serial 2
claim: YXDOMAIN, serial 2
lease: valid, serial 2 in force everywhere: held by anna
primary lost, lease valid: false
release at the successor: NOERROR, serial 3
`

// TestRun runs the program in virtual time and compares its output.
func TestRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), runTimeout)
		defer cancel()
		var output bytes.Buffer
		if err := run(ctx, &output); err != nil {
			t.Fatalf("run: %v; output so far:\n%s", err, &output)
		}
		if difference := cmp.Diff(wantOutput, output.String()); difference != "" {
			t.Error(difference)
		}
	})
}

// TestPageMatchesProgram verifies that the page contains the output of the program,
// and that the source contains every Go excerpt of the page.
func TestPageMatchesProgram(t *testing.T) {
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(text), wantOutput) {
		t.Error("the page does not contain the output of the program")
	}
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	var program strings.Builder
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		source, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		program.Write(source)
	}
	excerpts := regexp.MustCompile("(?s)```go\n(.*?)```").FindAllStringSubmatch(string(text), -1)
	if len(excerpts) == 0 {
		t.Error("the page contains no Go excerpt")
	}
	for _, excerpt := range excerpts {
		if !strings.Contains(program.String(), excerpt[1]) {
			t.Errorf("the source does not contain this excerpt of the page:\n%s", excerpt[1])
		}
	}
}
