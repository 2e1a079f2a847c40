package transport

import (
	"strings"
	"testing"
)

// FuzzReadFrame feeds arbitrary bytes to the decoding that an authenticated
// peer reaches. It must neither panic nor allocate beyond the limit.
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
				t.Fatalf("%d bytes allocated for a frame", cap(content))
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

// checkReencoding holds that what was decoded can be encoded and decoded again.
func checkReencoding(t *testing.T, decoded envelope, limit int) {
	t.Helper()
	frame, err := encodeFrame(decoded, limit)
	if err != nil {
		t.Fatalf("decoded %+v cannot be encoded: %v", decoded, err)
	}
	var again envelope
	if err := decodeEnvelope(frame[lengthBytes:], &again); err != nil {
		t.Fatalf("encoded %+v cannot be decoded: %v", decoded, err)
	}
}
