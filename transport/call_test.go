package transport

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
)

func TestCallsAreMultiplexedAndTyped(t *testing.T) {
	a, b, _ := pairTCP(t)
	ctx := testContext(t)
	var group sync.WaitGroup
	for i := range 200 {
		group.Go(func() {
			var reply text
			if err := a.Call(ctx, b.Address(), kindEcho, text{Text: fmt.Sprint(i)}, &reply); err != nil {
				t.Error(err)
			} else if want := fmt.Sprint("a said ", i); reply.Text != want {
				t.Errorf("got %q, want %q", reply.Text, want)
			}
		})
	}
	group.Wait()
	for kind, want := range map[Kind]string{kindFail: "not today", kindUnknown: "no handler for kind 6"} {
		var remote *RemoteError
		if err := a.Call(ctx, b.Address(), kind, text{}, nil); !errors.As(err, &remote) || remote.Message != want || remote.Kind != kind {
			t.Errorf("the call of kind %d returned %v", kind, err)
		}
	}
	sent, received := a.Counters()[kindEcho], b.Counters()[kindEcho]
	if sent.SentMessages != 200 || sent.ReceivedMessages != 200 || received.ReceivedBytes != sent.SentBytes || received.SentBytes != sent.ReceivedBytes {
		t.Errorf("counters of the two nodes differ: %+v and %+v", sent, received)
	}
}

func TestOneWayMessagesArriveInOrder(t *testing.T) {
	a, b, events := pairTCP(t)
	for i := range 500 {
		a.Send(b.Address(), kindOneWay, text{Text: fmt.Sprint(i)})
	}
	for i := range 500 {
		if got, want := <-events, fmt.Sprint("a: ", i); got != want {
			t.Fatalf("got %q, want %q", got, want)
		}
	}
}

func TestCallEndsWithItsContextAndCancelsTheHandler(t *testing.T) {
	a, b, events := pairTCP(t)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- a.Call(ctx, b.Address(), kindHang, text{}, nil) }()
	if got := <-events; got != "hanging" {
		t.Fatal(got)
	}
	cancel()
	if err := <-done; !errors.Is(err, context.Canceled) || errors.Is(err, ErrNotSent) {
		t.Fatalf("the call returned %v, want context.Canceled without ErrNotSent", err)
	}
	if got := <-events; got != "canceled" {
		t.Fatal(got)
	}
}

func TestCallToUnreachableAddressIsNotSent(t *testing.T) {
	a, b, _ := pairTCP(t)
	address := b.Address()
	b.Close()
	err := a.Call(testContext(t), address, kindEcho, text{}, nil)
	if !errors.Is(err, ErrNotSent) {
		t.Fatalf("the call returned %v, want ErrNotSent", err)
	}
}

func TestOversizedFrames(t *testing.T) {
	events := make(chan string, 1)
	a := listenTCP(t, Config{Name: "a", Keys: [][]byte{keyNew}, MaxFrameBytes: 1 << 20}, events)
	b := listenTCP(t, Config{Name: "b", Keys: [][]byte{keyNew}, MaxFrameBytes: 1 << 10}, events)
	large := text{Text: strings.Repeat("x", 2<<10)}
	if err := a.Call(testContext(t), b.Address(), kindEcho, large, nil); !errors.Is(err, ErrConnectionLost) {
		t.Fatalf("a request above the receiver's limit returned %v, want ErrConnectionLost", err)
	}
	if err := b.Call(testContext(t), a.Address(), kindEcho, large, nil); !errors.Is(err, ErrNotSent) {
		t.Fatalf("a request above the sender's limit returned %v, want ErrNotSent", err)
	}
	var reply text
	if err := a.Call(testContext(t), b.Address(), kindEcho, text{Text: "small"}, &reply); err != nil {
		t.Fatalf("a small request after the oversized ones: %v", err)
	}
}

func TestOverridesReplaceTheDialedAddress(t *testing.T) {
	events := make(chan string, 1)
	b := listenTCP(t, Config{Name: "b", Keys: [][]byte{keyNew}}, events)
	const known = "192.0.2.1:7400"
	a := listenTCP(t, Config{Name: "a", Keys: [][]byte{keyNew}, AddressOverrides: map[string]string{known: b.Address()}}, events)
	if err := a.Call(testContext(t), known, kindEcho, text{}, nil); err != nil {
		t.Fatal(err)
	}
}
