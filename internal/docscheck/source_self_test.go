package docscheck

import (
	"errors"
	"slices"
	"testing"
	"testing/fstest"
)

const sampleSource = `package sample

import "log/slog"

const Limit = 3

var ErrFull = errors.New("full")

type Store interface{ Load() error }

type Node[T any] struct {
	log   *slog.Logger
	depth int
}

func New() *Node[int] { return nil }

func (n *Node[T]) Start() {
	n.log.Info("started", "depth", n.depth)
	n.log.Debug("not listed")
	n.report("not a log message")
	go func() { n.log.WarnContext(nil, "late") }()
}

func (n Node[T]) depthOf() int { return n.depth }
`

func sampleModule(t *testing.T) source {
	t.Helper()
	parsed, err := parseSource(fstest.MapFS{
		"sample/sample.go":             {Data: []byte(sampleSource)},
		"sample/sample_test.go":        {Data: []byte("package sample\n\nfunc OnlyInATest() {}\n")},
		"sample/testdata/broken.go":    {Data: []byte("not Go")},
		".tools/broken.go":             {Data: []byte("not Go")},
		"internal/deep/sample/deep.go": {Data: []byte("package sample\n\nfunc Deep() {}\n")},
		"internal/alone/alone.go":      {Data: []byte("package alone\n\nfunc Only() {}\n")},
		"a/twin/twin.go":               {Data: []byte("package twin\n\nfunc A() {}\n")},
		"b/twin/twin.go":               {Data: []byte("package twin\n\nfunc B() {}\n")},
		"cmd/program-one/main.go":      {Data: []byte("package main\n\nfunc main() {}\n")},
	})
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

func TestResolve(t *testing.T) {
	parsed := sampleModule(t)
	tests := []struct {
		name, span, folder, key string
		failure                 error
	}{
		{name: "function", span: "sample.New", folder: "sample", key: "New"},
		{name: "constant", span: "sample.Limit", folder: "sample", key: "Limit"},
		{name: "variable", span: "sample.ErrFull", folder: "sample", key: "ErrFull"},
		{name: "generic type", span: "sample.Node", folder: "sample", key: "Node"},
		{name: "method of a pointer", span: "sample.(*Node).Start", folder: "sample", key: "Node.Start"},
		{name: "unexported method of a value", span: "sample.(Node).depthOf", folder: "sample", key: "Node.depthOf"},
		{name: "field", span: "sample.Node.depth", folder: "sample", key: "Node.depth"},
		{name: "method of an interface", span: "sample.Store.Load", folder: "sample", key: "Store.Load"},
		{name: "internal package of another one's name", span: "internal/deep/sample.Deep", folder: "internal/deep/sample", key: "Deep"},
		{name: "internal package by its name alone", span: "alone.Only", folder: "internal/alone", key: "Only"},
		{name: "program by its folder", span: "cmd/program-one.main", folder: "cmd/program-one", key: "main"},
		{name: "unknown function", span: "sample.Old", failure: errNotDeclared},
		{name: "unknown method", span: "sample.(*Node).Stop", failure: errNotDeclared},
		{name: "unknown field", span: "sample.Node.width", failure: errNotDeclared},
		{name: "field as a method", span: "sample.(*Node).depth", failure: errNotDeclared},
		{name: "pointer for a value", span: "sample.(*Node).depthOf", failure: errReceiver},
		{name: "value for a pointer", span: "sample.(Node).Start", failure: errReceiver},
		{name: "only in a test", span: "sample.OnlyInATest", failure: errNotDeclared},
		{name: "unknown package", span: "elsewhere.New", failure: errNoPackage},
		{name: "program by the name of its package", span: "main.main", failure: errNoPackage},
		{name: "several packages of one name", span: "twin.A", failure: errAmbiguousPackage},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			parsedReference, isReference := parseReference(test.span)
			if !isReference {
				t.Fatalf("parseReference rejects %q, want a reference", test.span)
			}
			found, key, err := parsed.resolve(parsedReference)
			if !errors.Is(err, test.failure) {
				t.Fatalf("error %v, want %v", err, test.failure)
			}
			if err == nil && (found.folder != test.folder || key != test.key) {
				t.Errorf("found %s in %s, want %s in %s", key, found.folder, test.key, test.folder)
			}
		})
	}
}

func TestParseReferenceLeavesOtherSpans(t *testing.T) {
	for _, span := range []string{"main.go", "settings.toml", "control", "deckpulley_control_term", "PUT /v1/configuration", "lease ran out", "--log-level", "Node.Start"} {
		if parsed, isReference := parseReference(span); isReference {
			t.Errorf("parseReference accepts %q as a reference to package %s", span, parsed.packages)
		}
	}
}

func TestLoggedMessages(t *testing.T) {
	got := sampleModule(t)["sample"].messages["Node.Start"]
	if want := []string{"started", "late"}; !slices.Equal(got, want) {
		t.Errorf("messages %q, want %q", got, want)
	}
}

func TestHasMember(t *testing.T) {
	parsed := sampleModule(t)
	for member, want := range map[string]bool{"Start": true, "depth": true, "Stop": false} {
		if got := parsed.hasMember("Node", member); got != want {
			t.Errorf("Node.%s declared: %t, want %t", member, got, want)
		}
	}
}
