package ticket

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

type testRun struct{ bytes int }

func (r *testRun) RetainedBytes() int { return r.bytes }
func (r *testRun) Release()           { r.bytes = 0 }

// TestTableStartsARequestOnce applies random operations to a table and checks them
// against a record of everything that happened: no request starts twice, a final
// state never changes while it is in the table, no request starts after it was
// rejected or has expired, and all bounds hold.
func TestTableStartsARequestOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newTableHistory(t)
		for step := range 60 {
			h.step = step
			h.now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "elapsed")) * time.Millisecond
			id := fmt.Sprintf("r%d", rapid.IntRange(0, 9).Draw(t, "request"))
			_, issued := h.issued[id]
			switch action := rapid.IntRange(0, 2).Draw(t, "action"); {
			case action == 0 && issued, action == 1 && !issued:
				continue // a caller keeps its first ticket, and has none to use before it
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

// tableHistory is a table and the record of everything that happened to it, by
// request.
type tableHistory struct {
	t      *rapid.T
	config TableConfig
	table  *Table[*testRun]
	step   int
	now    time.Duration
	issued map[string]Ticket
	runs   map[string]int
	final  map[string]State
	// closed requests were rejected or expired: they must not run.
	closed map[string]bool
}

func newTableHistory(t *rapid.T) *tableHistory {
	config := TableConfig{MaxTickets: 6, MaxRetainedBytes: 100, Slack: 5 * time.Second}
	return &tableHistory{
		t: t, config: config, table: NewTable[*testRun](config), now: 1,
		issued: map[string]Ticket{}, runs: map[string]int{}, final: map[string]State{}, closed: map[string]bool{},
	}
}

// issue requests the first ticket of a request.
func (h *tableHistory) issue(id string) {
	fresh := Ticket{RequestID: id, Owner: "g", Incarnation: "i", IssuedAt: h.now, Expires: h.now + 10*time.Second}
	got, err := h.table.Issue(h.now, fresh)
	if err == nil {
		h.issued[id] = got
	} else if !errors.Is(err, ErrFull) || h.table.Len() < h.config.MaxTickets {
		h.t.Fatalf("step %d: issue: %v with %d tickets", h.step, err, h.table.Len())
	}
}

// use presents the ticket of a request.
func (h *tableHistory) use(id string) {
	presented := h.issued[id]
	result, _ := h.table.Use(h.now, presented, 1, func() *testRun { return &testRun{bytes: 40} })
	switch result {
	case UseStart:
		h.runs[id]++
		if h.closed[id] || h.now >= presented.Expires {
			h.t.Fatalf("step %d: %s started after it was rejected or expired", h.step, id)
		}
	case UseExpired:
		h.closed[id] = true
		if h.runs[id] > 0 {
			h.t.Fatalf("step %d: %s reported as never started, after a start", h.step, id)
		}
	case UseUnknown:
		if h.now < presented.Expires+h.config.Slack {
			h.t.Fatalf("step %d: %s removed early", h.step, id)
		}
	}
}

// finish ends the run of a request, if there is one.
func (h *tableHistory) finish(id string, state State) {
	if !h.table.Finish(id, state) {
		return
	}
	if _, was := h.final[id]; was {
		h.t.Fatalf("step %d: %s finished twice", h.step, id)
	}
	h.final[id] = state
	h.closed[id] = state == StateRejected
}

// check compares the table with the record of a request, and checks its bounds.
func (h *tableHistory) check(id string) {
	if state, ok := h.table.State(id); ok && h.final[id] != 0 && state != h.final[id] {
		h.t.Fatalf("step %d: %s changed from %v to %v", h.step, id, h.final[id], state)
	}
	if h.runs[id] > 1 {
		h.t.Fatalf("step %d: %s ran %d times", h.step, id, h.runs[id])
	}
	if h.table.Len() > h.config.MaxTickets || h.table.RetainedBytes() > h.config.MaxRetainedBytes {
		h.t.Fatalf("step %d: %d tickets, %d bytes", h.step, h.table.Len(), h.table.RetainedBytes())
	}
}

func TestTableIssueAgain(t *testing.T) {
	table := NewTable[*testRun](TableConfig{MaxTickets: 2, MaxRetainedBytes: 10, Slack: time.Second})
	first := testTicket()
	if _, err := table.Issue(0, first); err != nil {
		t.Fatal(err)
	}
	second := first
	second.IssuedAt, second.Expires = 5, 2*time.Minute
	if got, err := table.Issue(5, second); err != nil || got != first {
		t.Fatalf("issue again: %+v, %v", got, err)
	}
	second.HomeRule = "us"
	if _, err := table.Issue(5, second); !errors.Is(err, ErrConflict) {
		t.Fatalf("other home rule: %v", err)
	}
	if result, _ := table.Use(6, first, 1, func() *testRun { return &testRun{} }); result != UseStart {
		t.Fatalf("use: %v", result)
	}
	if result, _ := table.Use(6, first, 2, nil); result != UseConflict {
		t.Fatalf("other contents: %v", result)
	}
	table.Finish("r1", StateRejected)
	if _, err := table.Issue(7, first); !errors.Is(err, ErrClosed) {
		t.Fatalf("issue after rejection: %v", err)
	}
	if result, _ := table.Use(8, first, 1, nil); result != UseJoin {
		t.Fatalf("use after rejection: %v", result)
	}
}
