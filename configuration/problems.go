package configuration

import (
	"fmt"
	"slices"
	"strings"
)

// MaxProblems bounds the number of problems that are reported for one document.
const MaxProblems = 100

// Problem is one error in a document.
type Problem struct {
	// Line is the line number in the text, from 1; 0 if the document was not parsed from
	// a text.
	Line int `json:"line"`
	// Field is the path of the field, such as "routes.explain-long.service";
	// empty for the whole document.
	Field string `json:"field"`
	// Reason describes the error.
	Reason string `json:"reason"`
	// Nearest is the valid name that is most similar to an unknown one, empty if none is
	// similar.
	Nearest string `json:"nearest,omitempty"`
}

// String formats the problem on one line.
func (p Problem) String() string {
	var text strings.Builder
	if p.Line > 0 {
		fmt.Fprintf(&text, "line %d: ", p.Line)
	}
	if p.Field != "" {
		fmt.Fprintf(&text, "%s: ", p.Field)
	}
	text.WriteString(p.Reason)
	if p.Nearest != "" {
		fmt.Fprintf(&text, " (nearest: %q)", p.Nearest)
	}
	return text.String()
}

// DocumentError is the error for an invalid document. It lists its problems.
type DocumentError struct {
	// Problems are the first MaxProblems problems, sorted by line.
	Problems []Problem
	// Omitted is the number of further problems.
	Omitted int
}

// Error formats each problem on a line of its own.
func (e *DocumentError) Error() string {
	var text strings.Builder
	text.WriteString("invalid configuration")
	for _, problem := range e.Problems {
		text.WriteString("\n\t")
		text.WriteString(problem.String())
	}
	if e.Omitted > 0 {
		fmt.Fprintf(&text, "\n\tand %d more", e.Omitted)
	}
	return text.String()
}

// problemList collects the problems of one document. Its zero value is an empty list.
type problemList struct {
	problems []Problem
	omitted  int
}

// add appends a problem. Beyond MaxProblems it only counts the problem.
func (l *problemList) add(problem Problem) {
	if len(l.problems) >= MaxProblems {
		l.omitted++
		return
	}
	l.problems = append(l.problems, problem)
}

// addUnknown adds the problem of an unknown name, with the nearest valid name.
func (l *problemList) addUnknown(problem Problem, name string, valid []string) {
	if len(l.problems) < maxNearestSearches {
		problem.Nearest = nearest(name, valid)
	}
	l.add(problem)
}

// err returns the problems as a *DocumentError, nil if there are none.
func (l *problemList) err() error {
	if len(l.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(l.problems, func(a, b Problem) int { return a.Line - b.Line })
	return &DocumentError{Problems: l.problems, Omitted: l.omitted}
}
