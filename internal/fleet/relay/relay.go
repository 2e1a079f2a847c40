// Package relay carries TCP connections between the processes of a fleet so
// that a scenario can cut, delay and heal the links between them, in each
// direction apart. A cut link loses nothing and tells nobody: bytes, new
// connections and closes wait at the cut, as packets do that are sent again
// until the network heals.
package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Network holds the relays of one fleet.
type Network struct {
	context context.Context //nolint:containedctx // the life of the network: its connections outlast every call
	cancel  context.CancelFunc
	tasks   sync.WaitGroup

	mutex     sync.Mutex
	gates     map[direction]*gate
	listeners []net.Listener
	links     map[direction]map[string]string // relay address by target
}

// direction is an ordered pair of nodes.
type direction struct{ from, to string }

// New returns a network without links.
func New() *Network {
	ctx, cancel := context.WithCancel(context.Background())
	return &Network{context: ctx, cancel: cancel, gates: map[direction]*gate{}, links: map[direction]map[string]string{}}
}

// Link opens a relay on host for connections that node from dials to target,
// an address of node to. It returns the relay's address.
func (n *Network) Link(host, from, to, target string) (string, error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	way := direction{from, to}
	if address, ok := n.links[way][target]; ok {
		return address, nil
	}
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", fmt.Errorf("opening relay from %s to %s: %w", from, to, err)
	}
	n.listeners = append(n.listeners, listener)
	if n.links[way] == nil {
		n.links[way] = map[string]string{}
	}
	address := listener.Addr().String()
	n.links[way][target] = address
	forth, back := n.gateLocked(way), n.gateLocked(direction{to, from})
	n.tasks.Add(1)
	go n.accept(listener, target, forth, back)
	return address, nil
}

func (n *Network) gateLocked(way direction) *gate {
	g, ok := n.gates[way]
	if !ok {
		g = newGate()
		n.gates[way] = g
	}
	return g
}

// Cut holds everything that goes from one node to the other until Heal.
func (n *Network) Cut(from, to string) { n.gate(from, to).setCut(true) }

// Heal lets everything held go on.
func (n *Network) Heal(from, to string) { n.gate(from, to).setCut(false) }

// Delay adds a delay to everything that goes from one node to the other.
func (n *Network) Delay(from, to string, delay time.Duration) { n.gate(from, to).setDelay(delay) }

func (n *Network) gate(from, to string) *gate {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.gateLocked(direction{from, to})
}

// Close ends every relay and waits for its goroutines.
func (n *Network) Close() {
	n.cancel()
	n.mutex.Lock()
	for _, listener := range n.listeners {
		listener.Close()
	}
	n.mutex.Unlock()
	n.tasks.Wait()
}

func (n *Network) accept(listener net.Listener, target string, forth, back *gate) {
	defer n.tasks.Done()
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		n.tasks.Add(1)
		go n.carry(connection, target, forth, back)
	}
}

// carry serves one connection: it reaches the target once both directions are
// open, as a handshake does.
func (n *Network) carry(dialer net.Conn, target string, forth, back *gate) {
	defer n.tasks.Done()
	defer dialer.Close()
	if forth.wait(n.context) != nil || back.wait(n.context) != nil {
		return
	}
	connection, err := new(net.Dialer).DialContext(n.context, "tcp", target)
	if err != nil {
		return
	}
	defer connection.Close()
	ctx, cancel := context.WithCancel(n.context)
	defer cancel()
	stop := context.AfterFunc(ctx, func() {
		dialer.Close()
		connection.Close()
	})
	defer stop()
	var pumps sync.WaitGroup
	pumps.Add(2)
	go func() { defer pumps.Done(); pump(ctx, cancel, connection, dialer, forth) }()
	go func() { defer pumps.Done(); pump(ctx, cancel, dialer, connection, back) }()
	pumps.Wait()
}

// chunk is bytes on their way. A last chunk closes the direction; a broken one
// closes the whole connection.
type chunk struct {
	bytes  []byte
	due    time.Time
	last   bool
	broken bool
}

const (
	chunkBytes = 32 << 10
	// chunksInFlight bounds what one direction holds; beyond it the sender waits,
	// as with a full window.
	chunksInFlight = 64
)

// pump carries one direction of one connection through its gate.
func pump(ctx context.Context, abort context.CancelFunc, to, from net.Conn, g *gate) {
	chunks := make(chan chunk, chunksInFlight)
	go read(ctx, from, chunks, g)
	for piece := range chunks {
		if sleepUntil(ctx, piece.due) != nil || g.wait(ctx) != nil {
			return
		}
		if piece.broken {
			abort()
			return
		}
		if piece.last {
			if closeWrite(to) != nil {
				abort()
			}
			return
		}
		if _, err := to.Write(piece.bytes); err != nil {
			abort()
			return
		}
	}
}

func read(ctx context.Context, from net.Conn, chunks chan<- chunk, g *gate) {
	defer close(chunks)
	for {
		buffer := make([]byte, chunkBytes)
		count, err := from.Read(buffer)
		due := time.Now().Add(g.currentDelay())
		if count > 0 && !send(ctx, chunks, chunk{bytes: buffer[:count], due: due}) {
			return
		}
		if err != nil {
			end := chunk{due: due, last: errors.Is(err, io.EOF), broken: !errors.Is(err, io.EOF)}
			send(ctx, chunks, end)
			return
		}
	}
}

func send(ctx context.Context, chunks chan<- chunk, piece chunk) bool {
	select {
	case chunks <- piece:
		return true
	case <-ctx.Done():
		return false
	}
}

func sleepUntil(ctx context.Context, due time.Time) error {
	left := time.Until(due)
	if left <= 0 {
		return nil
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func closeWrite(connection net.Conn) error {
	if half, ok := connection.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return connection.Close()
}

// gate is the state of one direction.
type gate struct {
	mutex  sync.Mutex
	delay  time.Duration
	closed bool
	opened chan struct{} // closed when the gate opens
}

func newGate() *gate {
	opened := make(chan struct{})
	close(opened)
	return &gate{opened: opened}
}

func (g *gate) setCut(cut bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if cut == g.closed {
		return
	}
	g.closed = cut
	if cut {
		g.opened = make(chan struct{})
		return
	}
	close(g.opened)
}

func (g *gate) setDelay(delay time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.delay = delay
}

func (g *gate) currentDelay() time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.delay
}

// wait returns once the gate is open.
func (g *gate) wait(ctx context.Context) error {
	g.mutex.Lock()
	opened := g.opened
	g.mutex.Unlock()
	select {
	case <-opened:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
