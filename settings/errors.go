package settings

import (
	"errors"
	"fmt"
	"os"
	"strings"
)

// FieldError is what is wrong with one field of a settings file.
type FieldError struct {
	// File is the path of the settings file, "flags" without one.
	File string
	// Field is the dotted path of the field, empty for the file as a whole.
	Field string
	// Reason is what is wrong with it.
	Reason string
}

// Error returns file, field and reason in one line.
func (e *FieldError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("%s: %s", e.File, e.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", e.File, e.Field, e.Reason)
}

// Errors are all problems of one settings file, in the order of the file or of the
// checks. It is never empty.
type Errors []*FieldError

// Error returns the problems, one a line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, problem := range e {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

func (s *Settings) fieldError(field, reason string) *FieldError {
	return &FieldError{File: s.File(), Field: field, Reason: reason}
}

// withoutPath returns the cause of an error of package os, without the operation
// and path, which the caller names.
func withoutPath(err error) error {
	var pathError *os.PathError
	if errors.As(err, &pathError) {
		return pathError.Err
	}
	return err
}
