package stream_test

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/stream"
)

// A stream that ends without an end marker is an error, even if the connection was closed
// normally.
func Example() {
	var body []byte
	body = stream.AppendFrame(body, api.EventChunk, []byte(`{"request_id":"q","run_id":"r","sequence":1,"text":"a","tokens":1}`))
	reader := stream.NewReader(bytes.NewReader(body), stream.Options{RequestID: "q"})
	defer reader.Close()
	for {
		event, err := reader.Next()
		var failure *stream.ReadError
		if errors.As(err, &failure) {
			fmt.Println(failure.Code)
			return
		}
		fmt.Println(len(event.Chunk) > 0, reader.RunID())
	}
	// Output:
	// true r
	// replica_incomplete
}
