package platform

import (
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/internal/soak"
	standin "github.com/deckpulley/deckpulley/internal/standin/platform"
)

// findingTimeout bounds the wait for a finding.
const findingTimeout = 20 * time.Second

// startScript starts a unit whose program is a shell script.
func startScript(t *testing.T, script string, limit int64) *unit {
	t.Helper()
	folder := t.TempDir()
	program := filepath.Join(folder, "program.sh")
	if err := os.WriteFile(program, []byte("#!/bin/sh\n"+script+"\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	u := &unit{name: "script", role: soak.RoleGateway, folder: folder, program: program, record: newRecord(), limit: limit}
	if err := u.begin(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(u.end)
	return u
}

// rules returns the rules of a record's findings, each once.
func (r *record) rules() map[Rule]bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	broken := make(map[Rule]bool)
	for _, finding := range r.findings {
		broken[finding.Rule] = true
	}
	return broken
}

func awaitRule(t *testing.T, r *record, want Rule) {
	t.Helper()
	for end := time.Now().Add(findingTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if r.rules()[want] {
			return
		}
	}
	t.Fatalf("no finding for %s", want)
}

// TestProcessThatEndsIsFound checks that a process that ends by itself is a finding, and one
// that was told to end is none.
func TestProcessThatEndsIsFound(t *testing.T) {
	awaitRule(t, startScript(t, "exit 3", 1<<40).record, RuleEnds)
	told := startScript(t, "exec sleep 60", 1<<40)
	if err := told.kill(); err != nil {
		t.Fatal(err)
	}
	told.end()
	if broken := told.record.rules(); len(broken) > 0 {
		t.Errorf("a process that was told to end: got findings for %v", broken)
	}
}

// TestProcessThatDoesNotEndIsFound checks that a process that ignores SIGTERM is a finding.
func TestProcessThatDoesNotEndIsFound(t *testing.T) {
	deaf := startScript(t, "trap '' TERM; while true; do sleep 0.1; done", 1<<40)
	time.Sleep(startTime) // until the shell ignores the signal
	deaf.end()
	if !deaf.record.rules()[RuleEnds] {
		t.Error("a process that ignores SIGTERM is no finding")
	}
}

// TestMemoryOverLimitIsFound checks that resident memory over the limit is a finding.
func TestMemoryOverLimitIsFound(t *testing.T) {
	awaitRule(t, startScript(t, "exec sleep 60", 1).record, RuleMemory)
}

// TestAnswersAreJudged checks which answers are findings, by what the client got and what
// the replicas ran.
func TestAnswersAreJudged(t *testing.T) {
	request := standin.Request{ID: "again-1", Method: http.MethodPost, Path: "/again/x", Body: "b"}
	whole := standin.Answer{Status: 200, Signature: "by-i1", Body: "POST /again/x b"}
	unsigned, foreign := whole, whole
	unsigned.Signature, foreign.Body = "", "POST /again/x another"
	for reason, answer := range map[string]standin.Answer{"": whole, "a success without a signature": unsigned, "got the body": foreign} {
		if got := standin.WrongAnswer(request, answer); !strings.HasPrefix(got, reason) || (reason == "") != (got == "") {
			t.Errorf("%+v: got %q, want %q", answer, got, reason)
		}
	}
	tests := []struct {
		id     string
		status int
		runs   int
		want   Rule
	}{
		{"once-1", 200, 1, ""},
		{"once-1", 502, 2, RuleOnce},
		{"again-1", 200, 2, ""},
		{"again-1", 503, 1, RuleRefused},
		{"again-1", 200, 0, RuleAnswer},
		{"again-1", 502, 1, ""},
	}
	for _, test := range tests {
		load := &traffic{record: newRecord(), statuses: map[string]int{test.id: test.status}}
		load.check(map[string]int{test.id: test.runs})
		broken := load.record.rules()
		if test.want == "" && len(broken) > 0 || test.want != "" && !broken[test.want] {
			t.Errorf("%+v: got findings for %v", test, broken)
		}
	}
}
