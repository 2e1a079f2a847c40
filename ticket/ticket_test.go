package ticket

import (
	"bytes"
	"encoding/base64"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func testKey(fill byte) []byte { return bytes.Repeat([]byte{fill}, 32) }

func testTicket() Ticket {
	return Ticket{RequestID: "r1", Owner: "gateway-1", Incarnation: "abc", HomeRule: "eu", IssuedAt: 1, Expires: time.Minute}
}

func TestSealerAcceptsBothKeysAndNothingElse(t *testing.T) {
	older, err := NewSealer([][]byte{testKey(1)})
	if err != nil {
		t.Fatal(err)
	}
	newer, err := NewSealer([][]byte{testKey(2), testKey(1)})
	if err != nil {
		t.Fatal(err)
	}
	text, err := older.Seal(testTicket())
	if err != nil {
		t.Fatal(err)
	}
	if got, err := newer.Open(text); err != nil || got != testTicket() {
		t.Fatalf("second key: got %+v, %v", got, err)
	}
	fresh, _ := newer.Seal(testTicket())
	if _, err := older.Open(fresh); !errors.Is(err, ErrNotAuthentic) {
		t.Fatalf("unknown key: got %v", err)
	}
	raw, _ := base64.RawURLEncoding.DecodeString(text)
	for i := range raw {
		changed := bytes.Clone(raw)
		changed[i] ^= 0x10
		if _, err := newer.Open(base64.RawURLEncoding.EncodeToString(changed)); !errors.Is(err, ErrNotAuthentic) {
			t.Fatalf("byte %d changed: got %v", i, err)
		}
	}
	for _, text := range []string{"", "!", text[:10], text + "=", strings.Repeat("A", MaxEncodedBytes+1)} {
		if _, err := newer.Open(text); err == nil {
			t.Fatalf("opened %.20q", text)
		}
	}
	long := testTicket()
	long.RequestID = strings.Repeat("x", 129)
	if _, err := older.Seal(long); !errors.Is(err, ErrMalformed) {
		t.Fatalf("long id: got %v", err)
	}
	var many [][]byte
	for i := range MaxKeys + 1 {
		many = append(many, testKey(byte(i)))
	}
	for _, keys := range [][][]byte{nil, {testKey(1)[:8]}, many} {
		if _, err := NewSealer(keys); !errors.Is(err, ErrKeys) {
			t.Fatalf("keys %d: got %v", len(keys), err)
		}
	}
}

type testRun struct{ bytes int }

func (r *testRun) RetainedBytes() int { return r.bytes }
func (r *testRun) Release()           { r.bytes = 0 }

// TestLedgerRunsOnce drives a ledger with random uses and checks, against a
// slow record of everything that ever happened, that no request is told to run
// twice, that a final state never changes while remembered, that a refusal or
// an expiry is never followed by a run, and that all bounds hold.
func TestLedgerRunsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newLedgerHistory(t)
		for step := range 60 {
			h.step = step
			h.now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "elapsed")) * time.Millisecond
			id := fmt.Sprintf("r%d", rapid.IntRange(0, 9).Draw(t, "request"))
			_, issued := h.issued[id]
			switch action := rapid.IntRange(0, 2).Draw(t, "action"); {
			case action == 0 && issued, action == 1 && !issued:
				continue // a caller keeps its first ticket, and uses none before it
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

// ledgerHistory is a ledger and the record of everything that happened to it, by
// request.
type ledgerHistory struct {
	t      *rapid.T
	config TableConfig
	ledger *Table[*testRun]
	step   int
	now    time.Duration
	issued map[string]Ticket
	runs   map[string]int
	final  map[string]State
	// dead requests were refused or expired: they must not run.
	dead map[string]bool
}

func newLedgerHistory(t *rapid.T) *ledgerHistory {
	config := TableConfig{MaxTickets: 6, MaxRetainedBytes: 100, Slack: 5 * time.Second}
	return &ledgerHistory{
		t: t, config: config, ledger: NewTable[*testRun](config), now: 1,
		issued: map[string]Ticket{}, runs: map[string]int{}, final: map[string]State{}, dead: map[string]bool{},
	}
}

// issue asks for the first ticket of a request.
func (h *ledgerHistory) issue(id string) {
	fresh := Ticket{RequestID: id, Owner: "g", Incarnation: "i", IssuedAt: h.now, Expires: h.now + 10*time.Second}
	got, err := h.ledger.Issue(h.now, fresh)
	if err == nil {
		h.issued[id] = got
	} else if !errors.Is(err, ErrFull) || h.ledger.Len() < h.config.MaxTickets {
		h.t.Fatalf("step %d: issue: %v with %d remembered", h.step, err, h.ledger.Len())
	}
}

// use presents the ticket of a request.
func (h *ledgerHistory) use(id string) {
	presented := h.issued[id]
	standing, _ := h.ledger.Use(h.now, presented, 1, func() *testRun { return &testRun{bytes: 40} })
	switch standing {
	case UseStart:
		h.runs[id]++
		if h.dead[id] || h.now >= presented.Expires {
			h.t.Fatalf("step %d: %s runs after it was refused or expired", h.step, id)
		}
	case UseExpired:
		h.dead[id] = true
		if h.runs[id] > 0 {
			h.t.Fatalf("step %d: %s said never to have run", h.step, id)
		}
	case UseUnknown:
		if h.now < presented.Expires+h.config.Slack {
			h.t.Fatalf("step %d: %s forgotten early", h.step, id)
		}
	}
}

// finish ends the run of a request, if there is one.
func (h *ledgerHistory) finish(id string, state State) {
	if !h.ledger.Finish(id, state) {
		return
	}
	if _, was := h.final[id]; was {
		h.t.Fatalf("step %d: %s finished twice", h.step, id)
	}
	h.final[id] = state
	h.dead[id] = state == StateRejected
}

// check compares what the ledger remembers of a request, and its bounds.
func (h *ledgerHistory) check(id string) {
	if state, ok := h.ledger.State(id); ok && h.final[id] != 0 && state != h.final[id] {
		h.t.Fatalf("step %d: %s changed from %v to %v", h.step, id, h.final[id], state)
	}
	if h.runs[id] > 1 {
		h.t.Fatalf("step %d: %s ran %d times", h.step, id, h.runs[id])
	}
	if h.ledger.Len() > h.config.MaxTickets || h.ledger.RetainedBytes() > h.config.MaxRetainedBytes {
		h.t.Fatalf("step %d: %d tickets, %d bytes", h.step, h.ledger.Len(), h.ledger.RetainedBytes())
	}
}

func TestLedgerIssueAgain(t *testing.T) {
	ledger := NewTable[*testRun](TableConfig{MaxTickets: 2, MaxRetainedBytes: 10, Slack: time.Second})
	first := testTicket()
	if _, err := ledger.Issue(0, first); err != nil {
		t.Fatal(err)
	}
	second := first
	second.IssuedAt, second.Expires = 5, 2*time.Minute
	if got, err := ledger.Issue(5, second); err != nil || got != first {
		t.Fatalf("issue again: %+v, %v", got, err)
	}
	second.HomeRule = "us"
	if _, err := ledger.Issue(5, second); !errors.Is(err, ErrConflict) {
		t.Fatalf("other home: %v", err)
	}
	if standing, _ := ledger.Use(6, first, 1, func() *testRun { return &testRun{} }); standing != UseStart {
		t.Fatalf("use: %v", standing)
	}
	if standing, _ := ledger.Use(6, first, 2, nil); standing != UseConflict {
		t.Fatalf("other contents: %v", standing)
	}
	ledger.Finish("r1", StateRejected)
	if _, err := ledger.Issue(7, first); !errors.Is(err, ErrClosed) {
		t.Fatalf("issue after refusal: %v", err)
	}
	if standing, _ := ledger.Use(8, first, 1, nil); standing != UseJoin {
		t.Fatalf("use after refusal: %v", standing)
	}
}
