package transport

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/internal/fleet/relay"
)

// TestHandshakeHasItsOwnTimeout checks that a handshake between distant regions may take
// longer than DialTimeout.
func TestHandshakeHasItsOwnTimeout(t *testing.T) {
	const oneWay = 60 * time.Millisecond
	path := relay.New()
	t.Cleanup(path.Close)
	listener := listenTCP(t, Config{Name: "b", Keys: [][]byte{keyNew}, DialTimeout: oneWay}, make(chan string, 1))
	address, err := path.Link("127.0.0.1", "a", "b", listener.Address())
	if err != nil {
		t.Fatal(err)
	}
	path.Delay("a", "b", oneWay)
	path.Delay("b", "a", oneWay)
	dialer := listenTCP(t, Config{Name: "a", Keys: [][]byte{keyNew}, DialTimeout: oneWay}, make(chan string, 1))
	// The first dialing has a quarter of DialTimeout, which a busy machine may exceed; a
	// handshake that ended with DialTimeout would fail each time.
	var callErr error
	for range 5 {
		callErr = dialer.Call(testContext(t), address, kindEcho, text{}, &text{})
		var timeout net.Error
		if !errors.As(callErr, &timeout) || !timeout.Timeout() || !errors.Is(callErr, ErrNotSent) {
			break
		}
	}
	if callErr != nil {
		t.Fatalf("calling over a path with a delay of %v in each direction: %v", oneWay, callErr)
	}
}

func TestHandshakeKeys(t *testing.T) {
	cases := []struct {
		name             string
		dialer, listener [][]byte
		ok               bool
	}{
		{"same key", [][]byte{keyNew}, [][]byte{keyNew}, true},
		{"dialer already has the newer key", [][]byte{keyNew, keyOld}, [][]byte{keyOld}, true},
		{"listener already has the newer key", [][]byte{keyOld}, [][]byte{keyNew, keyOld}, true},
		{"no shared key", [][]byte{keyOld}, [][]byte{keyNew}, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			events := make(chan string, 1)
			a := listenTCP(t, Config{Name: "a", Keys: test.dialer}, events)
			b := listenTCP(t, Config{Name: "b", Keys: test.listener}, events)
			err := a.Call(testContext(t), b.Address(), kindEcho, text{}, nil)
			if (err == nil) != test.ok {
				t.Fatalf("unexpected result of the call: %v", err)
			}
			if !test.ok && (!errors.Is(err, ErrHandshake) || !errors.Is(err, ErrNotSent)) {
				t.Fatalf("the call returned %v, want an error that wraps ErrHandshake and ErrNotSent", err)
			}
		})
	}
	if _, err := Listen(Config{Listen: "127.0.0.1:0"}, nil); err == nil {
		t.Fatal("Listen accepted a configuration without a key")
	}
}

// TestReplayedHandshakeIsRefused sends the recorded bytes of another dialer. Their proof
// must be rejected, since the listener uses a new nonce.
func TestReplayedHandshakeIsRefused(t *testing.T) {
	events := make(chan string, 1)
	node := listenTCP(t, Config{Name: "b", Keys: [][]byte{keyNew}}, events)
	relay, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer relay.Close()
	recorded := make(chan []byte)
	go recordDialer(relay, node.Address(), recorded)
	caller := listenTCP(t, Config{Name: "a", Keys: [][]byte{keyNew}}, events)
	if err := caller.Call(testContext(t), relay.Addr().String(), kindEcho, text{}, nil); err != nil {
		t.Fatal(err)
	}
	caller.Close()
	replay, err := net.Dial("tcp", node.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer replay.Close()
	replay.Write(<-recorded)
	before := node.Counters()[kindEcho].ReceivedMessages
	io.Copy(io.Discard, replay) // returns when the node closes the connection
	if after := node.Counters()[kindEcho].ReceivedMessages; after != before || before != 1 {
		t.Fatalf("the node received %d calls before the replay and %d after it, want 1 and 1", before, after)
	}
}

// recordDialer relays one connection to the target and sends the bytes that its dialer
// sent to recorded.
func recordDialer(relay net.Listener, target string, recorded chan<- []byte) {
	dialer, err := relay.Accept()
	if err != nil {
		return
	}
	listener, err := net.Dial("tcp", target)
	if err != nil {
		dialer.Close()
		return
	}
	go func() {
		io.Copy(dialer, listener)
		dialer.Close()
	}()
	var sent strings.Builder
	io.Copy(io.MultiWriter(listener, &sent), dialer)
	listener.Close()
	recorded <- []byte(sent.String())
}
