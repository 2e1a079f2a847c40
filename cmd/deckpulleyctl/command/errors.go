package command

import (
	"errors"

	"github.com/deckpulley/deckpulley/api"
)

// Exit statuses. They are part of the interface: scripts compare them.
const (
	exitDone        = 0
	exitRefused     = 1
	exitUsage       = 2
	exitConflict    = 3
	exitUnknown     = 4
	exitUnreachable = 5
	exitDegraded    = 6
)

// errDegraded is the result of status --check if something is degraded.
var errDegraded = errors.New("something is degraded")

// usageError is a mistake on the command line or in a file; nothing was sent.
type usageError struct{ cause error }

// Error returns the text of the cause.
func (e *usageError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *usageError) Unwrap() error { return e.cause }

// exitStatus returns the exit status for the result of a command. An error that is
// no *api.Error was found before anything was sent.
func exitStatus(err error) int {
	var usage *usageError
	var apiError *api.Error
	switch {
	case err == nil:
		return exitDone
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
