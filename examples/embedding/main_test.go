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

// page is the documentation with the output and excerpts of the program.
const page = "../../docs/EMBEDDING.md"

// wantOutput is the output of the program.
const wantOutput = `claim: NOERROR, serial 2
claim: YXDOMAIN, serial 2
lease: valid, serial 2 in force everywhere: held by anna
primary lost, lease valid: false
release at the successor: NOERROR, serial 3
`

// TestRun runs the program in virtual time.
func TestRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), runTimeout)
		defer cancel()
		var output bytes.Buffer
		if err := run(ctx, &output); err != nil {
			t.Fatalf("%v after:\n%s", err, &output)
		}
		if difference := cmp.Diff(wantOutput, output.String()); difference != "" {
			t.Error(difference)
		}
	})
}

// TestPageMatchesProgram finds the output of the program in the page, and every
// Go excerpt of the page in the program.
func TestPageMatchesProgram(t *testing.T) {
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(text), wantOutput) {
		t.Error("the page shows another output")
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
		t.Error("the page has no excerpt")
	}
	for _, excerpt := range excerpts {
		if !strings.Contains(program.String(), excerpt[1]) {
			t.Errorf("not in the program:\n%s", excerpt[1])
		}
	}
}
