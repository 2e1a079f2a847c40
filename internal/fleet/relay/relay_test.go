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
	patience = 10 * time.Second
	// silence is how long a cut link is watched for a byte that must not come.
	silence = 50 * time.Millisecond
)

// echo answers each line with itself until the listener is closed.
func echo(t *testing.T) string {
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
	c.conn.SetReadDeadline(time.Now().Add(patience))
	got, err := c.reader.ReadString('\n')
	if err != nil || got != line+"\n" {
		c.t.Fatalf("got %q, %v; want %q", got, err, line)
	}
}

func (c *client) expectSilence() {
	c.t.Helper()
	c.conn.SetReadDeadline(time.Now().Add(silence))
	if _, err := c.reader.ReadByte(); !errors.Is(err, os.ErrDeadlineExceeded) {
		c.t.Fatalf("read through a cut: %v", err)
	}
}

func TestCutHoldsAndHealDelivers(t *testing.T) {
	for _, way := range [][2]string{{"a", "b"}, {"b", "a"}} {
		t.Run(way[0]+" to "+way[1], func(t *testing.T) {
			network := New()
			defer network.Close()
			address, err := network.Link("127.0.0.1", "a", "b", echo(t))
			if err != nil {
				t.Fatal(err)
			}
			c := dial(t, address)
			c.send("one")
			c.expect("one")
			network.Cut(way[0], way[1])
			c.send("two")
			c.expectSilence()
			late := dial(t, address)
			late.send("three")
			late.expectSilence()
			network.Heal(way[0], way[1])
			c.expect("two")
			late.expect("three")
		})
	}
}

func TestDelayHoldsEachByte(t *testing.T) {
	network := New()
	defer network.Close()
	address, err := network.Link("127.0.0.1", "a", "b", echo(t))
	if err != nil {
		t.Fatal(err)
	}
	const delay = 60 * time.Millisecond
	network.Delay("b", "a", delay)
	c := dial(t, address)
	start := time.Now()
	c.send("late")
	c.expect("late")
	if took := time.Since(start); took < delay {
		t.Errorf("answer after %v through a delay of %v", took, delay)
	}
}

func TestCloseAndBreakArePassedOn(t *testing.T) {
	network := New()
	defer network.Close()
	address, err := network.Link("127.0.0.1", "a", "b", echo(t))
	if err != nil {
		t.Fatal(err)
	}
	c := dial(t, address)
	c.send("last")
	c.closeWrite()
	c.expect("last")
	c.conn.SetReadDeadline(time.Now().Add(patience))
	if _, err := c.reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("after the close: %v", err)
	}
}

func TestCloseLeavesNoGoroutine(t *testing.T) {
	target := echo(t)
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
