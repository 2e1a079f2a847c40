package configuration

import (
	"fmt"
	"slices"
	"strings"
)

// MaxProblems bounds how many problems of one document are reported.
const MaxProblems = 100

// Problem is one thing that is wrong with a document.
type Problem struct {
	// Line is the line of the text, from 1; 0 if the document was not parsed from one.
	Line int `json:"line"`
	// Field is the path of the field, such as "routes.explain-long.service";
	// empty for the whole document.
	Field string `json:"field"`
	// Reason says what is wrong.
	Reason string `json:"reason"`
	// Nearest is the valid name most like the one written, empty if none is.
	Nearest string `json:"nearest,omitempty"`
}

// String writes the problem on one line.
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

// DocumentError is the error of a document that is not valid.
type DocumentError struct {
	// Problems are in the order of their lines, at most MaxProblems.
	Problems []Problem
	// Omitted counts the problems beyond those.
	Omitted int
}

// Error writes every problem on a line of its own.
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

// problemList collects the problems of one document. Its zero value is empty.
type problemList struct {
	problems []Problem
	omitted  int
}

// add appends a problem, or counts it once there are MaxProblems.
func (l *problemList) add(problem Problem) {
	if len(l.problems) >= MaxProblems {
		l.omitted++
		return
	}
	l.problems = append(l.problems, problem)
}

// addUnknown is add for a name that is not among the valid ones.
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
