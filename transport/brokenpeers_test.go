package transport

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestStreamsOfAConnectionRunOneAfterTheOther: a peer that opens the next stream before
// the end of the last one gets its handler only after that end.
func TestStreamsOfAConnectionRunOneAfterTheOther(t *testing.T) {
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
			t.Errorf("%d handlers run on one connection at once, want 1", running)
		}
		release <- struct{}{}
		synctest.Wait()
		if begun := len(started); begun != 2 {
			t.Errorf("%d handlers have begun after the end of the first, want 2", begun)
		}
		close(release)
	})
}

// TestStreamHandlerNoticesAPeerThatStoppedReadingFirst: the handler's write waits for a
// peer that reads nothing. The pings that come meanwhile are not answered, and must not
// hold up the reader, which is to notice when they end.
func TestStreamHandlerNoticesAPeerThatStoppedReadingFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, a, _, notes := memoryPair(t, Config{})
		stream, err := a.OpenStream(t.Context(), "b", kindCount, number{Number: 1 << 40})
		if err != nil {
			t.Fatal(err)
		}
		defer stream.Close()
		time.Sleep(4 * streamPingInterval) // the handler fills the connection
		network.Partition("a", "b")
		select {
		case got := <-notes:
			if got != "stream stopped" {
				t.Errorf("the handler says %q", got)
			}
		case <-time.After(2 * streamTimeout):
			t.Errorf("the handler goes on %v after the last ping", 2*streamTimeout)
		}
	})
}

// TestLongFrameCountsAsSignOfLife: a peer that is being sent a long frame can't answer
// what came before it. The frame's progress counts as a sign of life.
func TestLongFrameCountsAsSignOfLife(t *testing.T) {
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
		monitor.wrote()
		time.Sleep(2 * unresponsiveTimeout)
		connection.lastChunkWritten.Store(connection.now())
		if err := monitor.check(); err != nil {
			t.Errorf("right after a part of a frame was written: %v", err)
		}
		time.Sleep(unresponsiveTimeout)
		if err := monitor.check(); err == nil {
			t.Errorf("no silence is reported %v after the last progress", unresponsiveTimeout)
		}
	})
}

// TestMessageForARetiredLinkIsSentByTheNext: a link that was long unused may end between
// being found and being given a message.
func TestMessageForARetiredLinkIsSentByTheNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, a, _, notes := memoryPair(t, Config{})
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
			t.Fatalf("%v after %d tries", err, tries)
		}
		if got := <-notes; got != "a: hello" {
			t.Errorf("the peer got %q", got)
		}
	})
}

// TestCallThatWasGivenUpIsNotWritten: its caller was told that the peer hasn't seen it.
func TestCallThatWasGivenUpIsNotWritten(t *testing.T) {
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
			t.Error("a call in the queue counts as written")
		}
		monitor := newLivenessMonitor(connection)
		defer monitor.stop()
		if err := l.writeQueued(connection, monitor); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		if got := b.Counters()[kindEcho].ReceivedMessages; got != 0 {
			t.Errorf("the peer got the call %d times after it was given up", got)
		}
	})
}
