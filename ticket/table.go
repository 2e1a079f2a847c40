package ticket

import (
	"container/heap"
	"container/list"
	"errors"
	"time"
)

// Errors of Table.Issue.
var (
	// ErrFull means that the table holds as many tickets as it may. No ticket is
	// removed early to make room, since its request could then run twice.
	ErrFull = errors.New("ticket: table is full")
	// ErrConflict means that the request ID was issued with other properties.
	ErrConflict = errors.New("ticket: request id is in use for another request")
	// ErrClosed means that the request was rejected, or that its ticket expired
	// unused.
	ErrClosed = errors.New("ticket: request was rejected for good")
)

// Run is the run of a request and its output, which the owner keeps with the
// ticket.
type Run interface {
	// RetainedBytes returns the memory that the retained output takes.
	RetainedBytes() int
	// Release drops the retained output. The state stays in the table.
	Release()
}

// minSlack is the least time for which a ticket is remembered beyond its expiry,
// so that a use that comes too late still learns that the request never ran.
const minSlack = time.Second

// TableConfig bounds a table.
type TableConfig struct {
	// MaxTickets is the maximum number of tickets in the table.
	MaxTickets int
	// MaxRetainedBytes bounds the retained output of finished runs; the oldest is
	// released first.
	MaxRetainedBytes int
	// Slack is how long a ticket is remembered beyond its expiry; at least a
	// second.
	Slack time.Duration
}

// Table holds the tickets that one owner issued, with the state of their requests.
// It is not safe for concurrent use. Times are on the owner's monotonic clock.
//
// A request starts at most once: only the first use of a ticket before its expiry
// starts it, and the ticket is remembered for longer than it can be used.
type Table[R Run] struct {
	config   TableConfig
	entries  map[string]*entry[R] // by request ID
	expiries expiryHeap[R]
	// retainedBytes is the sum of the entries in retaining.
	retainedBytes int
	// retaining lists the entries with retained output, oldest result first.
	retaining *list.List
}

// entry is one ticket in the table.
type entry[R Run] struct {
	ticket        Ticket
	state         State
	digest        uint64 // of the request's contents; set from StateRunning on
	run           R      // set from StateRunning on
	retainedBytes int
	expiresAt     time.Duration // when the entry may be removed
	heapIndex     int           // position in Table.expiries
	element       *list.Element // in Table.retaining; nil without retained output
}

// NewTable returns an empty table.
func NewTable[R Run](config TableConfig) *Table[R] {
	config.Slack = max(config.Slack, minSlack)
	return &Table[R]{
		config:    config,
		entries:   make(map[string]*entry[R]),
		retaining: list.New(),
	}
}

// Issue adds a ticket to the table and returns the one to hand out: for a request
// ID that the table knows it is the ticket issued first. The error is ErrFull,
// ErrConflict or ErrClosed.
func (t *Table[R]) Issue(now time.Duration, ticket Ticket) (Ticket, error) {
	t.Expire(now)
	if known, ok := t.entries[ticket.RequestID]; ok {
		return known.reissue(now, ticket)
	}
	if len(t.entries) >= t.config.MaxTickets {
		return Ticket{}, ErrFull
	}
	added := &entry[R]{ticket: ticket, state: StateNew, expiresAt: ticket.Expires + t.config.Slack}
	t.entries[ticket.RequestID] = added
	heap.Push(&t.expiries, added)
	return ticket, nil
}

// reissue returns the entry's ticket if it may be handed out again for the
// properties of the requested one.
func (e *entry[R]) reissue(now time.Duration, requested Ticket) (Ticket, error) {
	if e.ticket.HomeRule != requested.HomeRule || e.ticket.Idempotent != requested.Idempotent {
		return Ticket{}, ErrConflict
	}
	expiredUnused := e.state == StateNew && now >= e.ticket.Expires
	if expiredUnused || e.state == StateRejected {
		return Ticket{}, ErrClosed
	}
	return e.ticket, nil
}

// Use presents a ticket of this owner, with a digest of the request's contents.
// If the result is UseStart, begin was called and its run is in the table; if it
// is UseJoin, the returned run is in progress or finished. Other results come
// with the zero run.
func (t *Table[R]) Use(now time.Duration, presented Ticket, digest uint64, begin func() R) (UseResult, R) {
	t.Expire(now)
	var none R
	e, ok := t.entries[presented.RequestID]
	if !ok {
		// The entry expired or was never added; it may have been used before that.
		return UseUnknown, none
	}
	if e.ticket != presented {
		return UseConflict, none
	}
	if e.state == StateNew {
		if now >= presented.Expires {
			return UseExpired, none
		}
		e.state = StateRunning
		e.digest = digest
		e.run = begin()
		return UseStart, e.run
	}
	if e.digest != digest {
		return UseConflict, none
	}
	return UseJoin, e.run
}

// Finish records the final state of a running request. It changes nothing and
// returns false if the request is not running or the state is not final, so a
// final state never changes.
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

// releaseOldest releases the oldest output until the rest is within its bound.
func (t *Table[R]) releaseOldest() {
	for t.retainedBytes > t.config.MaxRetainedBytes {
		oldest := t.retaining.Front()
		if oldest == nil {
			return
		}
		t.release(oldest.Value.(*entry[R])) //nolint:forcetypeassert // only Finish pushes to the list, and only entries
	}
}

// release drops the retained output of an entry, if it has any.
func (t *Table[R]) release(e *entry[R]) {
	if e.element == nil {
		return
	}
	t.retaining.Remove(e.element)
	e.element = nil
	t.retainedBytes -= e.retainedBytes
	e.run.Release()
}

// State returns the state of a request, and whether the table knows it.
func (t *Table[R]) State(requestID string) (State, bool) {
	e, ok := t.entries[requestID]
	if !ok {
		return 0, false
	}
	return e.state, true
}

// Run returns the run of a request, and whether the request was started.
func (t *Table[R]) Run(requestID string) (R, bool) {
	e, ok := t.entries[requestID]
	if !ok || e.state == StateNew {
		var none R
		return none, false
	}
	return e.run, true
}

// Len returns the number of tickets in the table.
func (t *Table[R]) Len() int { return len(t.entries) }

// Unused returns the number of tickets that were not used and have not expired.
func (t *Table[R]) Unused(now time.Duration) int {
	unused := 0
	for _, e := range t.entries {
		if e.state == StateNew && now < e.ticket.Expires {
			unused++
		}
	}
	return unused
}

// RetainedBytes returns the size of the retained output.
func (t *Table[R]) RetainedBytes() int { return t.retainedBytes }

// Expire removes the tickets whose expiry and slack are over. A running request
// stays until it has a result, and a slack longer.
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
