package relay

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"go.uber.org/goleak"
)

const (
	readTimeout = 10 * time.Second
	// quietTime is how long a test checks that no byte arrives through a cut link.
	quietTime = 50 * time.Millisecond
)

// startEcho starts an echo server and returns its address.
func startEcho(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer connection.Close()
				io.Copy(connection, connection)
			}()
		}
	}()
	return listener.Addr().String()
}

// openLink returns a network with one link, from node a to target on node b, and the
// relay's address. The network is closed at the end of the test.
func openLink(t *testing.T, target string) (*Network, string) {
	t.Helper()
	network := New()
	t.Cleanup(network.Close)
	address, err := network.Link("127.0.0.1", "a", "b", target)
	if err != nil {
		t.Fatal(err)
	}
	return network, address
}

// client is one connection through a relay.
type client struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, address string) *client {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { connection.Close() })
	return &client{t: t, conn: connection, reader: bufio.NewReader(connection)}
}

func (c *client) send(line string) {
	c.t.Helper()
	if _, err := fmt.Fprintln(c.conn, line); err != nil {
		c.t.Fatal(err)
	}
}

func (c *client) closeWrite() {
	c.t.Helper()
	connection, ok := c.conn.(*net.TCPConn)
	if !ok {
		c.t.Fatalf("not a TCP connection: %T", c.conn)
	}
	if err := connection.CloseWrite(); err != nil {
		c.t.Fatal(err)
	}
}

func (c *client) expect(line string) {
	c.t.Helper()
	c.conn.SetReadDeadline(time.Now().Add(readTimeout))
	got, err := c.reader.ReadString('\n')
	if err != nil || got != line+"\n" {
		c.t.Fatalf("got %q, %v; want %q", got, err, line)
	}
}

func (c *client) expectNothing() {
	c.t.Helper()
	c.conn.SetReadDeadline(time.Now().Add(quietTime))
	if _, err := c.reader.ReadByte(); !errors.Is(err, os.ErrDeadlineExceeded) {
		c.t.Fatalf("read from a cut link: error %v, want a deadline error", err)
	}
}

func TestCutBlocksAndHealDelivers(t *testing.T) {
	for _, direction := range [][2]string{{"a", "b"}, {"b", "a"}} {
		t.Run(direction[0]+" to "+direction[1], func(t *testing.T) {
			network, address := openLink(t, startEcho(t))
			c := dial(t, address)
			c.send("one")
			c.expect("one")
			network.Cut(direction[0], direction[1])
			c.send("two")
			c.expectNothing()
			late := dial(t, address)
			late.send("three")
			late.expectNothing()
			network.Heal(direction[0], direction[1])
			c.expect("two")
			late.expect("three")
		})
	}
}

func TestDelayPostponesDelivery(t *testing.T) {
	network, address := openLink(t, startEcho(t))
	const delay = 60 * time.Millisecond
	network.Delay("b", "a", delay)
	c := dial(t, address)
	start := time.Now()
	c.send("late")
	c.expect("late")
	if took := time.Since(start); took < delay {
		t.Errorf("answer after %v, before the delay of %v", took, delay)
	}
}

func TestHalfCloseIsForwarded(t *testing.T) {
	_, address := openLink(t, startEcho(t))
	c := dial(t, address)
	c.send("last")
	c.closeWrite()
	c.expect("last")
	c.conn.SetReadDeadline(time.Now().Add(readTimeout))
	if _, err := c.reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("read after the half-close: error %v, want EOF", err)
	}
}

func TestNetworkCloseEndsAllGoroutines(t *testing.T) {
	target := startEcho(t)
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	network := New()
	address, err := network.Link("127.0.0.1", "a", "b", target)
	if err != nil {
		t.Fatal(err)
	}
	network.Cut("a", "b")
	c := dial(t, address)
	c.send("held")
	network.Close()
	c.conn.Close()
}
