package ticket

// State is the state of a ticket's request, as far as the owner knows.
type State uint8

// The states of a request. It is new, then running, then in one of the other four,
// which are final.
const (
	// StateNew means that the ticket was issued and not yet used.
	StateNew State = iota + 1
	// StateRunning means that the request was admitted and has no result yet.
	StateRunning
	// StateCompleted means that the request ran and its answer was complete.
	StateCompleted
	// StateRejected means that the request never ran and never will.
	StateRejected
	// StateFailed means that the request ran, at least in part, and failed.
	StateFailed
	// StateUnknown means that it is not known whether the request ran.
	StateUnknown
)

// Final reports whether the state is one that does not change any more.
func (s State) Final() bool { return s >= StateCompleted }

// String returns the name of the state, "invalid" if it is none.
func (s State) String() string {
	names := [...]string{"", "new", "running", "answered", "refused", "failed", "unknown"}
	if int(s) >= len(names) || s == 0 {
		return "invalid"
	}
	return names[s]
}

// UseResult is the result of presenting a ticket to its owner's table.
type UseResult uint8

const (
	// UseStart means that the caller must run the request. There is at most one such
	// result for a ticket.
	UseStart UseResult = iota + 1
	// UseJoin means that the request is running, or has its result.
	UseJoin
	// UseExpired means that the ticket was presented for the first time after its
	// expiry. The request never ran and never will.
	UseExpired
	// UseUnknown means that the ticket is not in the table any more, so that it is
	// not known whether the request ran.
	UseUnknown
	// UseConflict means that the ticket differs from the one issued, or was used for
	// a request with other contents. This request never runs; the other may have.
	UseConflict
)
