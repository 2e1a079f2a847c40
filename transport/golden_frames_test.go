package transport

import (
	"bytes"
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

var updateGolden = flag.Bool("update-golden", false, "regenerate the golden files from the current code")

// The golden frames were written by an earlier release, whose nodes run beside nodes of
// this release during an upgrade.
var goldenFrames = filepath.Join("testdata", "frames.golden")

func TestGoldenFrameTypes(t *testing.T) {
	types := []struct {
		name string
		got  frameType
		want frameType
	}{
		{"one-way", frameOneWay, 1},
		{"request", frameRequest, 2},
		{"reply", frameReply, 3},
		{"failure", frameFailure, 4},
		{"cancel", frameCancel, 5},
		{"ping", framePing, 6},
		{"pong", framePong, 7},
		{"open", frameOpen, 8},
		{"item", frameItem, 9},
		{"end", frameEnd, 10},
	}
	for _, test := range types {
		if test.got != test.want {
			t.Errorf("frame type %s is %d, want %d", test.name, test.got, test.want)
		}
	}
	if purposeMessages != 1 || purposeStreams != 2 {
		t.Errorf("purposes are %d and %d, want 1 and 2", purposeMessages, purposeStreams)
	}
	if handshakeVersion != 1 {
		t.Errorf("the handshake version is %d, want 1", handshakeVersion)
	}
}

// goldenFrame is the content of one frame.
type goldenFrame struct {
	name    string
	content any
}

func goldenFrameCases(t *testing.T) []goldenFrame {
	t.Helper()
	body, err := encoding.Marshal(text{Text: "body"})
	if err != nil {
		t.Fatal(err)
	}
	key := []byte("the key of the golden frames")
	dialerNonce, listenerNonce := bytes.Repeat([]byte{0xd1}, nonceBytes), bytes.Repeat([]byte{0x15}, nonceBytes)
	covered := transcript{
		Version: handshakeVersion, DialerName: "dialer", DialerNonce: dialerNonce,
		ListenerName: "listener", ListenerNonce: listenerNonce, Purpose: purposeStreams,
	}
	signed, err := encoding.Marshal(covered)
	if err != nil {
		t.Fatal(err)
	}
	return []goldenFrame{
		{"one-way", envelope{Type: frameOneWay, Kind: 1, Body: body}},
		{"request", envelope{Type: frameRequest, ID: 2, Kind: 127, TimeoutMS: 30_000, Body: body}},
		{"request without a deadline", envelope{Type: frameRequest, ID: 3, Kind: 5, Body: body}},
		{"reply", envelope{Type: frameReply, ID: 1 << 40, Kind: 5, Body: body}},
		{"failure", envelope{Type: frameFailure, ID: 3, Kind: 5, Error: "not today"}},
		{"cancel", envelope{Type: frameCancel, ID: 3}},
		{"ping", envelope{Type: framePing}},
		{"pong", envelope{Type: framePong}},
		{"open", envelope{Type: frameOpen, Kind: 13, TimeoutMS: 1, Body: body}},
		{"item", envelope{Type: frameItem, Kind: 13, Body: body}},
		{"end", envelope{Type: frameEnd, Kind: 13}},
		{"handshake hello for messages", hello{Version: handshakeVersion, Name: "dialer", Nonce: dialerNonce, Purpose: purposeMessages}},
		{"handshake hello for streams", hello{Version: handshakeVersion, Name: "dialer", Nonce: dialerNonce, Purpose: purposeStreams}},
		{"handshake challenge", challenge{
			Version: handshakeVersion, Name: "listener", Nonce: listenerNonce,
			Proofs: [][]byte{authenticate(key, listenerLabel, signed), authenticate([]byte("another key"), listenerLabel, signed)},
		}},
		{"handshake proof", proof{MAC: authenticate(key, dialerLabel, signed)}},
		{"handshake welcome", welcome{Version: handshakeVersion}},
		{"handshake transcript", covered},
	}
}

// TestGoldenFrames decodes each frame written by an earlier release and encodes it again.
// The bytes must be the same.
func TestGoldenFrames(t *testing.T) {
	cases := goldenFrameCases(t)
	if *updateGolden {
		writeGoldenFrames(t, cases)
	}
	golden := readGoldenFrames(t)
	if len(golden) != len(cases) {
		t.Errorf("the golden file has %d frames, want %d", len(golden), len(cases))
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			frame, found := golden[test.name]
			if !found {
				t.Fatal("not in the golden file")
			}
			decoded := decodeGoldenFrame(t, frame, test.content)
			if !reflect.DeepEqual(decoded, test.content) {
				t.Errorf("decoded %+v, want %+v", decoded, test.content)
			}
			encoded, err := encodeFrame(decoded, maxControlFrameBytes)
			if err != nil {
				t.Fatalf("encoding: %v", err)
			}
			if !bytes.Equal(encoded, frame) {
				t.Errorf("encoded %x, want %x", encoded, frame)
			}
		})
	}
}

// decodeGoldenFrame decodes the content of a frame as a value of the sample's type.
func decodeGoldenFrame(t *testing.T, frame []byte, sample any) any {
	t.Helper()
	content, err := readFrame(bytes.NewReader(frame), maxControlFrameBytes, nil)
	if err != nil {
		t.Fatalf("reading: %v", err)
	}
	decoded := reflect.New(reflect.TypeOf(sample))
	if head, ok := decoded.Interface().(*envelope); ok {
		err = decodeEnvelope(content, head)
		// The body of a frame without one is encoded as CBOR null, which decodes to its
		// raw byte.
		if bytes.Equal(head.Body, []byte{0xf6}) {
			head.Body = nil
		}
	} else {
		err = decoding.Unmarshal(content, decoded.Interface())
	}
	if err != nil {
		t.Fatalf("decoding: %v", err)
	}
	return decoded.Elem().Interface()
}

// TestGoldenMessageFrame checks that encodeMessage and the pre-encoded ping and pong yield
// the same bytes as the golden frames.
func TestGoldenMessageFrame(t *testing.T) {
	golden := readGoldenFrames(t)
	request, err := encodeMessage(envelope{Type: frameRequest, ID: 2, Kind: 127, TimeoutMS: 30_000}, text{Text: "body"}, maxControlFrameBytes)
	if err != nil {
		t.Fatal(err)
	}
	frames := []struct {
		name  string
		frame []byte
	}{
		{"request", request},
		{"ping", pingFrame},
		{"pong", pongFrame},
	}
	for _, test := range frames {
		if !bytes.Equal(test.frame, golden[test.name]) {
			t.Errorf("%s: encoded %x, want %x", test.name, test.frame, golden[test.name])
		}
	}
}

// writeGoldenFrames writes three lines for each frame: its name, its content in CBOR
// diagnostic notation as a comment, and its bytes in hexadecimal.
func writeGoldenFrames(t *testing.T, cases []goldenFrame) {
	t.Helper()
	var written strings.Builder
	for _, each := range cases {
		frame, err := encodeFrame(each.content, maxControlFrameBytes)
		if err != nil {
			t.Fatal(err)
		}
		diagnostic, err := cbor.Diagnose(frame[lengthBytes:])
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&written, "%s\n# %s\n%x\n", each.name, diagnostic, frame)
	}
	if err := os.WriteFile(goldenFrames, []byte(written.String()), 0o600); err != nil {
		t.Fatal(err)
	}
}

func readGoldenFrames(t *testing.T) map[string][]byte {
	t.Helper()
	const linesPerFrame = 3
	content, err := os.ReadFile(goldenFrames)
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(string(content)), "\n")
	if len(lines)%linesPerFrame != 0 {
		t.Fatalf("%s has %d lines, want %d for each frame", goldenFrames, len(lines), linesPerFrame)
	}
	frames := make(map[string][]byte)
	for i := 0; i < len(lines); i += linesPerFrame {
		frame, err := hex.DecodeString(lines[i+linesPerFrame-1])
		if err != nil {
			t.Fatal(err)
		}
		frames[lines[i]] = frame
	}
	return frames
}
