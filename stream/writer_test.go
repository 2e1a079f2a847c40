package stream

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/api"
)

// TestWriterAbortBreaksTheConnection checks that after Abort the client receives the error
// event and then an error, rather than the regular end of the body.
func TestWriterAbortBreaksTheConnection(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writer := NewWriter(w, time.Second)
		if err := writer.Frames([]byte(chunkFrame("r", "run", 1, 1, "a"))); err != nil {
			t.Error(err)
		}
		writer.Abort(&api.Error{Code: api.CodeReplicaBroken, Outcome: api.OutcomeFailed})
	}))
	server.Config.ErrorLog = nil
	defer server.Close()
	response, err := http.Get(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Fatalf("reading the body ended with error %v, want io.ErrUnexpectedEOF", err)
	}
	if !bytes.Contains(body, []byte("event: error\ndata: {\"code\":\"replica_broken\"")) {
		t.Fatalf("the body has no error event: %q", body)
	}
}
