package settings

import (
	"errors"
	"fmt"
	"os"
	"strings"
)

// FieldError is a problem with one field of a settings file.
type FieldError struct {
	// File is the path of the settings file, or "flags" if there is none.
	File string
	// Field is the dotted path of the field. It is empty if the problem is not with one
	// field but with the file as a whole.
	Field string
	// Reason describes the problem.
	Reason string
}

// Error returns the file, the field and the reason in one line.
func (e *FieldError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("%s: %s", e.File, e.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", e.File, e.Field, e.Reason)
}

// Errors has all problems of one settings file, in the order of their lines or, for
// validation, in the order of the checks. An Errors that is returned is never empty.
type Errors []*FieldError

// Error returns the problems, one per line.
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

// withoutPath returns the cause of an error of package os, without the operation and
// the path. The caller adds the path to its own message.
func withoutPath(err error) error {
	var pathError *os.PathError
	if errors.As(err, &pathError) {
		return pathError.Err
	}
	return err
}
