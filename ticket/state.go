package ticket

// State is the state of a ticket's request as known to the ticket's owner.
type State uint8

// The states of a request. A request is new, then running, then in one of the other
// four states, which are final.
const (
	// StateNew means that the ticket was issued but not used yet.
	StateNew State = iota + 1
	// StateRunning means that the ticket was used and the request has no result yet.
	StateRunning
	// StateCompleted means that the request ran and its answer is complete.
	StateCompleted
	// StateRejected means that the request never ran and never will.
	StateRejected
	// StateFailed means that the request ran, at least in part, and failed.
	StateFailed
	// StateUnknown means that it is not known whether the request ran.
	StateUnknown
)

// Final reports whether the state is final, that is, never changes again.
func (s State) Final() bool { return s >= StateCompleted }

// String returns the name of the state, or "invalid" for an undefined value.
func (s State) String() string {
	names := [...]string{"", "new", "running", "answered", "refused", "failed", "unknown"}
	if int(s) >= len(names) || s == 0 {
		return "invalid"
	}
	return names[s]
}

// UseResult is the result of Table.Use.
type UseResult uint8

const (
	// UseStart means that the caller must run the request. It is returned at most once
	// for each ticket.
	UseStart UseResult = iota + 1
	// UseJoin means that the request was started before: it is running or has a result.
	UseJoin
	// UseExpired means that the ticket was used for the first time after it had expired.
	// The request never ran and never will.
	UseExpired
	// UseUnknown means that the ticket is not in the table, or no longer, so that it is
	// not known whether the request ran.
	UseUnknown
	// UseConflict means that the ticket differs from the one that was issued for the
	// request ID, or that it was used before for a request with other contents. The
	// request presented now never runs; the earlier one may have run.
	UseConflict
)
