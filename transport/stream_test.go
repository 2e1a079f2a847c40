package transport

import (
	"context"
	"errors"
	"io"
	"testing"
)

// collect reads a stream to its end. It returns the numbers received and the error that
// ended the stream.
func collect(t *testing.T, stream Stream) ([]int, error) {
	t.Helper()
	var numbers []int
	for {
		var item number
		if err := stream.Next(&item); err != nil {
			return numbers, err
		}
		numbers = append(numbers, item.Number)
	}
}

func TestStreams(t *testing.T) {
	a, b, _ := pairTCP(t)
	ctx := testContext(t)
	for _, length := range []int{0, 1, 2, 1000, 1001} {
		stream, err := a.OpenStream(ctx, b.Address(), kindCount, number{Number: length})
		if err != nil {
			t.Fatal(err)
		}
		numbers, err := collect(t, stream)
		if len(numbers) != length {
			t.Fatalf("received %d of %d messages", len(numbers), length)
		}
		var remote *RemoteError
		//nolint:errorlint // the end of a stream is io.EOF itself, as of an io.Reader
		if length%2 == 0 && err != io.EOF || length%2 == 1 && !errors.As(err, &remote) {
			t.Fatalf("the stream of length %d ended with %v", length, err)
		}
		if again := stream.Next(&number{}); !errors.Is(again, err) {
			t.Fatalf("Next after the end returned %v, want the same error again", again)
		}
	}
}

func TestStreamsReuseConnections(t *testing.T) {
	a, b, _ := pairTCP(t)
	used := make(map[*conn]int)
	const streams = 20
	for range streams {
		stream, err := a.OpenStream(testContext(t), b.Address(), kindCount, number{Number: 2})
		if err != nil {
			t.Fatal(err)
		}
		opened, ok := stream.(*openedStream)
		if !ok {
			t.Fatalf("the stream has type %T, want *openedStream", stream)
		}
		used[opened.connection]++
		//nolint:errorlint // as above
		if _, err := collect(t, stream); err != io.EOF {
			t.Fatal(err)
		}
	}
	if len(used) == streams {
		t.Fatal("no stream reused a connection")
	}
}

// TestStreamWrittenDuringCloseIsNotReportedUnsent closes the node right after the request
// was written in full. The peer may execute the request, so the error must not wrap
// ErrNotSent.
func TestStreamWrittenDuringCloseIsNotReportedUnsent(t *testing.T) {
	a, b, _ := pairTCP(t)
	ctx := testContext(t)
	first, err := a.OpenStream(ctx, b.Address(), kindCount, number{Number: 2})
	if err != nil {
		t.Fatal(err)
	}
	//nolint:errorlint // the end of a stream is io.EOF itself, as of an io.Reader
	if _, err := collect(t, first); err != io.EOF {
		t.Fatal(err)
	}
	setClosed := func(closed bool) {
		a.mutex.Lock()
		defer a.mutex.Unlock()
		a.closed = closed
	}
	setClosed(true) // the first step of Close; the idle connection is still open
	stream, err := a.OpenStream(ctx, b.Address(), kindCount, number{Number: 2})
	setClosed(false)
	if err != nil {
		t.Fatalf("OpenStream reported a written request as not sent: %v", err)
	}
	if _, err := collect(t, stream); !errors.Is(err, ErrConnectionLost) {
		t.Fatalf("the stream ended with %v", err)
	}
}

func TestClosedStreamStopsTheHandler(t *testing.T) {
	a, b, events := pairTCP(t)
	for _, stop := range []string{"close", "context"} {
		ctx, cancel := context.WithCancel(t.Context())
		stream, err := a.OpenStream(ctx, b.Address(), kindCount, number{Number: 1 << 40})
		if err != nil {
			t.Fatal(err)
		}
		if err := stream.Next(&number{}); err != nil {
			t.Fatal(err)
		}
		if stop == "close" {
			stream.Close()
		} else {
			cancel()
			if _, err := collect(t, stream); !errors.Is(err, context.Canceled) {
				t.Fatalf("the stream ended with %v", err)
			}
		}
		if got := <-events; got != "stream stopped" {
			t.Fatal(got)
		}
		cancel()
	}
}

func TestBrokenStreamDoesNotEndCleanly(t *testing.T) {
	a, b, _ := pairTCP(t)
	stream, err := a.OpenStream(testContext(t), b.Address(), kindCount, number{Number: 1 << 40})
	if err != nil {
		t.Fatal(err)
	}
	if err := stream.Next(&number{}); err != nil {
		t.Fatal(err)
	}
	b.mutex.Lock()
	for raw := range b.connections {
		raw.Close()
	}
	b.mutex.Unlock()
	if _, err := collect(t, stream); !errors.Is(err, ErrConnectionLost) || errors.Is(err, io.EOF) {
		t.Fatalf("the stream ended with %v", err)
	}
}
