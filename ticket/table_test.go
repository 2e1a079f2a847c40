package ticket

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// testRun is a run that retains the given number of bytes until it is released.
type testRun struct{ bytes int }

func (r *testRun) RetainedBytes() int { return r.bytes }
func (r *testRun) Release()           { r.bytes = 0 }

// TestTableStartsRequestAtMostOnce applies random operations to a table and checks it
// against the recorded history: no request starts twice, a final state does not change
// while it is in the table, no request starts after it was rejected or its ticket
// expired, and the table stays within its limits.
func TestTableStartsRequestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newTableHistory(t)
		for step := range 60 {
			h.step = step
			h.now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "elapsed")) * time.Millisecond
			id := fmt.Sprintf("r%d", rapid.IntRange(0, 9).Draw(t, "request"))
			_, issued := h.issued[id]
			switch action := rapid.IntRange(0, 2).Draw(t, "action"); {
			case action == 0 && issued, action == 1 && !issued:
				continue // a caller requests one ticket, and cannot use it before it is issued
			case action == 0:
				h.issue(id)
			case action == 1:
				h.use(id)
			default:
				h.finish(id, State(rapid.IntRange(int(StateCompleted), int(StateUnknown)).Draw(t, "state")))
			}
			h.check(id)
		}
	})
}

// tableHistory is a table and the history of the operations on it, by request ID.
type tableHistory struct {
	t      *rapid.T
	config TableConfig
	table  *Table[*testRun]
	step   int
	now    time.Duration
	issued map[string]Ticket
	runs   map[string]int // number of starts
	final  map[string]State
	// closed contains the requests that were rejected or whose ticket expired unused.
	// They must not start.
	closed map[string]bool
}

func newTableHistory(t *rapid.T) *tableHistory {
	config := TableConfig{MaxTickets: 6, MaxRetainedBytes: 100, Slack: 5 * time.Second}
	return &tableHistory{
		t: t, config: config, table: NewTable[*testRun](config), now: 1,
		issued: map[string]Ticket{}, runs: map[string]int{}, final: map[string]State{}, closed: map[string]bool{},
	}
}

// issue issues the first ticket of a request. Only a full table may refuse it.
func (h *tableHistory) issue(id string) {
	fresh := Ticket{RequestID: id, Owner: "g", Incarnation: "i", IssuedAt: h.now, Expires: h.now + 10*time.Second}
	got, err := h.table.Issue(h.now, fresh)
	if err == nil {
		h.issued[id] = got
	} else if !errors.Is(err, ErrFull) || h.table.Len() < h.config.MaxTickets {
		h.t.Fatalf("step %d: Issue returned error %v with %d tickets in the table", h.step, err, h.table.Len())
	}
}

// use presents the ticket of a request and checks the result.
func (h *tableHistory) use(id string) {
	presented := h.issued[id]
	result, _ := h.table.Use(h.now, presented, 1, func() *testRun { return &testRun{bytes: 40} })
	switch result {
	case UseStart:
		h.runs[id]++
		if h.closed[id] || h.now >= presented.Expires {
			h.t.Fatalf("step %d: request %s started after it was rejected or its ticket expired", h.step, id)
		}
	case UseExpired:
		h.closed[id] = true
		if h.runs[id] > 0 {
			h.t.Fatalf("step %d: Use of request %s returned UseExpired although the request was started", h.step, id)
		}
	case UseUnknown:
		if h.now < presented.Expires+h.config.Slack {
			h.t.Fatalf("step %d: ticket of request %s was removed before its expiry and slack", h.step, id)
		}
	}
}

// finish records the final state of a request, if the request is running.
func (h *tableHistory) finish(id string, state State) {
	if !h.table.Finish(id, state) {
		return
	}
	if _, was := h.final[id]; was {
		h.t.Fatalf("step %d: request %s finished twice", h.step, id)
	}
	h.final[id] = state
	h.closed[id] = state == StateRejected
}

// check compares the table with the history of a request and checks the table's limits.
func (h *tableHistory) check(id string) {
	if state, ok := h.table.State(id); ok && h.final[id] != 0 && state != h.final[id] {
		h.t.Fatalf("step %d: final state of request %s changed from %v to %v", h.step, id, h.final[id], state)
	}
	if h.runs[id] > 1 {
		h.t.Fatalf("step %d: request %s started %d times", h.step, id, h.runs[id])
	}
	if h.table.Len() > h.config.MaxTickets || h.table.RetainedBytes() > h.config.MaxRetainedBytes {
		h.t.Fatalf("step %d: table exceeds its limits with %d tickets or %d retained bytes", h.step, h.table.Len(), h.table.RetainedBytes())
	}
}

// TestTableIssueAgain verifies what Issue returns for a request ID that the table already
// holds, before and after the ticket was used and the request was rejected.
func TestTableIssueAgain(t *testing.T) {
	table := NewTable[*testRun](TableConfig{MaxTickets: 2, MaxRetainedBytes: 10, Slack: time.Second})
	first := testTicket()
	if _, err := table.Issue(0, first); err != nil {
		t.Fatal(err)
	}
	second := first
	second.IssuedAt, second.Expires = 5, 2*time.Minute
	if got, err := table.Issue(5, second); err != nil || got != first {
		t.Fatalf("second Issue: got %+v, error %v, want the first ticket", got, err)
	}
	second.HomeRule = "us"
	if _, err := table.Issue(5, second); !errors.Is(err, ErrConflict) {
		t.Fatalf("Issue with another home rule: got error %v, want ErrConflict", err)
	}
	if result, _ := table.Use(6, first, 1, func() *testRun { return &testRun{} }); result != UseStart {
		t.Fatalf("first Use: got %v, want UseStart", result)
	}
	if result, _ := table.Use(6, first, 2, nil); result != UseConflict {
		t.Fatalf("Use with other contents: got %v, want UseConflict", result)
	}
	table.Finish("r1", StateRejected)
	if _, err := table.Issue(7, first); !errors.Is(err, ErrRejected) {
		t.Fatalf("Issue after the request was rejected: got error %v, want ErrRejected", err)
	}
	if result, _ := table.Use(8, first, 1, nil); result != UseJoin {
		t.Fatalf("Use after the request was rejected: got %v, want UseJoin", result)
	}
}
