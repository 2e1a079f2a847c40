package transport

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// These tests run in virtual time over the in-memory network.

// memoryPair returns a network with the started nodes "a" and "b", and the channel of
// the events of their handlers.
func memoryPair(t *testing.T, config Config) (*Memory, *Node, *Node, chan string) {
	t.Helper()
	network := NewMemory()
	events := make(chan string, 64)
	var nodes []*Node
	for _, name := range []string{"a", "b"} {
		config.Name, config.Listen = name, name
		node := network.NodeWithConfig(config)
		serveTestKinds(node, events)
		if err := node.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { node.Close() })
		nodes = append(nodes, node)
	}
	return network, nodes[0], nodes[1], events
}

// echo calls node "b" and waits for the reply for at most the timeout.
func echo(node *Node, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return node.Call(ctx, "b", kindEcho, text{}, &text{})
}

func TestUnresponsiveConnectionIsReplacedWithinASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, a, _, _ := memoryPair(t, Config{})
		if err := echo(a, time.Second); err != nil {
			t.Fatal(err)
		}
		network.Partition("a", "b")
		began := time.Now()
		if err := echo(a, 200*time.Millisecond); !errors.Is(err, context.DeadlineExceeded) || time.Since(began) != 200*time.Millisecond {
			t.Fatalf("the call returned %v after %v, want the end of its context after 200ms", err, time.Since(began))
		}
		err := echo(a, time.Hour)
		if took := time.Since(began); !errors.Is(err, ErrConnectionLost) || took > 1300*time.Millisecond {
			t.Fatalf("the call returned %v after %v, want a lost connection within 1.3s", err, took)
		}
		time.Sleep(10 * time.Second) // attempts to connect fail during this time
		network.Heal("a", "b")
		healed := time.Now()
		for echo(a, time.Second) != nil {
			if time.Since(healed) > 5*time.Second {
				t.Fatal("no reconnection within 5s after the partition was healed")
			}
		}
		t.Logf("reconnected %v after the partition was healed", time.Since(healed))
		if took := time.Since(healed); took > 1600*time.Millisecond {
			t.Fatalf("reconnected %v after the partition was healed, want at most 1.6s", took)
		}
	})
}

// TestFirstDialTimeoutIsShort checks that the first attempt to connect has a short
// timeout, so that a machine that has just been powered on is reached long before
// DialTimeout, and that the timeout grows to DialTimeout for a slow machine.
func TestFirstDialTimeoutIsShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, a, _, _ := memoryPair(t, Config{DialTimeout: time.Second})
		network.Partition("a", "b")
		began := time.Now()
		var took []time.Duration
		for range 4 {
			if err := echo(a, time.Hour); !errors.Is(err, ErrNotSent) {
				t.Fatal(err)
			}
			took = append(took, time.Since(began))
			began = time.Now()
		}
		if took[0] != time.Second/firstDialDivisor {
			t.Errorf("the first dial took %v, want DialTimeout/firstDialDivisor", took[0])
		}
		if took[3] < time.Second {
			t.Errorf("the fourth dial took %v, want at least DialTimeout", took[3])
		}
		network.Heal("a", "b")
		if err := echo(a, 2*time.Second); err != nil {
			t.Fatal(err)
		}
	})
}

func TestIdleConnectionIsNotPinged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, a, b, _ := memoryPair(t, Config{})
		if err := echo(a, time.Second); err != nil {
			t.Fatal(err)
		}
		time.Sleep(4 * time.Minute)
		if pings := b.Counters()[0].ReceivedMessages; pings > 1 {
			t.Fatalf("received %d pings while nothing was sent, want at most 1", pings)
		}
		time.Sleep(20 * time.Minute)
		a.mutex.Lock()
		links, open := len(a.links), len(a.connections)
		a.mutex.Unlock()
		if links != 0 || open != 0 {
			t.Fatalf("%d links and %d connections remain after the idle timeout, want none", links, open)
		}
		if err := echo(a, time.Second); err != nil {
			t.Fatal(err)
		}
	})
}

func TestQueueIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, a, _, events := memoryPair(t, Config{QueueLength: 8})
		network.Partition("a", "b")
		for i := range 100 {
			a.Send("b", kindOneWay, text{Text: fmt.Sprint(i)})
		}
		if err := echo(a, time.Hour); !errors.Is(err, ErrNotSent) {
			t.Fatalf("a call with a full queue returned %v, want ErrNotSent", err)
		}
		time.Sleep(2 * time.Second)
		network.Heal("a", "b")
		time.Sleep(2 * time.Second)
		a.Send("b", kindOneWay, text{Text: "last"})
		if got := <-events; got != "a: last" {
			t.Fatalf("got %q, want only the message sent after the partition", got)
		}
		if dropped := a.Counters()[kindOneWay].DroppedMessages; dropped != 100 {
			t.Fatalf("%d messages counted as dropped, want 100", dropped)
		}
	})
}

func TestUnresponsiveStreamBreaks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, a, b, events := memoryPair(t, Config{})
		stream, err := a.OpenStream(t.Context(), "b", kindCount, number{Number: 1 << 40})
		if err != nil {
			t.Fatal(err)
		}
		for range 10 {
			if err := stream.Next(&number{}); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Minute) // a slow reader must not count as unresponsive
		}
		network.Partition("b", "a")
		began := time.Now()
		_, err = collect(t, stream)
		if took := time.Since(began); !errors.Is(err, ErrConnectionLost) || took > 2*streamTimeout {
			t.Fatalf("the stream ended with %v after %v, want a lost connection within twice streamTimeout", err, took)
		}
		if got := <-events; got != "stream stopped" {
			t.Fatal(got)
		}
		if sent := b.Counters()[kindCount].SentMessages; sent > 1000 {
			t.Fatalf("%d messages were sent although the reader took only 10", sent)
		}
	})
}

func TestStreamHandlerDetectsUnresponsiveReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, a, _, events := memoryPair(t, Config{})
		stream, err := a.OpenStream(t.Context(), "b", kindCount, number{Number: 1 << 40})
		if err != nil {
			t.Fatal(err)
		}
		if err := stream.Next(&number{}); err != nil {
			t.Fatal(err)
		}
		network.Partition("a", "b")
		began := time.Now()
		if got := <-events; got != "stream stopped" || time.Since(began) > 2*streamTimeout {
			t.Fatalf("got event %q after %v, want the end of the stream within twice streamTimeout", got, time.Since(began))
		}
		stream.Close()
	})
}

func TestSetLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, a, _, events := memoryPair(t, Config{})
		network.SetLoss(func(from, to string, kind Kind) bool { return from == "a" && to == "b" && kind == kindOneWay })
		a.Send("b", kindOneWay, text{Text: "lost"})
		if err := echo(a, time.Second); err != nil {
			t.Fatal(err)
		}
		network.SetLoss(nil)
		a.Send("b", kindOneWay, text{Text: "found"})
		if got := <-events; got != "a: found" {
			t.Fatal(got)
		}
	})
}
