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

func memoryPair(t *testing.T, config Config) (*Memory, *Node, *Node, chan string) {
	t.Helper()
	network := NewMemory()
	notes := make(chan string, 64)
	var nodes []*Node
	for _, name := range []string{"a", "b"} {
		config.Name, config.Listen = name, name
		node := network.NodeWithConfig(config)
		serveTestKinds(node, notes)
		if err := node.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { node.Close() })
		nodes = append(nodes, node)
	}
	return network, nodes[0], nodes[1], notes
}

func echo(node *Node, to string, patience time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	return node.Call(ctx, to, kindEcho, text{}, &text{})
}

func TestSilentConnectionIsReplacedWithinASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, a, _, _ := memoryPair(t, Config{})
		if err := echo(a, "b", time.Second); err != nil {
			t.Fatal(err)
		}
		network.Partition("a", "b")
		began := time.Now()
		if err := echo(a, "b", 200*time.Millisecond); !errors.Is(err, context.DeadlineExceeded) || time.Since(began) != 200*time.Millisecond {
			t.Fatalf("%v after %v: a call must end with its context", err, time.Since(began))
		}
		err := echo(a, "b", time.Hour)
		if took := time.Since(began); !errors.Is(err, ErrConnectionLost) || took > 1300*time.Millisecond {
			t.Fatalf("%v after %v: the silence must be noticed", err, took)
		}
		time.Sleep(10 * time.Second) // attempts to connect fail meanwhile
		network.Heal("a", "b")
		healed := time.Now()
		for echo(a, "b", time.Second) != nil {
			if time.Since(healed) > 5*time.Second {
				t.Fatal("not connected again")
			}
		}
		t.Logf("answered %v after the cut was healed", time.Since(healed))
		if took := time.Since(healed); took > 1600*time.Millisecond {
			t.Fatalf("connected again after %v only", took)
		}
	})
}

// TestFirstDiallingIsShort: a machine that gets its power back between two packets
// is reached long before DialTimeout, and a slow one is dialled for longer later.
func TestFirstDiallingIsShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, a, _, _ := memoryPair(t, Config{DialTimeout: time.Second})
		network.Partition("a", "b")
		began := time.Now()
		var took []time.Duration
		for range 4 {
			if err := echo(a, "b", time.Hour); !errors.Is(err, ErrNotSent) {
				t.Fatal(err)
			}
			took = append(took, time.Since(began))
			began = time.Now()
		}
		if took[0] != time.Second/firstDialPart {
			t.Errorf("the first dialling took %v", took[0])
		}
		if took[3] < time.Second {
			t.Errorf("the fourth dialling took %v, less than DialTimeout", took[3])
		}
		network.Heal("a", "b")
		if err := echo(a, "b", 2*time.Second); err != nil {
			t.Fatal(err)
		}
	})
}

func TestAnIdleConnectionIsNotProbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, a, b, _ := memoryPair(t, Config{})
		if err := echo(a, "b", time.Second); err != nil {
			t.Fatal(err)
		}
		time.Sleep(4 * time.Minute)
		if pings := b.Counters()[0].ReceivedMessages; pings > 1 {
			t.Fatalf("%d pings while nothing was sent", pings)
		}
		time.Sleep(20 * time.Minute)
		a.mutex.Lock()
		links, open := len(a.links), len(a.open)
		a.mutex.Unlock()
		if links != 0 || open != 0 {
			t.Fatalf("%d links and %d connections are kept for an address long unused", links, open)
		}
		if err := echo(a, "b", time.Second); err != nil {
			t.Fatal(err)
		}
	})
}

func TestQueueIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, a, _, notes := memoryPair(t, Config{QueueLength: 8})
		network.Partition("a", "b")
		for i := range 100 {
			a.Send("b", kindNote, text{Text: fmt.Sprint(i)})
		}
		if err := echo(a, "b", time.Hour); !errors.Is(err, ErrNotSent) {
			t.Fatalf("a call beyond the queue: %v", err)
		}
		time.Sleep(2 * time.Second)
		network.Heal("a", "b")
		time.Sleep(2 * time.Second)
		a.Send("b", kindNote, text{Text: "last"})
		if got := <-notes; got != "a: last" {
			t.Fatalf("%q outlived the failed connection", got)
		}
		if dropped := a.Counters()[kindNote].DroppedMessages; dropped != 100 {
			t.Fatalf("%d messages counted as dropped", dropped)
		}
	})
}

func TestSilentStreamBreaks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, a, b, notes := memoryPair(t, Config{})
		stream, err := a.OpenStream(context.Background(), "b", kindCount, number{Number: 1 << 40})
		if err != nil {
			t.Fatal(err)
		}
		for range 10 {
			if err := stream.Next(&number{}); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Minute) // a slow reader is no silent one
		}
		network.Partition("b", "a")
		began := time.Now()
		_, err = collect(t, stream)
		if took := time.Since(began); !errors.Is(err, ErrConnectionLost) || took > 2*streamSilence {
			t.Fatalf("%v after %v", err, took)
		}
		if got := <-notes; got != "stream stopped" {
			t.Fatal(got)
		}
		if sent := b.Counters()[kindCount].SentMessages; sent > 1000 {
			t.Fatalf("%d messages were sent to a reader of 10", sent)
		}
	})
}

func TestStreamHandlerNoticesASilentReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, a, _, notes := memoryPair(t, Config{})
		stream, err := a.OpenStream(context.Background(), "b", kindCount, number{Number: 1 << 40})
		if err != nil {
			t.Fatal(err)
		}
		if err := stream.Next(&number{}); err != nil {
			t.Fatal(err)
		}
		network.Partition("a", "b")
		began := time.Now()
		if got := <-notes; got != "stream stopped" || time.Since(began) > 2*streamSilence {
			t.Fatalf("%q after %v", got, time.Since(began))
		}
		stream.Close()
	})
}

func TestLossRule(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, a, _, notes := memoryPair(t, Config{})
		network.SetLoss(func(from, to string, kind Kind) bool { return from == "a" && to == "b" && kind == kindNote })
		a.Send("b", kindNote, text{Text: "lost"})
		if err := echo(a, "b", time.Second); err != nil {
			t.Fatal(err)
		}
		network.SetLoss(nil)
		a.Send("b", kindNote, text{Text: "found"})
		if got := <-notes; got != "a: found" {
			t.Fatal(got)
		}
	})
}
