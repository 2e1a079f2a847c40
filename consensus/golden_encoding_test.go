package consensus

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
)

// The golden files contain the encodings of this package's types as they are stored on
// disk and sent between members. Later versions must read and write the same bytes:
// newer versions open the data folders of older ones, and members of both versions run
// side by side during a rolling update. Use -update-golden to write new files; a change
// of an existing line breaks the format.
var updateGolden = flag.Bool("update-golden", false, "rewrite the golden files")

// goldenCase is a value whose encoding is compared with a golden file.
type goldenCase struct {
	name   string
	value  any
	decode func(data []byte) (any, error)
}

// decodeAs decodes into a T with the default options, as packages storage and peer do.
func decodeAs[T any](data []byte) (any, error) {
	var value T
	err := cbor.Unmarshal(data, &value)
	return value, err
}

func stored[T any](name string, value T) goldenCase {
	return goldenCase{name: name, value: value, decode: decodeAs[T]}
}

var goldenMembership = Membership{Members: []Member{
	{ID: "3f9a0c71", Name: "control-a", Address: "10.0.0.1:7000", Zone: "west-1"},
	{ID: "b2e44d10", Name: "control-b", Address: "10.0.1.1:7000", Zone: "west-2"},
	{ID: "77c1e95b", Name: "control-c", Address: "10.0.2.1:7000", Zone: "east-1", Learner: true},
}}

func mustEncodeMembership(t *testing.T, membership Membership) []byte {
	t.Helper()
	data, err := EncodeMembership(membership)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// TestGoldenState covers the types that package storage writes to disk: log entries of
// each kind, hard states, snapshots and memberships.
func TestGoldenState(t *testing.T) {
	checkGolden(t, "state.golden", []goldenCase{
		stored("entry normal", Entry{Term: 3, Index: 17, Kind: EntryNormal, Data: []byte("change")}),
		stored("entry normal, empty", Entry{Term: 3, Index: 18}),
		stored("entry membership", Entry{Term: 4, Index: 300, Kind: EntryMembership, Data: mustEncodeMembership(t, goldenMembership)}),
		stored("entry noop", Entry{Term: 70000, Index: 5_000_000_000, Kind: EntryNoop}),
		stored("hard state, zero", HardState{}),
		stored("hard state", HardState{Term: 9, Vote: "3f9a0c71", Commit: 1234}),
		stored("hard state without vote", HardState{Term: 10, Commit: 1234}),
		stored("snapshot", Snapshot{Index: 1200, Term: 8, Membership: goldenMembership, Data: []byte("table")}),
		stored("snapshot of a new group", Snapshot{Index: 1, Term: 1, Membership: goldenMembership}),
		stored("member", goldenMembership.Members[0]),
		stored("member, learner", goldenMembership.Members[2]),
		{
			name:   "membership",
			value:  goldenMembership,
			decode: func(data []byte) (any, error) { return DecodeMembership(data) },
		},
	})
}

// TestGoldenMessages covers every kind of message between members.
func TestGoldenMessages(t *testing.T) {
	entries := []Entry{
		{Term: 4, Index: 300, Kind: EntryMembership, Data: mustEncodeMembership(t, goldenMembership)},
		{Term: 5, Index: 301, Kind: EntryNoop},
		{Term: 5, Index: 302, Kind: EntryNormal, Data: []byte("change")},
	}
	message := func(kind MessageKind, edit func(*Message)) Message {
		m := Message{Kind: kind, From: "3f9a0c71", To: "b2e44d10", Term: 5}
		if edit != nil {
			edit(&m)
		}
		return m
	}
	cases := []goldenCase{
		stored("pre-vote", message(MessagePreVote, func(m *Message) { m.Term, m.Index, m.LogTerm = 6, 302, 5 })),
		stored("pre-vote reply, granted", message(MessagePreVoteReply, func(m *Message) { m.Term = 6 })),
		stored("pre-vote reply, rejected", message(MessagePreVoteReply, func(m *Message) { m.Reject = true })),
		stored("vote", message(MessageVote, func(m *Message) { m.Term, m.Index, m.LogTerm = 6, 302, 5 })),
		stored("vote after a transfer", message(MessageVote, func(m *Message) { m.Term, m.Index, m.LogTerm, m.LeadershipTransfer = 6, 302, 5, true })),
		stored("vote reply, granted", message(MessageVoteReply, func(m *Message) { m.Term = 6 })),
		stored("vote reply, rejected", message(MessageVoteReply, func(m *Message) { m.Reject = true })),
		stored("append", message(MessageAppend, func(m *Message) {
			m.Index, m.LogTerm, m.Commit, m.Entries, m.HeartbeatRound = 299, 4, 298, entries, 77
		})),
		stored("append, empty", message(MessageAppend, func(m *Message) { m.Index, m.LogTerm, m.Commit, m.HeartbeatRound = 302, 5, 302, 78 })),
		stored("append reply", message(MessageAppendReply, func(m *Message) { m.Index, m.HeartbeatRound = 302, 77 })),
		stored("append reply, rejected", message(MessageAppendReply, func(m *Message) {
			m.Index, m.LogTerm, m.Reject, m.RejectHint, m.HeartbeatRound = 299, 3, true, 250, 77
		})),
		stored("heartbeat", message(MessageHeartbeat, func(m *Message) { m.Commit, m.HeartbeatRound = 302, 79 })),
		stored("heartbeat reply", message(MessageHeartbeatReply, func(m *Message) { m.HeartbeatRound = 79 })),
		stored("snapshot", message(MessageSnapshot, func(m *Message) {
			m.HeartbeatRound = 80
			m.Snapshot = &Snapshot{Index: 1200, Term: 4, Membership: goldenMembership, Data: []byte("table")}
		})),
		stored("timeout now", message(MessageTimeoutNow, nil)),
	}
	checkGolden(t, "messages.golden", cases)

	covered := map[MessageKind]bool{}
	for _, c := range cases {
		if m, ok := c.value.(Message); ok {
			covered[m.Kind] = true
		}
	}
	for kind := MessagePreVote; kind <= MessageTimeoutNow; kind++ {
		if !covered[kind] {
			t.Errorf("message kind %d has no golden encoding", kind)
		}
	}
}

// TestGoldenNumbers checks the numbers of the kinds that are stored and sent.
func TestGoldenNumbers(t *testing.T) {
	cases := []struct {
		name string
		got  uint8
		want uint8
	}{
		{"EntryNormal", uint8(EntryNormal), 0},
		{"EntryMembership", uint8(EntryMembership), 1},
		{"EntryNoop", uint8(EntryNoop), 2},
		{"MessagePreVote", uint8(MessagePreVote), 1},
		{"MessagePreVoteReply", uint8(MessagePreVoteReply), 2},
		{"MessageVote", uint8(MessageVote), 3},
		{"MessageVoteReply", uint8(MessageVoteReply), 4},
		{"MessageAppend", uint8(MessageAppend), 5},
		{"MessageAppendReply", uint8(MessageAppendReply), 6},
		{"MessageHeartbeat", uint8(MessageHeartbeat), 7},
		{"MessageHeartbeatReply", uint8(MessageHeartbeatReply), 8},
		{"MessageSnapshot", uint8(MessageSnapshot), 9},
		{"MessageTimeoutNow", uint8(MessageTimeoutNow), 10},
	}
	for _, c := range cases {
		if c.got != c.want {
			t.Errorf("%s is %d, want %d", c.name, c.got, c.want)
		}
	}
}

// checkGolden compares a golden file with its cases in both directions: the bytes in the
// file must decode to the value, and the value must encode to these bytes.
func checkGolden(t *testing.T, file string, cases []goldenCase) {
	t.Helper()
	path := filepath.Join("testdata", file)
	if *updateGolden {
		writeGolden(t, path, cases)
	}
	golden := readGolden(t, path)
	if len(golden) != len(cases) {
		t.Errorf("%s contains %d values, want %d", path, len(golden), len(cases))
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			want, found := golden[c.name]
			if !found {
				t.Fatalf("%s contains no value with this name", path)
			}
			c.check(t, want)
		})
	}
}

func (c goldenCase) check(t *testing.T, want []byte) {
	t.Helper()
	decoded, err := c.decode(want)
	if err != nil {
		t.Fatalf("decoding %x: %v", want, err)
	}
	if difference := cmp.Diff(c.value, decoded); difference != "" {
		t.Errorf("decoded value (-want +got):\n%s", difference)
	}
	encoded, err := cbor.Marshal(c.value)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(encoded, want) {
		t.Errorf("encoded as %x, want %x", encoded, want)
	}
}

// readGolden reads a golden file. Each line has a name, a colon and the encoded value in
// hexadecimal.
func readGolden(t *testing.T, path string) map[string][]byte {
	t.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	golden := make(map[string][]byte)
	lines := bufio.NewScanner(bytes.NewReader(content))
	for lines.Scan() {
		name, digits, found := strings.Cut(lines.Text(), ": ")
		data, err := hex.DecodeString(digits)
		if !found || err != nil {
			t.Fatalf("%s: bad line %q: %v", path, lines.Text(), err)
		}
		golden[name] = data
	}
	if err := lines.Err(); err != nil {
		t.Fatal(err)
	}
	return golden
}

func writeGolden(t *testing.T, path string, cases []goldenCase) {
	t.Helper()
	var content bytes.Buffer
	for _, c := range cases {
		encoded, err := cbor.Marshal(c.value)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&content, "%s: %x\n", c.name, encoded)
	}
	if err := os.WriteFile(path, content.Bytes(), 0o644); err != nil {
		t.Fatal(err)
	}
}
