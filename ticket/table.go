package ticket

import (
	"container/heap"
	"container/list"
	"errors"
	"time"
)

// Errors of Table.Issue.
var (
	// ErrFull means that the table holds TableConfig.MaxTickets tickets. No ticket is
	// removed early to make room, because its request could then run twice.
	ErrFull = errors.New("ticket: table is full")
	// ErrConflict means that a ticket with another home rule, or another value of
	// Idempotent, was issued for the request ID.
	ErrConflict = errors.New("ticket: request ID is in use for another request")
	// ErrRejected means that the request can no longer run: it was rejected, or its
	// ticket expired unused.
	ErrRejected = errors.New("ticket: request was rejected or its ticket expired unused")
)

// Run is one run of a request together with its output. The table stores it with the
// ticket.
type Run interface {
	// RetainedBytes returns the memory used by the retained output, in bytes.
	RetainedBytes() int
	// Release discards the retained output. The table still holds the state.
	Release()
}

// minSlack is the minimum time for which a ticket stays in the table after its expiry,
// so that a first use that comes too late still gets UseExpired, which confirms that
// the request never ran.
const minSlack = time.Second

// TableConfig sets the limits of a Table.
type TableConfig struct {
	// MaxTickets is the maximum number of tickets in the table.
	MaxTickets int
	// MaxRetainedBytes is the maximum total size of the retained output of finished
	// runs. The output of the run that finished first is released first.
	MaxRetainedBytes int
	// Slack is how long a ticket stays in the table after its expiry. Less than a second
	// selects a second.
	Slack time.Duration
}

// Table holds the tickets that one owner issued and the states of their requests. It
// is not safe for concurrent use. Times are on the owner's monotonic clock.
//
// A request starts at most once: only the first use of its ticket, before the ticket
// expires, starts it, and the ticket stays in the table until after it has expired.
type Table[R Run] struct {
	config   TableConfig
	entries  map[string]*entry[R] // by request ID
	expiries expiryHeap[R]
	// retainedBytes is the sum of retainedBytes of the entries in retaining.
	retainedBytes int
	// retaining lists the entries with retained output, the one that finished first at
	// the front.
	retaining *list.List
}

// entry is one ticket in the table with the state of its request.
type entry[R Run] struct {
	ticket        Ticket
	state         State
	digest        uint64        // of the request's contents; set at the first use
	run           R             // set at the first use
	retainedBytes int           // size of the run's output when the request finished
	expiresAt     time.Duration // time from which on the entry may be removed
	heapIndex     int           // index in Table.expiries
	element       *list.Element // element of Table.retaining; nil if no output is retained
}

// NewTable returns an empty table with the limits of config.
func NewTable[R Run](config TableConfig) *Table[R] {
	config.Slack = max(config.Slack, minSlack)
	return &Table[R]{
		config:    config,
		entries:   make(map[string]*entry[R]),
		retaining: list.New(),
	}
}

// Issue adds a ticket to the table and returns the ticket to give to the caller. If the
// table already holds a ticket for the request ID, Issue adds nothing and returns that
// one. The error is ErrFull, ErrConflict or ErrRejected.
func (t *Table[R]) Issue(now time.Duration, ticket Ticket) (Ticket, error) {
	t.Expire(now)
	if existing, ok := t.entries[ticket.RequestID]; ok {
		return existing.reissue(now, ticket)
	}
	if len(t.entries) >= t.config.MaxTickets {
		return Ticket{}, ErrFull
	}
	added := &entry[R]{ticket: ticket, state: StateNew, expiresAt: ticket.Expires + t.config.Slack}
	t.entries[ticket.RequestID] = added
	heap.Push(&t.expiries, added)
	return ticket, nil
}

// reissue returns the entry's ticket if it has the properties of the requested one and
// its request may still run or has run. Otherwise the error is ErrConflict or ErrRejected.
func (e *entry[R]) reissue(now time.Duration, requested Ticket) (Ticket, error) {
	if e.ticket.HomeRule != requested.HomeRule || e.ticket.Idempotent != requested.Idempotent {
		return Ticket{}, ErrConflict
	}
	expiredUnused := e.state == StateNew && now >= e.ticket.Expires
	if expiredUnused || e.state == StateRejected {
		return Ticket{}, ErrRejected
	}
	return e.ticket, nil
}

// Use presents a ticket of this owner, with a digest of the request's contents. If the
// result is UseStart, Use has called begin, added the run that it returned to the table
// and returns that run. If it is UseJoin, the returned run was started before and is in
// progress or finished. With any other result the returned run is the zero value.
func (t *Table[R]) Use(now time.Duration, presented Ticket, digest uint64, begin func() R) (UseResult, R) {
	t.Expire(now)
	var zero R
	e, ok := t.entries[presented.RequestID]
	if !ok {
		// The entry was removed or was never added. The ticket may have been used before
		// the removal.
		return UseUnknown, zero
	}
	if e.ticket != presented {
		return UseConflict, zero
	}
	if e.state == StateNew {
		if now >= presented.Expires {
			return UseExpired, zero
		}
		e.state = StateRunning
		e.digest = digest
		e.run = begin()
		return UseStart, e.run
	}
	if e.digest != digest {
		return UseConflict, zero
	}
	return UseJoin, e.run
}

// Finish records the final state of a running request and reports whether it did. It
// changes nothing if the request is not running or the state is not final, so a final
// state never changes.
func (t *Table[R]) Finish(requestID string, state State) bool {
	e, ok := t.entries[requestID]
	if !ok || e.state != StateRunning || !state.Final() {
		return false
	}
	e.state = state
	e.retainedBytes = e.run.RetainedBytes()
	t.retainedBytes += e.retainedBytes
	e.element = t.retaining.PushBack(e)
	t.releaseOldest()
	return true
}

// releaseOldest releases the output of the runs that finished first, until the
// retained output is within MaxRetainedBytes.
func (t *Table[R]) releaseOldest() {
	for t.retainedBytes > t.config.MaxRetainedBytes {
		oldest := t.retaining.Front()
		if oldest == nil {
			return
		}
		t.release(oldest.Value.(*entry[R])) //nolint:forcetypeassert // only Finish pushes to the list, and only entries
	}
}

// release discards the retained output of an entry, if it has any.
func (t *Table[R]) release(e *entry[R]) {
	if e.element == nil {
		return
	}
	t.retaining.Remove(e.element)
	e.element = nil
	t.retainedBytes -= e.retainedBytes
	e.run.Release()
}

// State returns the state of a request and reports whether the table holds its ticket.
func (t *Table[R]) State(requestID string) (State, bool) {
	e, ok := t.entries[requestID]
	if !ok {
		return 0, false
	}
	return e.state, true
}

// Run returns the run of a request and reports whether the request was started.
func (t *Table[R]) Run(requestID string) (R, bool) {
	e, ok := t.entries[requestID]
	if !ok || e.state == StateNew {
		var zero R
		return zero, false
	}
	return e.run, true
}

// Len returns the number of tickets in the table.
func (t *Table[R]) Len() int { return len(t.entries) }

// Unused returns the number of tickets that have neither been used nor expired.
func (t *Table[R]) Unused(now time.Duration) int {
	unused := 0
	for _, e := range t.entries {
		if e.state == StateNew && now < e.ticket.Expires {
			unused++
		}
	}
	return unused
}

// RetainedBytes returns the total size of the retained output in bytes.
func (t *Table[R]) RetainedBytes() int { return t.retainedBytes }

// Expire removes each ticket once the slack after its expiry has passed. The removal of
// a running request's ticket is postponed by a slack at a time until the request has a
// result.
func (t *Table[R]) Expire(now time.Duration) {
	for len(t.expiries) > 0 && t.expiries[0].expiresAt <= now {
		first := t.expiries[0]
		if first.state == StateRunning {
			first.expiresAt = now + t.config.Slack
			heap.Fix(&t.expiries, 0)
			continue
		}
		t.release(first)
		heap.Pop(&t.expiries)
		delete(t.entries, first.ticket.RequestID)
	}
}
