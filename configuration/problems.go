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
	// Line is where, from 1; zero if the document was not parsed from a text.
	Line int `json:"line"`
	// Field is the path of the field, such as "routes.explain-long.service";
	// empty for the whole document.
	Field string `json:"field"`
	// Reason says what is wrong.
	Reason string `json:"reason"`
	// Nearest is the valid name nearest to the one written, if any is near.
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
	// Problems holds the problems in the order of their lines, at most MaxProblems.
	Problems []Problem
	// Omitted counts the problems beyond those.
	Omitted int
}

// Error writes every problem on a line of its own.
func (p *DocumentError) Error() string {
	var text strings.Builder
	text.WriteString("invalid configuration")
	for _, problem := range p.Problems {
		text.WriteString("\n\t")
		text.WriteString(problem.String())
	}
	if p.Omitted > 0 {
		fmt.Fprintf(&text, "\n\tand %d more", p.Omitted)
	}
	return text.String()
}

// report collects problems.
type report struct {
	list    []Problem
	omitted int
}

func (r *report) add(problem Problem) {
	if len(r.list) >= MaxProblems {
		r.omitted++
		return
	}
	r.list = append(r.list, problem)
}

// addUnknown reports a name that is not among the valid ones.
func (r *report) addUnknown(problem Problem, name string, valid []string) {
	if len(r.list) < maxNearestSearches {
		problem.Nearest = nearest(name, valid)
	}
	r.add(problem)
}

// err returns the problems as an error, nil if there are none.
func (r *report) err() error {
	if len(r.list) == 0 {
		return nil
	}
	slices.SortStableFunc(r.list, func(a, b Problem) int { return a.Line - b.Line })
	return &DocumentError{Problems: r.list, Omitted: r.omitted}
}

// Bounds of the search for the nearest name, whose cost grows with the number of
// names and the square of their length.
const (
	maxNearestNames    = 1024
	maxNearestBytes    = 64
	maxNearestSearches = 20 // problems of one document that get a search
)

// nearest returns the valid name with the fewest edits, the first in order among
// equals. It returns "" if more than a third of the name would have to change, or
// if the search would pass its bounds.
func nearest(name string, valid []string) string {
	if len(valid) > maxNearestNames || len(name) > maxNearestBytes {
		return ""
	}
	best, bestDistance := "", max(1, len(name)/3)+1
	for _, candidate := range slices.Sorted(slices.Values(valid)) {
		if abs(len(candidate)-len(name)) >= bestDistance {
			continue
		}
		if distance := editDistance(name, candidate); distance < bestDistance {
			best, bestDistance = candidate, distance
		}
	}
	return best
}

func abs(value int) int { return max(value, -value) }

// editDistance counts the insertions, deletions, substitutions and swaps of
// neighbours that turn one text into the other.
func editDistance(from, to string) int {
	beforeLast := make([]int, len(to)+1)
	last := make([]int, len(to)+1)
	row := make([]int, len(to)+1)
	for j := range last {
		last[j] = j
	}
	for i := 1; i <= len(from); i++ {
		row[0] = i
		for j := 1; j <= len(to); j++ {
			substitution := last[j-1]
			if from[i-1] != to[j-1] {
				substitution++
			}
			row[j] = min(last[j]+1, row[j-1]+1, substitution)
			if i > 1 && j > 1 && from[i-1] == to[j-2] && from[i-2] == to[j-1] {
				row[j] = min(row[j], beforeLast[j-2]+1)
			}
		}
		beforeLast, last, row = last, row, beforeLast
	}
	return last[len(to)]
}
