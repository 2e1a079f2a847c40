// Package relay forwards TCP connections between the processes of a fleet so that a
// scenario can cut, delay and heal the links between them, each direction
// separately. A cut link loses nothing and reports nothing: bytes, new connections
// and closes wait until the link is healed, as packets do that are retransmitted.
package relay

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"
)

// Network holds the relays of one fleet. Its methods are safe for concurrent use.
type Network struct {
	context context.Context //nolint:containedctx // ends with the network: its connections outlast every call
	cancel  context.CancelFunc
	tasks   sync.WaitGroup // listeners and connections

	mutex     sync.Mutex
	gates     map[direction]*gate
	listeners []net.Listener
	links     map[direction]map[string]string // relay address by target address
}

// direction is an ordered pair of nodes.
type direction struct{ from, to string }

func (d direction) reverse() direction { return direction{from: d.to, to: d.from} }

// New returns a network without links.
func New() *Network {
	ctx, cancel := context.WithCancel(context.Background())
	return &Network{context: ctx, cancel: cancel, gates: map[direction]*gate{}, links: map[direction]map[string]string{}}
}

// Link opens a relay on host for connections that node from dials to target, an
// address of node to. It returns the relay's address, which is the same for each
// call with the same nodes and target.
func (n *Network) Link(host, from, to, target string) (string, error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	link := direction{from: from, to: to}
	if address, ok := n.links[link][target]; ok {
		return address, nil
	}
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", fmt.Errorf("opening relay from %s to %s: %w", from, to, err)
	}
	n.listeners = append(n.listeners, listener)
	if n.links[link] == nil {
		n.links[link] = map[string]string{}
	}
	address := listener.Addr().String()
	n.links[link][target] = address
	outbound, inbound := n.gateLocked(link), n.gateLocked(link.reverse())
	n.tasks.Add(1)
	go n.accept(listener, target, outbound, inbound)
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

// Cut blocks everything that goes from one node to the other until Heal.
func (n *Network) Cut(from, to string) { n.gate(from, to).close() }

// Heal delivers what a cut has blocked and everything after it.
func (n *Network) Heal(from, to string) { n.gate(from, to).open() }

// Delay delays everything that goes from one node to the other from now on. It
// replaces an earlier delay.
func (n *Network) Delay(from, to string, delay time.Duration) { n.gate(from, to).setDelay(delay) }

func (n *Network) gate(from, to string) *gate {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.gateLocked(direction{from: from, to: to})
}

// Close ends every relay and waits until all of its goroutines have ended.
func (n *Network) Close() {
	n.cancel()
	n.mutex.Lock()
	for _, listener := range n.listeners {
		listener.Close()
	}
	n.mutex.Unlock()
	n.tasks.Wait()
}

func (n *Network) accept(listener net.Listener, target string, outbound, inbound *gate) {
	defer n.tasks.Done()
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		n.tasks.Add(1)
		go n.forward(connection, target, outbound, inbound)
	}
}
