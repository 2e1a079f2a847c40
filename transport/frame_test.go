package transport

import (
	"strings"
	"testing"
)

// FuzzReadFrame passes arbitrary bytes to the decoder of frames from authenticated peers.
// The decoder must neither panic nor allocate more than the limit allows.
func FuzzReadFrame(f *testing.F) {
	complete, err := encodeMessage(envelope{Type: frameRequest, ID: 7, Kind: kindEcho, TimeoutMS: 5}, text{Text: "hello"}, 1<<10)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(complete)
	f.Add(pingFrame)
	f.Add(complete[:len(complete)-1])
	f.Add([]byte{0, 0, 0, 0})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x87})
	f.Add([]byte{0, 0, 0, 6, 0x9b, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, input []byte) {
		reader := strings.NewReader(string(input))
		const limit = 1 << 10
		for {
			content, err := readFrame(reader, limit, nil)
			if err != nil {
				return
			}
			if len(content) > limit || cap(content) > 2*limit {
				t.Fatalf("%d bytes allocated for the content of a frame", cap(content))
			}
			var decoded envelope
			if decodeEnvelope(content, &decoded) != nil {
				continue
			}
			checkReencoding(t, decoded, 4*limit)
			_ = decodeBody(decoded.Body, &text{})
		}
	})
}

// checkReencoding checks that a decoded envelope can be encoded and decoded again.
func checkReencoding(t *testing.T, decoded envelope, limit int) {
	t.Helper()
	frame, err := encodeFrame(decoded, limit)
	if err != nil {
		t.Fatalf("the decoded envelope %+v cannot be encoded: %v", decoded, err)
	}
	var again envelope
	if err := decodeEnvelope(frame[lengthBytes:], &again); err != nil {
		t.Fatalf("the encoded envelope %+v cannot be decoded: %v", decoded, err)
	}
}
