package relay

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"
)

// lossyLink opens a link from a to b of a lossy network to an echoing target.
func lossyLink(t *testing.T) (*Network, string) {
	t.Helper()
	network := NewLossy()
	t.Cleanup(network.Close)
	address, err := network.Link("127.0.0.1", "a", "b", startEcho(t))
	if err != nil {
		t.Fatal(err)
	}
	return network, address
}

func cutBoth(n *Network) {
	n.Cut("a", "b")
	n.Cut("b", "a")
}

func healBoth(n *Network) {
	n.Heal("a", "b")
	n.Heal("b", "a")
}

// awaitSilence waits until connections to an address hang.
func awaitSilence(t *testing.T, address string) {
	t.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for {
		connection, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			return
		}
		if connection != nil {
			connection.Close()
		}
		if time.Now().After(deadline) {
			t.Fatalf("dialing a cut link returned %v, want a timeout", err)
		}
	}
}

func echo(t *testing.T, connection net.Conn) {
	t.Helper()
	if _, err := connection.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if _, err := connection.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
}

// TestCutLossyLinkIgnoresNewConnections checks that connections to a cut link neither open nor
// fail, and that TCP opens one of them after the cut.
func TestCutLossyLinkIgnoresNewConnections(t *testing.T) {
	network, address := lossyLink(t)
	cutBoth(network)
	awaitSilence(t, address)
	dialed := make(chan error, 1)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	go func() {
		connection, err := new(net.Dialer).DialContext(ctx, "tcp", address)
		if err == nil {
			connection.Close()
		}
		dialed <- err
	}()
	select {
	case err := <-dialed:
		t.Fatalf("dialing a cut link ended with %v", err)
	case <-time.After(300 * time.Millisecond):
	}
	healBoth(network)
	if err := <-dialed; err != nil {
		t.Errorf("dialing a link that was healed meanwhile failed: %v", err)
	}
}

// TestCutLossyLinkDeliversWithNextRetransmission checks that data of an open connection waits
// for TCP's next retransmission after a cut.
func TestCutLossyLinkDeliversWithNextRetransmission(t *testing.T) {
	network, address := lossyLink(t)
	connection, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	echo(t, connection)
	cutBoth(network)
	sent := time.Now()
	time.AfterFunc(700*time.Millisecond, func() { healBoth(network) })
	echo(t, connection)
	if took, want := time.Since(sent), 1400*time.Millisecond; took < want {
		t.Errorf("data arrived %v after it was first sent, want %v at least", took, want)
	}
}

func TestNextRetransmission(t *testing.T) {
	sent := time.Unix(0, 0)
	for healed, want := range map[time.Duration]time.Duration{
		0:                      0,
		100 * time.Millisecond: 200 * time.Millisecond,
		14 * time.Second:       25400 * time.Millisecond,
	} {
		if got := nextRetransmission(sent, sent.Add(healed)).Sub(sent); got != want {
			t.Errorf("after a cut of %v data arrives after %v, want %v", healed, got, want)
		}
	}
}
