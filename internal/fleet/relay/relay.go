// Package relay forwards TCP connections between the processes of a fleet so that a scenario
// can cut, delay and heal each direction of the links between them. A cut link neither loses
// data nor reports errors: bytes, new connections and connection closes are held back until
// the link is healed, like packets that are retransmitted until they arrive.
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
	context context.Context //nolint:containedctx // canceled by Close; connections outlive the calls that open them
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

// Link opens a relay on host for the connections that the node named from dials to target,
// which is an address of the node named to. It returns the relay's address. Repeated calls
// with the same nodes and target return the same address.
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

// Cut blocks all traffic from one node to the other until Heal is called.
func (n *Network) Cut(from, to string) { n.gate(from, to).close() }

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
