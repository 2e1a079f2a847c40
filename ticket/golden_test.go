package ticket

import (
	"encoding/hex"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"
	"time"
)

var updateGolden = flag.Bool("update-golden", false, "rewrite the golden file instead of comparing with it")

// goldenFile contains tickets that were sealed by earlier versions. This version must
// open them and must seal the same tickets as the same text.
const goldenFile = "testdata/golden/tickets.json"

// goldenTicket is one ticket in its encoded forms.
type goldenTicket struct {
	// Body is the canonical CBOR encoding in hexadecimal digits.
	Body string `json:"body"`
	// Text is the text form, sealed with testKey(1).
	Text string `json:"text"`
}

// TestGoldenTickets verifies that the encodings of tickets have not changed.
func TestGoldenTickets(t *testing.T) {
	tickets := map[string]Ticket{
		"every field": {
			RequestID: "request-1", Owner: "gateway-1", Incarnation: "i-3", HomeRule: "north-only", Idempotent: true,
			IssuedAt: 1500 * time.Millisecond, Expires: 61500 * time.Millisecond,
		},
		"minimal": {RequestID: "r", Owner: "g", Incarnation: "i", Expires: 1},
	}
	sealer, err := NewSealer([][]byte{testKey(1)})
	if err != nil {
		t.Fatal(err)
	}
	if *updateGolden {
		writeGoldenTickets(t, sealer, tickets)
	}
	stored := readGoldenTickets(t)
	if len(stored) != len(tickets) {
		t.Errorf("%s contains %d tickets, want %d", goldenFile, len(stored), len(tickets))
	}
	for name, want := range tickets {
		t.Run(name, func(t *testing.T) {
			golden, ok := stored[name]
			if !ok {
				t.Fatalf("%s contains no ticket %q", goldenFile, name)
			}
			testGoldenTicket(t, sealer, golden, want)
		})
	}
}

// testGoldenTicket checks that the golden text opens as the wanted ticket and that the
// ticket is encoded as the golden forms.
func testGoldenTicket(t *testing.T, sealer *Sealer, golden goldenTicket, want Ticket) {
	t.Helper()
	opened, err := sealer.Open(golden.Text)
	if err != nil {
		t.Fatalf("opening the golden text: %v", err)
	}
	if opened != want {
		t.Errorf("opened %+v, want %+v", opened, want)
	}
	if got := encodeGoldenTicket(t, sealer, want); got != golden {
		t.Errorf("got encodings %+v, want %+v", got, golden)
	}
}

func encodeGoldenTicket(t *testing.T, sealer *Sealer, ticket Ticket) goldenTicket {
	t.Helper()
	body, err := encoding.Marshal(&ticket)
	if err != nil {
		t.Fatalf("encoding the ticket as CBOR: %v", err)
	}
	text, err := sealer.Seal(ticket)
	if err != nil {
		t.Fatalf("sealing the ticket: %v", err)
	}
	return goldenTicket{Body: hex.EncodeToString(body), Text: text}
}

func readGoldenTickets(t *testing.T) map[string]goldenTicket {
	t.Helper()
	text, err := os.ReadFile(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	var stored map[string]goldenTicket
	if err := json.Unmarshal(text, &stored); err != nil {
		t.Fatalf("decoding %s: %v", goldenFile, err)
	}
	return stored
}

func writeGoldenTickets(t *testing.T, sealer *Sealer, tickets map[string]Ticket) {
	t.Helper()
	encoded := make(map[string]goldenTicket, len(tickets))
	for name, ticket := range tickets {
		encoded[name] = encodeGoldenTicket(t, sealer, ticket)
	}
	text, err := json.MarshalIndent(encoded, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	if err := os.MkdirAll(filepath.Dir(goldenFile), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(goldenFile, append(text, '\n'), 0o644); err != nil {
		t.Fatal(err)
	}
}
