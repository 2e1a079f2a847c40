package transport

import (
	"context"
	"log/slog"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// TestQueueIsBoundedInBytes guards against a queue that is bounded in frames alone and fills
// the memory with large ones for a peer that does not read.
func TestQueueIsBoundedInBytes(t *testing.T) {
	const frameBytes = 1 << 10
	queue := newSendQueue(1000, 10*frameBytes)
	frame := make([]byte, frameBytes)
	for i := range 10 {
		if result := queue.push(outgoing{frame: frame}); result != pushed {
			t.Fatalf("frame %d was not queued: %v", i, result)
		}
	}
	if result := queue.push(outgoing{frame: frame}); result != queueFull {
		t.Errorf("a frame beyond the bytes was not refused: %v", result)
	}
	queue.take()
	if result := queue.push(outgoing{frame: frame}); result != pushed {
		t.Errorf("there is no room after a frame was taken: %v", result)
	}
	queue.takeAll()
	if result := queue.push(outgoing{frame: make([]byte, 100*frameBytes)}); result != pushed {
		t.Errorf("a large frame does not wait alone: %v", result)
	}
	if result := queue.push(outgoing{frame: frame}); result != queueFull {
		t.Errorf("a frame was queued behind one beyond the bytes: %v", result)
	}
}

// TestInboundMessagesAreBoundedInBytes guards against messages that fill the memory while
// their handler is slow.
func TestInboundMessagesAreBoundedInBytes(t *testing.T) {
	const (
		kind      = Kind(7)
		bodyBytes = 1 << 10
		room      = 10
	)
	release := make(chan struct{})
	node := NewMemory().NodeWithConfig(Config{Name: "n", Listen: "n", QueueBytes: room * bodyBytes})
	node.logger = slog.New(slog.DiscardHandler)
	node.Handle(kind, func(context.Context, string, func(any) error) (any, error) {
		<-release
		return nil, nil
	})
	i := newInbound(node, &conn{peer: "p"})
	for range 100 {
		i.queueOneWay(t.Context(), envelope{Kind: kind, Body: cbor.RawMessage(make([]byte, bodyBytes))})
	}
	if waiting := i.oneWayBytes.Load(); waiting > room*bodyBytes {
		t.Errorf("%d bytes wait for the handler, want at most %d", waiting, room*bodyBytes)
	}
	close(release)
	close(i.oneWay)
	i.group.Wait()
	if waiting := i.oneWayBytes.Load(); waiting != 0 {
		t.Errorf("%d bytes are counted with no message waiting", waiting)
	}
	if err := node.Close(); err != nil {
		t.Error(err)
	}
}
