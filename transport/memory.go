package transport

import (
	"context"
	"fmt"
	"net"
	"sync"
)

// Memory connects nodes within one process, with the frames, handshakes, queues
// and time-outs of the TCP network. It is for tests and hollow nodes. Addresses
// are any texts.
type Memory struct {
	mutex     sync.Mutex
	listeners map[string]*memoryListener
	cut       map[direction]bool
	loss      func(from, to string, kind Kind) bool
}

// direction is a pair of addresses.
type direction struct {
	from string
	to   string
}

// memoryKey is the one key of every in-memory network.
var memoryKey = []byte("an in-memory key")

// NewMemory returns an empty network.
func NewMemory() *Memory {
	return &Memory{listeners: make(map[string]*memoryListener), cut: make(map[direction]bool)}
}

// Node adds a node. It panics if the address is taken.
func (m *Memory) Node(name, address string) Network {
	return m.NodeWithConfig(Config{Name: name, Listen: address})
}

// NodeWithConfig is Node with a whole configuration; the keys default to the network's own.
func (m *Memory) NodeWithConfig(config Config) *Node {
	if len(config.Keys) == 0 {
		config.Keys = [][]byte{memoryKey}
	}
	node, err := listenOn(&memoryFabric{memory: m, own: config.Listen}, config, nil)
	if err != nil {
		panic(err)
	}
	hook := lossHook(func(to string, kind Kind) bool {
		m.mutex.Lock()
		loss := m.loss
		m.mutex.Unlock()
		return loss != nil && loss(config.Listen, to, kind)
	})
	node.lossy.Store(&hook)
	return node
}

// Partition silently swallows everything sent from one address to another until Heal.
// Connections that lost something stay broken; new ones work after Heal.
func (m *Memory) Partition(from, to string) { m.setCut(from, to, true) }

// Heal ends a Cut.
func (m *Memory) Heal(from, to string) { m.setCut(from, to, false) }

func (m *Memory) setCut(from, to string, cut bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.cut[direction{from, to}] = cut
}

// SetLoss installs a rule that loses messages, calls and stream requests before
// they are sent; nil ends it. It may be called from many goroutines at once.
func (m *Memory) SetLoss(loss func(from, to string, kind Kind) bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.loss = loss
}

func (m *Memory) isCut(path direction) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.cut[path]
}

// memoryFabric is Memory as one node sees it.
type memoryFabric struct {
	memory *Memory
	own    string
}

func (f *memoryFabric) listen(address string) (net.Listener, error) {
	f.memory.mutex.Lock()
	defer f.memory.mutex.Unlock()
	if _, taken := f.memory.listeners[address]; taken {
		return nil, fmt.Errorf("address %s is taken", address)
	}
	listener := &memoryListener{memory: f.memory, address: address, incoming: make(chan net.Conn), closed: make(chan struct{})}
	f.memory.listeners[address] = listener
	return listener, nil
}

func (f *memoryFabric) dial(ctx context.Context, address string, _ purpose) (net.Conn, error) {
	there, back := direction{f.own, address}, direction{address, f.own}
	if f.memory.isCut(there) || f.memory.isCut(back) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	f.memory.mutex.Lock()
	listener, found := f.memory.listeners[address]
	f.memory.mutex.Unlock()
	if !found {
		return nil, fmt.Errorf("nobody listens on %s", address)
	}
	near, far := f.connect(there, back)
	select {
	case listener.incoming <- far:
		return near, nil
	case <-listener.closed:
		return nil, fmt.Errorf("nobody listens on %s", address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (f *memoryFabric) connect(there, back direction) (near, far *memoryConn) {
	outward, inward := newHalfPipe(), newHalfPipe()
	near = &memoryConn{memory: f.memory, path: there, in: inward, out: outward, hole: make(chan []byte, pipeChunks)}
	far = &memoryConn{memory: f.memory, path: back, in: outward, out: inward, hole: make(chan []byte, pipeChunks)}
	return near, far
}

func (f *memoryFabric) reusable(net.Conn) bool { return false }

// memoryListener hands over the far ends of dialled pipes.
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
