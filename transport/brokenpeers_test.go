package transport

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestStreamsOfAConnectionRunSequentially checks that if a peer opens a stream before
// the previous one has ended, the handler of the new stream starts only after that end.
func TestStreamsOfAConnectionRunSequentially(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := NewMemory()
		a := network.NodeWithConfig(Config{Name: "a", Listen: "a"})
		b := network.NodeWithConfig(Config{Name: "b", Listen: "b"})
		t.Cleanup(func() { a.Close() })
		t.Cleanup(func() { b.Close() })
		started, release := make(chan struct{}, 2), make(chan struct{})
		b.HandleStream(kindCount, func(ctx context.Context, _ string, _ func(any) error, _ func(any) error) error {
			started <- struct{}{}
			select {
			case <-release:
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		})
		if err := b.Start(); err != nil {
			t.Fatal(err)
		}
		connection, err := a.connect(t.Context(), "b", purposeStreams, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		defer a.release(connection.raw)
		frame, err := encodeMessage(envelope{Type: frameOpen, Kind: kindCount}, number{}, DefaultMaxFrameBytes)
		if err != nil {
			t.Fatal(err)
		}
		for range 2 {
			if err := connection.write(kindCount, frame, time.Second); err != nil {
				t.Fatal(err)
			}
		}
		synctest.Wait()
		if running := len(started); running != 1 {
			t.Errorf("%d handlers run concurrently on one connection, want 1", running)
		}
		release <- struct{}{}
		synctest.Wait()
		if begun := len(started); begun != 2 {
			t.Errorf("%d handlers have started after the end of the first, want 2", begun)
		}
		close(release)
	})
}

// TestStreamHandlerDetectsUnreachablePeerThatStoppedReading checks that a handler is
// canceled when its peer first stops reading and then becomes unreachable. While the
// handler's write is blocked, pings are not answered. They must not block the goroutine
// that reads frames, which has to detect that the pings have stopped.
func TestStreamHandlerDetectsUnreachablePeerThatStoppedReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, a, _, events := memoryPair(t, Config{})
		stream, err := a.OpenStream(t.Context(), "b", kindCount, number{Number: 1 << 40})
		if err != nil {
			t.Fatal(err)
		}
		defer stream.Close()
		time.Sleep(4 * streamPingInterval) // until the handler has filled the connection's buffer
		network.Partition("a", "b")
		select {
		case got := <-events:
			if got != "stream stopped" {
				t.Errorf("got event %q, want the end of the stream", got)
			}
		case <-time.After(2 * streamTimeout):
			t.Errorf("the handler still runs %v after the last ping", 2*streamTimeout)
		}
	})
}

// TestProgressOfLargeFrameCountsAsResponse checks that progress in writing a large frame
// counts as a response, since the peer's answers to earlier frames may be delayed until
// that frame is written.
func TestProgressOfLargeFrameCountsAsResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, a, _, _ := memoryPair(t, Config{})
		connection, err := a.connect(t.Context(), "b", purposeMessages, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		defer a.release(connection.raw)
		monitor := newLivenessMonitor(connection)
		defer monitor.stop()
		time.Sleep(time.Millisecond)
		monitor.recordWrite()
		time.Sleep(2 * unresponsiveTimeout)
		connection.lastChunkWritten.Store(connection.now())
		if err := monitor.check(); err != nil {
			t.Errorf("the check returned %v right after a chunk of a frame was written", err)
		}
		time.Sleep(unresponsiveTimeout)
		if err := monitor.check(); err == nil {
			t.Errorf("the check returned no error %v after the last chunk was written", unresponsiveTimeout)
		}
	})
}

// TestMessageForRetiredLinkIsSentByNewLink checks that a message is not lost when an idle
// link is retired after it was looked up and before the message was queued.
func TestMessageForRetiredLinkIsSentByNewLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, a, _, events := memoryPair(t, Config{})
		frame, err := encodeMessage(envelope{Type: frameOneWay, Kind: kindOneWay}, text{Text: "hello"}, DefaultMaxFrameBytes)
		if err != nil {
			t.Fatal(err)
		}
		tries := 0
		err = a.enqueue("b", func(l *link) pushResult {
			tries++
			if tries == 1 && !a.retire(l) {
				t.Error("an empty link was not retired")
			}
			return l.queue.push(outgoing{kind: kindOneWay, frame: frame})
		})
		if err != nil || tries != 2 {
			t.Fatalf("enqueue returned %v after %d attempts, want success at the second", err, tries)
		}
		if got := <-events; got != "a: hello" {
			t.Errorf("the peer received %q", got)
		}
	})
}

// TestCanceledCallIsNotWritten checks that a call that was canceled in the queue is
// not written, since its caller got an error that wraps ErrNotSent.
func TestCanceledCallIsNotWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, a, b, _ := memoryPair(t, Config{})
		connection, err := a.connect(t.Context(), "b", purposeMessages, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		defer a.release(connection.raw)
		frame, err := encodeMessage(envelope{Type: frameRequest, ID: 1, Kind: kindEcho}, text{}, DefaultMaxFrameBytes)
		if err != nil {
			t.Fatal(err)
		}
		l := newLink(a, "b", func() {})
		waiting := &pendingCall{id: 1, done: make(chan struct{})}
		l.enqueueCall(waiting, kindEcho, frame)
		if l.removeCall(waiting) {
			t.Error("a queued call is reported as written")
		}
		monitor := newLivenessMonitor(connection)
		defer monitor.stop()
		if err := l.writeQueued(connection, monitor); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		if got := b.Counters()[kindEcho].ReceivedMessages; got != 0 {
			t.Errorf("the peer received the canceled call %d times", got)
		}
	})
}
