package sockets

import (
	"net"
	"testing"
	"time"
)

// pair returns both ends of a TCP connection.
func pair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	near, err = net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	far, err = listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { near.Close(); far.Close() })
	return near, far
}

// becomesLoud waits until a connection is no longer quiet.
func becomesLoud(conn net.Conn) bool {
	for range 500 {
		if !Quiet(conn) {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

func TestQuiet(t *testing.T) {
	near, far := pair(t)
	BoundUnacknowledged(near, time.Second)
	if !Quiet(near) {
		t.Error("a connection without anything on it is not quiet")
	}
	if _, err := far.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if !becomesLoud(near) {
		t.Error("unread bytes are not seen")
	}
	other, closed := pair(t)
	closed.Close()
	if !becomesLoud(other) {
		t.Error("the end of a connection is not seen")
	}
	left, right := net.Pipe()
	defer left.Close()
	defer right.Close()
	if Quiet(left) {
		t.Error("a connection without a socket is taken as quiet")
	}
}
