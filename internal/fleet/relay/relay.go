// Package relay forwards TCP connections between the processes of a fleet so that a scenario
// can cut, delay and heal each direction of the links between them. A cut link neither loses
// data nor reports errors: bytes, new connections and connection closes are held back until
// the link is healed, like packets that are retransmitted until they arrive.
package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"sync"
	"time"
)

// Network holds the relays of one fleet. Its methods are safe for concurrent use.
type Network struct {
	lossy bool // set by NewLossy

	context context.Context //nolint:containedctx // canceled by Close; connections outlive the calls that open them
	cancel  context.CancelFunc
	tasks   sync.WaitGroup // listeners and connections

	mutex     sync.Mutex
	gates     map[direction]*gate
	listeners []net.Listener
	opened    map[direction][]*link
	links     map[direction]map[string]string // relay address by target address
}

// direction is an ordered pair of nodes.
type direction struct{ from, to string }

func (d direction) reverse() direction { return direction{from: d.to, to: d.from} }

// New returns a network without links.
func New() *Network {
	ctx, cancel := context.WithCancel(context.Background())
	return &Network{context: ctx, cancel: cancel, gates: map[direction]*gate{}, links: map[direction]map[string]string{}, opened: map[direction][]*link{}}
}

// Link opens a relay on host for the connections that the node named from dials to target,
// which is an address of the node named to. It returns the relay's address. Repeated calls
// with the same nodes and target return the same address.
func (n *Network) Link(host, from, to, target string) (string, error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	path := direction{from: from, to: to}
	if address, ok := n.links[path][target]; ok {
		return address, nil
	}
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", fmt.Errorf("opening relay from %s to %s: %w", from, to, err)
	}
	tcpListener, ok := listener.(*net.TCPListener)
	if !ok {
		return "", fmt.Errorf("opening relay from %s to %s: %T is no TCP listener", from, to, listener)
	}
	n.listeners = append(n.listeners, listener)
	if n.links[path] == nil {
		n.links[path] = map[string]string{}
	}
	address := listener.Addr().String()
	n.links[path][target] = address
	outbound, inbound := n.gateLocked(path), n.gateLocked(path.reverse())
	opened := &link{network: n, listener: tcpListener, target: target, outbound: outbound, inbound: inbound}
	n.opened[direction{from, to}] = append(n.opened[direction{from, to}], opened)
	n.tasks.Go(opened.accept)
	return address, nil
}

func (n *Network) gateLocked(link direction) *gate {
	g, ok := n.gates[link]
	if !ok {
		g = newGate()
		n.gates[link] = g
	}
	return g
}

// Cut blocks all traffic from one node to the other until Heal is called.
func (n *Network) Cut(from, to string) {
	n.gate(from, to).close()
	if !n.lossy {
		return
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, opened := range append(slices.Clone(n.opened[direction{from, to}]), n.opened[direction{to, from}]...) {
		_ = opened.listener.SetDeadline(time.Now()) // fails only after Close
	}
}

// Heal delivers the traffic that Cut has blocked and unblocks the direction.
func (n *Network) Heal(from, to string) { n.gate(from, to).open() }

// Delay sets the delay of the traffic from one node to the other. It replaces the previous
// delay and does not affect data that is already in flight.
func (n *Network) Delay(from, to string, delay time.Duration) { n.gate(from, to).setDelay(delay) }

func (n *Network) gate(from, to string) *gate {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.gateLocked(direction{from: from, to: to})
}

// Close closes all relays and connections and waits until their goroutines have ended.
func (n *Network) Close() {
	n.cancel()
	n.mutex.Lock()
	for _, listener := range n.listeners {
		listener.Close()
	}
	n.mutex.Unlock()
	n.tasks.Wait()
}

// link accepts the connections of one node to an address of another one.
type link struct {
	network           *Network
	listener          *net.TCPListener
	target            string
	outbound, inbound *gate
}

// accept forwards connections until the listener is closed.
func (l *link) accept() {
	for {
		connection, err := l.listener.Accept()
		if err != nil && l.network.context.Err() == nil && errors.Is(err, os.ErrDeadlineExceeded) {
			err = l.ignoreUntilOpen()
			if err == nil {
				continue
			}
		}
		if err != nil {
			return
		}
		l.network.tasks.Go(func() { l.forward(connection) })
	}
}

// ignoreUntilOpen ignores new connections until both directions are open.
func (l *link) ignoreUntilOpen() error {
	filler, err := silence(l.listener)
	if err != nil {
		return err
	}
	if filler != nil {
		defer filler.Close()
	}
	for !l.outbound.isOpen() || !l.inbound.isOpen() {
		if err := errors.Join(l.outbound.wait(l.network.context), l.inbound.wait(l.network.context)); err != nil {
			return err
		}
	}
	if err := l.listener.SetDeadline(time.Time{}); err != nil {
		return err
	}
	return setBacklog(l.listener, usualBacklog)
}
