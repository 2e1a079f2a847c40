package main

import (
	"net"
	"sync/atomic"
	"time"
)

// slowLink is a link on which everything that is sent to a machine, also the end of a
// connection, waits for the same time. What the machine sends is not delayed.
type slowLink struct {
	listener net.Listener
	target   string
	delay    atomic.Int64
}

func (s *site) newSlowLink(target string) (*slowLink, error) {
	listener, err := net.Listen("tcp", s.network+".9.2:0")
	if err != nil {
		return nil, err
	}
	l := &slowLink{listener: listener, target: target}
	go func() {
		for {
			from, err := listener.Accept()
			if err != nil {
				return
			}
			go l.carry(from)
		}
	}()
	return l, nil
}

func (l *slowLink) address() string { return l.listener.Addr().String() }

// packet is what waits on the link; without bytes it is the end of the connection.
type packet struct {
	due   time.Time
	bytes []byte
}

func (l *slowLink) carry(from net.Conn) {
	defer from.Close()
	to, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer to.Close()
	waiting := make(chan packet, 1024)
	go func() {
		defer close(waiting)
		for {
			buffer := make([]byte, 32<<10)
			count, err := from.Read(buffer)
			due := time.Now().Add(time.Duration(l.delay.Load()))
			if count > 0 {
				waiting <- packet{due: due, bytes: buffer[:count]}
			}
			if err != nil {
				waiting <- packet{due: due}
				return
			}
		}
	}()
	go func() {
		buffer := make([]byte, 32<<10)
		for {
			count, err := to.Read(buffer)
			if count > 0 {
				_, _ = from.Write(buffer[:count])
			}
			if err != nil {
				from.Close()
				return
			}
		}
	}()
	for next := range waiting {
		time.Sleep(time.Until(next.due))
		if next.bytes == nil {
			return
		}
		if _, err := to.Write(next.bytes); err != nil {
			return
		}
	}
}
