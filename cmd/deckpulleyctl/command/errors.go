package command

import (
	"errors"

	"github.com/deckpulley/deckpulley/api"
)

// Exit statuses. Scripts depend on them, so they must not change.
const (
	exitSuccess     = 0
	exitRefused     = 1
	exitUsage       = 2
	exitConflict    = 3
	exitUnknown     = 4
	exitUnreachable = 5
	exitDegraded    = 6
)

// errDegraded is returned by status --check if the fleet is degraded.
var errDegraded = errors.New("the fleet is degraded")

// usageError is an error on the command line or in a file, found before anything was
// sent.
type usageError struct{ cause error }

// Error returns the text of the cause.
func (e *usageError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *usageError) Unwrap() error { return e.cause }

// exitStatus returns the exit status for the result of a command. An error that is not
// an *api.Error is treated as a usage error, found before anything was sent.
func exitStatus(err error) int {
	var usage *usageError
	var apiError *api.Error
	switch {
	case err == nil:
		return exitSuccess
	case errors.Is(err, errDegraded):
		return exitDegraded
	case errors.As(err, &usage), !errors.As(err, &apiError):
		return exitUsage
	case apiError.Code == api.CodeVersionConflict || apiError.Code == api.CodeOperationConflict:
		return exitConflict
	case apiError.Outcome == api.OutcomeUnknown:
		return exitUnknown
	case apiError.Code == api.CodeNoPrimary:
		return exitUnreachable
	default:
		return exitRefused
	}
}
