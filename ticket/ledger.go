package ticket

import (
	"container/heap"
	"container/list"
	"errors"
	"time"
)

// State is what the owner knows of a ticket's request.
type State uint8

// States of a request, in the order in which it passes through them. The last
// four are final.
const (
	// StateNew means that the ticket was issued and not yet used.
	StateNew State = iota + 1
	// StateRunning means that the request was admitted and has no result yet.
	StateRunning
	// StateCompleted means that the answer was whole.
	StateCompleted
	// StateRejected means that the request never ran and never will.
	StateRejected
	// StateFailed means that the request ran, at least in part, and failed.
	StateFailed
	// StateUnknown means that nobody can tell whether the request ran.
	StateUnknown
)

// Final tells whether the state can change no more.
func (s State) Final() bool { return s >= StateCompleted }

// String names the state.
func (s State) String() string {
	names := [...]string{"", "new", "running", "answered", "refused", "failed", "unknown"}
	if int(s) >= len(names) || s == 0 {
		return "invalid"
	}
	return names[s]
}

// Errors of Issue.
var (
	// ErrFull means that the ledger remembers as many tickets as it may. Nothing
	// is forgotten early to make room.
	ErrFull = errors.New("ticket: ledger is full")
	// ErrConflict means that the request id was issued with other properties.
	ErrConflict = errors.New("ticket: request id is in use for another request")
	// ErrClosed means that the request id was refused, or its ticket expired unused.
	ErrClosed = errors.New("ticket: request was refused for good")
)

// UseResult is the ledger's answer to the use of a ticket.
type UseResult uint8

const (
	// UseStart asks the caller to run the request; it is told so only once.
	UseStart UseResult = iota + 1
	// UseJoin means that the request runs already, or has its result.
	UseJoin
	// UseExpired means that the ticket came too late and was never used
	// before. The request never ran and never will.
	UseExpired
	// UseUnknown means that the ledger cannot tell whether the request ran.
	UseUnknown
	// UseConflict means that the ticket was used for a request with other
	// contents. This one never runs; the other one may have.
	UseConflict
)

// Run is what an owner keeps beside a ticket: the run and its output.
type Run interface {
	// RetainedBytes is the memory that the kept output holds.
	RetainedBytes() int
	// Release drops the kept output. The state stays in the ledger.
	Release()
}

// minSlack keeps the memory of a ticket from ending with its use.
const minSlack = time.Second

// TableConfig bounds a ledger.
type TableConfig struct {
	// MaxTickets is the number of tickets remembered at once.
	MaxTickets int
	// MaxRetainedBytes bounds the output kept of finished runs; the oldest is
	// released first.
	MaxRetainedBytes int
	// Slack is how long a ticket is remembered beyond its expiry.
	Slack time.Duration
}

// Table is the memory of one owner. It is not safe for concurrent use.
type Table[R Run] struct {
	config   TableConfig
	entries  map[string]*entry[R]
	expiries expiryHeap[R]
	retained int
	// finished lists entries that retain output, oldest first.
	finished *list.List
}

type entry[R Run] struct {
	ticket Ticket
	state  State
	digest uint64
	run    R
	kept   int
	forget time.Duration
	index  int
	mark   *list.Element
}

// NewTable returns an empty ledger.
func NewTable[R Run](config TableConfig) *Table[R] {
	config.Slack = max(config.Slack, minSlack)
	return &Table[R]{
		config:   config,
		entries:  make(map[string]*entry[R]),
		finished: list.New(),
	}
}

// Issue remembers a new ticket and returns the one to hand out. Asking again
// for a request id that is remembered returns the first ticket.
func (l *Table[R]) Issue(now time.Duration, t Ticket) (Ticket, error) {
	l.Expire(now)
	if known, ok := l.entries[t.RequestID]; ok {
		return l.reissue(now, known, t)
	}
	if len(l.entries) >= l.config.MaxTickets {
		return Ticket{}, ErrFull
	}
	e := &entry[R]{ticket: t, state: StateNew, forget: t.Expires + l.config.Slack}
	l.entries[t.RequestID] = e
	heap.Push(&l.expiries, e)
	return t, nil
}

func (l *Table[R]) reissue(now time.Duration, known *entry[R], t Ticket) (Ticket, error) {
	if known.ticket.HomeRule != t.HomeRule || known.ticket.Idempotent != t.Idempotent {
		return Ticket{}, ErrConflict
	}
	expired := known.state == StateNew && now >= known.ticket.Expires
	if expired || known.state == StateRejected {
		return Ticket{}, ErrClosed
	}
	return known.ticket, nil
}

// Use presents a ticket of this owner with a digest of the request's contents.
// With StandingRun, make has been called and its run is remembered; with
// StandingJoin the returned run is the one in progress or finished.
func (l *Table[R]) Use(now time.Duration, t Ticket, digest uint64, begin func() R) (UseResult, R) {
	l.Expire(now)
	var none R
	e, ok := l.entries[t.RequestID]
	if !ok {
		// Held until expiry and slack are over, it may have been used before that.
		return UseUnknown, none
	}
	if e.ticket != t {
		return UseConflict, none
	}
	if e.state == StateNew {
		if now >= t.Expires {
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

// Finish records the final state of a running request. A final state never
// changes: it reports false if there was nothing to finish.
func (l *Table[R]) Finish(requestID string, state State) bool {
	e, ok := l.entries[requestID]
	if !ok || e.state != StateRunning || !state.Final() {
		return false
	}
	e.state = state
	e.kept = e.run.RetainedBytes()
	l.retained += e.kept
	e.mark = l.finished.PushBack(e)
	l.releaseOldest()
	return true
}

func (l *Table[R]) releaseOldest() {
	for l.retained > l.config.MaxRetainedBytes {
		first := l.finished.Front()
		if first == nil {
			return
		}
		l.release(first.Value.(*entry[R])) //nolint:forcetypeassert // only Finish pushes to the list, and only entries
	}
}

func (l *Table[R]) release(e *entry[R]) {
	if e.mark == nil {
		return
	}
	l.finished.Remove(e.mark)
	e.mark = nil
	l.retained -= e.kept
	e.run.Release()
}

// State returns what is known of a request id.
func (l *Table[R]) State(requestID string) (State, bool) {
	e, ok := l.entries[requestID]
	if !ok {
		return 0, false
	}
	return e.state, true
}

// Run returns the run of a request id that was used.
func (l *Table[R]) Run(requestID string) (R, bool) {
	e, ok := l.entries[requestID]
	if !ok || e.state == StateNew {
		var none R
		return none, false
	}
	return e.run, true
}

// Len is the number of tickets remembered.
func (l *Table[R]) Len() int { return len(l.entries) }

// Unused is the number of tickets that were not used and have not expired.
func (l *Table[R]) Unused(now time.Duration) int {
	unused := 0
	for _, e := range l.entries {
		if e.state == StateNew && now < e.ticket.Expires {
			unused++
		}
	}
	return unused
}

// RetainedBytes is the number of bytes of output kept.
func (l *Table[R]) RetainedBytes() int { return l.retained }

// Expire forgets tickets whose expiry and slack are over. A running request is
// kept until it has a result.
func (l *Table[R]) Expire(now time.Duration) {
	for len(l.expiries) > 0 && l.expiries[0].forget <= now {
		e := l.expiries[0]
		if e.state == StateRunning {
			e.forget = now + l.config.Slack
			heap.Fix(&l.expiries, 0)
			continue
		}
		l.release(e)
		heap.Pop(&l.expiries)
		delete(l.entries, e.ticket.RequestID)
	}
}

// expiryHeap orders entries by the time at which they are forgotten.
type expiryHeap[R Run] []*entry[R]

func (h expiryHeap[R]) Len() int           { return len(h) }
func (h expiryHeap[R]) Less(i, j int) bool { return h[i].forget < h[j].forget }
func (h expiryHeap[R]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *expiryHeap[R]) Push(value any) {
	e := value.(*entry[R]) //nolint:forcetypeassert // heap.Push is called with entries only
	e.index = len(*h)
	*h = append(*h, e)
}

func (h *expiryHeap[R]) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
