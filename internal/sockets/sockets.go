// Package sockets asks TCP for what package net does not offer.
package sockets

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Quiet says that an idle connection has neither ended nor holds unread bytes. It
// is false for a connection without a socket.
func Quiet(raw net.Conn) bool {
	system, ok := raw.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := system.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, _, failure := unix.Recvfrom(int(descriptor), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = failure == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

// BoundUnacknowledged lets the kernel give a connection up whose sent data is not
// acknowledged in time. Without it keep-alive probes still find the loss.
func BoundUnacknowledged(raw net.Conn, limit time.Duration) {
	system, ok := raw.(syscall.Conn)
	if !ok {
		return
	}
	control, err := system.SyscallConn()
	if err != nil {
		return
	}
	_ = control.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
	})
}
