// Package sockets provides socket operations that package net does not offer.
package sockets

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Quiet reports whether a connection is open and has no unread bytes, so that an
// idle connection can be reused. It never blocks and consumes nothing. It returns
// false for a connection without a socket.
func Quiet(connection net.Conn) bool {
	raw := rawConnection(connection)
	if raw == nil {
		return false
	}
	quiet := false
	err := raw.Read(func(descriptor uintptr) bool {
		var peeked [1]byte
		_, _, err := unix.Recvfrom(int(descriptor), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

// BoundUnacknowledged sets TCP_USER_TIMEOUT: the kernel closes the connection when
// sent data stays unacknowledged for longer than the timeout, which has millisecond
// resolution. Errors are ignored, because without the option keep-alive probes
// still detect the loss, only later.
func BoundUnacknowledged(connection net.Conn, timeout time.Duration) {
	raw := rawConnection(connection)
	if raw == nil {
		return
	}
	_ = raw.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
}

// rawConnection returns raw access to the connection's socket, or nil if it has none.
func rawConnection(connection net.Conn) syscall.RawConn {
	system, ok := connection.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}
