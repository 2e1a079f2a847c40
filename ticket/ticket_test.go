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
	return Ticket{RequestID: "r1", Owner: "gateway-1", Incarnation: "abc", Home: "eu", IssuedAt: 1, Expires: time.Minute}
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
		config := LedgerConfig{MaxTickets: 6, MaxRetainedBytes: 100, Slack: 5 * time.Second}
		ledger := NewLedger[*testRun](config)
		runs := map[string]int{}
		final := map[string]State{}
		dead := map[string]bool{}
		issued := map[string]Ticket{}
		now := time.Duration(1)
		for step := range 60 {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "elapsed")) * time.Millisecond
			id := fmt.Sprintf("r%d", rapid.IntRange(0, 9).Draw(t, "request"))
			switch rapid.IntRange(0, 2).Draw(t, "action") {
			case 0:
				fresh := Ticket{RequestID: id, Owner: "g", Incarnation: "i", IssuedAt: now, Expires: now + 10*time.Second}
				if _, was := issued[id]; was {
					continue // a caller keeps its first ticket
				}
				got, err := ledger.Issue(now, fresh)
				if err == nil {
					issued[id] = got
				} else if !errors.Is(err, ErrFull) || ledger.Len() < config.MaxTickets {
					t.Fatalf("step %d: issue: %v with %d remembered", step, err, ledger.Len())
				}
			case 1:
				presented, was := issued[id]
				if !was {
					continue
				}
				standing, _ := ledger.Use(now, presented, 1, func() *testRun { return &testRun{bytes: 40} })
				switch standing {
				case StandingRun:
					runs[id]++
					if dead[id] || now >= presented.Expires {
						t.Fatalf("step %d: %s runs after it was refused or expired", step, id)
					}
				case StandingExpired:
					dead[id] = true
					if runs[id] > 0 {
						t.Fatalf("step %d: %s said never to have run", step, id)
					}
				case StandingForgotten:
					if now < presented.Expires+config.Slack {
						t.Fatalf("step %d: %s forgotten early", step, id)
					}
				}
			case 2:
				state := State(rapid.IntRange(int(StateAnswered), int(StateUnknown)).Draw(t, "state"))
				if ledger.Finish(id, state) {
					if _, was := final[id]; was {
						t.Fatalf("step %d: %s finished twice", step, id)
					}
					final[id] = state
					dead[id] = state == StateRefused
				}
			}
			if state, ok := ledger.State(id); ok && final[id] != 0 && state != final[id] {
				t.Fatalf("step %d: %s changed from %v to %v", step, id, final[id], state)
			}
			if runs[id] > 1 {
				t.Fatalf("step %d: %s ran %d times", step, id, runs[id])
			}
			if ledger.Len() > config.MaxTickets || ledger.Retained() > config.MaxRetainedBytes {
				t.Fatalf("step %d: %d tickets, %d bytes", step, ledger.Len(), ledger.Retained())
			}
		}
	})
}

func TestLedgerIssueAgain(t *testing.T) {
	ledger := NewLedger[*testRun](LedgerConfig{MaxTickets: 2, MaxRetainedBytes: 10, Slack: time.Second})
	first := testTicket()
	if _, err := ledger.Issue(0, first); err != nil {
		t.Fatal(err)
	}
	second := first
	second.IssuedAt, second.Expires = 5, 2*time.Minute
	if got, err := ledger.Issue(5, second); err != nil || got != first {
		t.Fatalf("issue again: %+v, %v", got, err)
	}
	second.Home = "us"
	if _, err := ledger.Issue(5, second); !errors.Is(err, ErrConflict) {
		t.Fatalf("other home: %v", err)
	}
	if standing, _ := ledger.Use(6, first, 1, func() *testRun { return &testRun{} }); standing != StandingRun {
		t.Fatalf("use: %v", standing)
	}
	if standing, _ := ledger.Use(6, first, 2, nil); standing != StandingConflict {
		t.Fatalf("other contents: %v", standing)
	}
	ledger.Finish("r1", StateRefused)
	if _, err := ledger.Issue(7, first); !errors.Is(err, ErrClosed) {
		t.Fatalf("issue after refusal: %v", err)
	}
	if standing, _ := ledger.Use(8, first, 1, nil); standing != StandingJoin {
		t.Fatalf("use after refusal: %v", standing)
	}
}
