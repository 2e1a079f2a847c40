package transport

import (
	"context"
	"fmt"
	"net"
	"sync"
)

// Memory is a network within one process, for tests and simulated nodes. It uses the
// same frames, handshakes, queues and timeouts as the TCP network. An address may be
// any string.
type Memory struct {
	mutex       sync.Mutex
	listeners   map[string]*memoryListener
	partitioned map[path]bool
	loss        func(from, to string, kind Kind) bool
}

// path is one direction of traffic between two addresses.
type path struct {
	from string
	to   string
}

// memoryKey is the key of nodes whose Config has no Keys.
var memoryKey = []byte("an in-memory key")

// NewMemory returns an empty network.
func NewMemory() *Memory {
	return &Memory{listeners: make(map[string]*memoryListener), partitioned: make(map[path]bool)}
}

// Node adds a node with default settings. It panics if the address is in use.
func (m *Memory) Node(name, address string) Network {
	return m.NodeWithConfig(Config{Name: name, Listen: address})
}

// NodeWithConfig adds a node. If the config has no Keys, the node uses a key that all
// such nodes share. It panics if the address is in use.
func (m *Memory) NodeWithConfig(config Config) *Node {
	if len(config.Keys) == 0 {
		config.Keys = [][]byte{memoryKey}
	}
	node, err := listenOn(&memoryFabric{memory: m, address: config.Listen}, config, nil)
	if err != nil {
		panic(err)
	}
	rule := dropRule(func(to string, kind Kind) bool {
		m.mutex.Lock()
		loss := m.loss
		m.mutex.Unlock()
		return loss != nil && loss(config.Listen, to, kind)
	})
	node.dropRule.Store(&rule)
	return node
}

// Partition silently discards everything sent from one address to another until Heal.
// A connection that lost data stays broken; new ones work after Heal.
func (m *Memory) Partition(from, to string) { m.setPartitioned(from, to, true) }

// Heal ends a Partition.
func (m *Memory) Heal(from, to string) { m.setPartitioned(from, to, false) }

func (m *Memory) setPartitioned(from, to string, partitioned bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.partitioned[path{from, to}] = partitioned
}

// SetLoss installs a function that selects the messages, calls and stream requests to
// drop before they are sent; nil removes it. The function must be safe for concurrent
// use.
func (m *Memory) SetLoss(loss func(from, to string, kind Kind) bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.loss = loss
}

func (m *Memory) isPartitioned(along path) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.partitioned[along]
}

// memoryFabric implements fabric for the node at one address of a Memory.
type memoryFabric struct {
	memory  *Memory
	address string
}

func (f *memoryFabric) listen(address string) (net.Listener, error) {
	f.memory.mutex.Lock()
	defer f.memory.mutex.Unlock()
	if _, taken := f.memory.listeners[address]; taken {
		return nil, fmt.Errorf("address %s is already in use", address)
	}
	listener := &memoryListener{memory: f.memory, address: address, incoming: make(chan net.Conn), closed: make(chan struct{})}
	f.memory.listeners[address] = listener
	return listener, nil
}

func (f *memoryFabric) dial(ctx context.Context, address string, _ purpose) (net.Conn, error) {
	forward, reverse := path{f.address, address}, path{address, f.address}
	if f.memory.isPartitioned(forward) || f.memory.isPartitioned(reverse) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	f.memory.mutex.Lock()
	listener, found := f.memory.listeners[address]
	f.memory.mutex.Unlock()
	if !found {
		return nil, fmt.Errorf("no node listens on %s", address)
	}
	local, remote := f.memory.pipe(forward, reverse)
	select {
	case listener.incoming <- remote:
		return local, nil
	case <-listener.closed:
		return nil, fmt.Errorf("no node listens on %s", address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// reusable returns false, so that each stream uses a new connection.
func (f *memoryFabric) reusable(net.Conn) bool { return false }

// memoryListener accepts the remote end of each pipe that is dialed to its address.
type memoryListener struct {
	memory   *Memory
	address  string
	incoming chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case raw := <-l.incoming:
		return raw, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.memory.mutex.Lock()
		delete(l.memory.listeners, l.address)
		l.memory.mutex.Unlock()
	})
	return nil
}

func (l *memoryListener) Addr() net.Addr { return memoryAddress(l.address) }

type memoryAddress string

func (memoryAddress) Network() string  { return "memory" }
func (a memoryAddress) String() string { return string(a) }
