package transport

import (
	"context"
	"errors"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	kindEcho Kind = iota + 1
	kindFail
	kindOneWay
	kindCount
	kindHang
	kindUnknown
)

var (
	keyOld = []byte("the older key of the fleet")
	keyNew = []byte("the newer key of the fleet")
)

type text struct {
	Text string `cbor:"1,keyasint"`
}

type number struct {
	Number int `cbor:"1,keyasint"`
}

// serveTestKinds registers the handlers of the tests, which report to events.
func serveTestKinds(node Network, events chan<- string) {
	node.Handle(kindEcho, func(_ context.Context, from string, decode func(any) error) (any, error) {
		var request text
		if err := decode(&request); err != nil {
			return nil, err
		}
		return text{Text: from + " said " + request.Text}, nil
	})
	node.Handle(kindFail, func(context.Context, string, func(any) error) (any, error) {
		return nil, errors.New("not today")
	})
	node.Handle(kindOneWay, func(_ context.Context, from string, decode func(any) error) (any, error) {
		var note text
		if err := decode(&note); err != nil {
			return nil, err
		}
		events <- from + ": " + note.Text
		return nil, nil
	})
	node.Handle(kindHang, func(ctx context.Context, _ string, _ func(any) error) (any, error) {
		events <- "hanging"
		<-ctx.Done()
		events <- "canceled"
		return nil, ctx.Err()
	})
	node.HandleStream(kindCount, func(ctx context.Context, _ string, decode func(any) error, send func(any) error) error {
		var upTo number
		if err := decode(&upTo); err != nil {
			return err
		}
		for i := range upTo.Number {
			if err := send(number{Number: i}); err != nil {
				events <- "stream stopped"
				return err
			}
		}
		if upTo.Number%2 == 1 {
			return errors.New("the count is odd")
		}
		return nil
	})
}

// listenTCP returns a started node on a free port of the loopback interface.
func listenTCP(t *testing.T, config Config, events chan<- string) *Node {
	t.Helper()
	config.Listen = "127.0.0.1:0"
	node, err := Listen(config, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { node.Close() })
	serveTestKinds(node, events)
	if err := node.Start(); err != nil {
		t.Fatal(err)
	}
	return node
}

// pairTCP returns the started nodes "a" and "b", and the channel of the events of their
// handlers.
func pairTCP(t *testing.T) (*Node, *Node, chan string) {
	t.Helper()
	events := make(chan string, 4096)
	// The first dial may take a second, which a busy machine sometimes needs.
	const dialTimeout = firstDialDivisor * time.Second
	a := listenTCP(t, Config{Name: "a", Keys: [][]byte{keyNew}, DialTimeout: dialTimeout}, events)
	b := listenTCP(t, Config{Name: "b", Keys: [][]byte{keyNew}, DialTimeout: dialTimeout}, events)
	return a, b, events
}

// testTimeout ends a test that hangs; no test is expected to reach it.
const testTimeout = 20 * time.Second

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}
