package configuration

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// MaxDocumentBytes bounds the length of a document's text, in bytes.
const MaxDocumentBytes = 2 << 20

// Parse parses a document from YAML or JSON. It is strict: an unknown or repeated
// field, a value of the wrong type, an alias or a second document is an error.
// The error is a *DocumentError. Validate checks the content of the document.
func Parse(text string) (*Document, error) {
	var problems problemList
	if len(text) > MaxDocumentBytes {
		problems.add(Problem{Reason: fmt.Sprintf("document of %d bytes, at most %d", len(text), MaxDocumentBytes)})
		return nil, problems.err()
	}
	root := parseNode(text, &problems)
	if err := problems.err(); err != nil {
		return nil, err
	}
	document := &Document{lines: map[string]int{}}
	decoder := &decoder{problems: &problems, lines: document.lines}
	decoder.decode(root, "", reflect.ValueOf(document).Elem())
	if err := problems.err(); err != nil {
		return nil, err
	}
	return document, nil
}

// Load parses and validates a document. The error is a *DocumentError.
func Load(text string) (*Document, error) {
	document, err := Parse(text)
	if err != nil {
		return nil, err
	}
	if err := document.Validate(); err != nil {
		return nil, err
	}
	return document, nil
}

// parseNode returns the root node of the only document of a text. The result is invalid
// if it adds a problem.
func parseNode(text string, problems *problemList) *yaml.Node {
	if json.Valid([]byte(text)) {
		text = strings.ReplaceAll(text, "\t", " ") // white space in JSON, but not everywhere in YAML
	}
	reader := yaml.NewDecoder(strings.NewReader(text))
	var document, second yaml.Node
	if err := reader.Decode(&document); err != nil {
		problems.add(syntaxProblem(text, err))
		return nil
	}
	switch err := reader.Decode(&second); {
	case err == nil:
		problems.add(Problem{Line: second.Line, Reason: "more than one document"})
	case !errors.Is(err, io.EOF):
		problems.add(syntaxProblem(text, err))
	}
	return document.Content[0]
}

var syntaxLine = regexp.MustCompile(`^(?:line (\d+): )?(.*)$`)

// grammarError is the prefix of the errors of the YAML library's parser. Their line
// numbers start at 0 and are omitted on the first line, while those of the library's
// scanner start at 1. The line is that where the invalid list or mapping begins, or
// where the text ends.
const grammarError = "did not find expected"

func syntaxProblem(text string, err error) Problem {
	if errors.Is(err, io.EOF) {
		return Problem{Reason: "document is empty"}
	}
	match := syntaxLine.FindStringSubmatch(strings.TrimPrefix(err.Error(), "yaml: "))
	if match == nil {
		return Problem{Reason: "syntax: " + err.Error()}
	}
	line, _ := strconv.Atoi(match[1]) // digits or nothing
	if strings.HasPrefix(match[2], grammarError) {
		line = min(line+1, strings.Count(strings.TrimRight(text, "\n"), "\n")+1)
	}
	return Problem{Line: line, Reason: "syntax: " + match[2]}
}
