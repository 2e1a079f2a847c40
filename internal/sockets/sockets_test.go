package sockets

import (
	"net"
	"testing"
	"time"
)

// connectedPair returns both ends of a TCP connection.
func connectedPair(t *testing.T) (local, remote net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	local, err = net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	remote, err = listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { local.Close(); remote.Close() })
	return local, remote
}

// waitUntilNotQuiet reports whether a connection stops being quiet within 5 s.
func waitUntilNotQuiet(connection net.Conn) bool {
	for range 500 {
		if !Quiet(connection) {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

func TestQuiet(t *testing.T) {
	t.Run("unread bytes", func(t *testing.T) {
		local, remote := connectedPair(t)
		BoundUnacknowledged(local, time.Second)
		if !Quiet(local) {
			t.Error("an open connection without unread bytes is not quiet")
		}
		if _, err := remote.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		if !waitUntilNotQuiet(local) {
			t.Error("a connection with unread bytes is quiet")
		}
	})
	t.Run("closed by the peer", func(t *testing.T) {
		local, remote := connectedPair(t)
		remote.Close()
		if !waitUntilNotQuiet(local) {
			t.Error("a connection that the peer closed is quiet")
		}
	})
	t.Run("without a socket", func(t *testing.T) {
		local, remote := net.Pipe()
		defer local.Close()
		defer remote.Close()
		if Quiet(local) {
			t.Error("a connection without a socket is quiet")
		}
	})
}
