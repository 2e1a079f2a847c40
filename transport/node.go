package transport

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// maxHandshakes bounds the number of accepted connections that are not authenticated
// yet.
const maxHandshakes = 512

// Node implements Network over TCP, or over a Memory in tests. It is safe for concurrent
// use.
type Node struct {
	config   Config
	logger   *slog.Logger
	fabric   fabric
	listener net.Listener
	epoch    time.Time // origin of the connections' timestamps
	counters counters
	keys     atomic.Pointer[[][]byte]
	callID   atomic.Uint64
	dropRule atomic.Pointer[dropRule]

	// The handlers are written only before Start, and are read without the mutex.
	handlers       map[Kind]Handler
	streamHandlers map[Kind]StreamHandler
	// handshakeSlots holds a token for each accepted connection in its handshake.
	handshakeSlots chan struct{}
	streams        streamPool

	closing chan struct{} // closed by Close
	group   sync.WaitGroup

	mutex       sync.Mutex
	started     bool
	closed      bool
	stopServing context.CancelFunc // cancels the handlers; set by Start
	links       map[string]*link
	connections map[net.Conn]struct{}
}

var _ Network = (*Node)(nil)

// Listen returns a node that is bound to the configured address. The caller registers
// the handlers and then calls Start. A nil logger discards the log.
func Listen(config Config, logger *slog.Logger) (*Node, error) {
	return listenOn(tcpFabric{}, config, logger)
}

func listenOn(fabric fabric, config Config, logger *slog.Logger) (*Node, error) {
	if len(config.Keys) == 0 {
		return nil, errors.New("transport: the configuration has no key")
	}
	if logger == nil {
		logger = slog.New(slog.DiscardHandler)
	}
	fillDefaults(&config)
	listener, err := fabric.listen(config.Listen)
	if err != nil {
		return nil, fmt.Errorf("transport: listening on %s: %w", config.Listen, err)
	}
	node := &Node{
		config:         config,
		logger:         logger,
		fabric:         fabric,
		listener:       listener,
		epoch:          time.Now(),
		handlers:       make(map[Kind]Handler),
		streamHandlers: make(map[Kind]StreamHandler),
		handshakeSlots: make(chan struct{}, maxHandshakes),
		closing:        make(chan struct{}),
		links:          make(map[string]*link),
		connections:    make(map[net.Conn]struct{}),
	}
	node.SetKeys(config.Keys)
	return node, nil
}

func fillDefaults(config *Config) {
	if config.QueueLength == 0 {
		config.QueueLength = DefaultQueueLength
	}
	if config.QueueBytes == 0 {
		config.QueueBytes = DefaultQueueBytes
	}
	if config.MaxFrameBytes == 0 {
		config.MaxFrameBytes = DefaultMaxFrameBytes
	}
	if config.DialTimeout == 0 {
		config.DialTimeout = DefaultDialTimeout
	}
	if config.HandshakeTimeout == 0 {
		config.HandshakeTimeout = DefaultHandshakeTimeout
	}
}

// SetKeys replaces the keys for future handshakes. It does not affect open connections.
func (n *Node) SetKeys(keys [][]byte) { n.keys.Store(&keys) }

// Address returns the bound address, which has the chosen port if the configured one
// was 0.
func (n *Node) Address() string { return n.listener.Addr().String() }

// Counters returns the counters of the kinds used since the node was created.
func (n *Node) Counters() map[Kind]KindCounters { return n.counters.snapshot() }

// Handle implements Network. It panics if the kind is out of range or already
// registered, or if the node has started.
func (n *Node) Handle(kind Kind, handler Handler) {
	n.mustRegister(kind)
	n.handlers[kind] = handler
}

// HandleStream implements Network. It panics in the same cases as Handle.
func (n *Node) HandleStream(kind Kind, handler StreamHandler) {
	n.mustRegister(kind)
	n.streamHandlers[kind] = handler
}

func (n *Node) mustRegister(kind Kind) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	_, isCall := n.handlers[kind]
	_, isStream := n.streamHandlers[kind]
	if n.started || isCall || isStream || kind == 0 || kind >= MaxKinds {
		panic(fmt.Sprintf("transport: kind %d cannot be registered: it is out of range or already registered, or the node has started", kind))
	}
}

// Start implements Network.
func (n *Node) Start() error {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.closed {
		return ErrClosed
	}
	if n.started {
		return errors.New("transport: node is already started")
	}
	n.started = true
	ctx, cancel := context.WithCancel(context.Background())
	n.stopServing = cancel
	n.group.Go(func() { n.acceptLoop(ctx) })
	return nil
}

// Close implements Network.
func (n *Node) Close() error {
	n.mutex.Lock()
	if n.closed {
		n.mutex.Unlock()
		return nil
	}
	n.closed = true
	close(n.closing)
	if n.stopServing != nil {
		n.stopServing()
	}
	for _, link := range n.links {
		link.stop()
	}
	err := n.listener.Close()
	for raw := range n.connections {
		raw.Close()
	}
	n.mutex.Unlock()
	n.group.Wait()
	return err
}

// spawn starts a goroutine that Close waits for. It returns false after Close.
func (n *Node) spawn(work func()) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.closed {
		return false
	}
	n.group.Go(work)
	return true
}

// track registers a connection, so that Close closes it. It returns false after Close.
func (n *Node) track(raw net.Conn) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.closed {
		return false
	}
	n.connections[raw] = struct{}{}
	return true
}

// release closes a connection and removes it from the tracked ones.
func (n *Node) release(raw net.Conn) {
	n.mutex.Lock()
	delete(n.connections, raw)
	n.mutex.Unlock()
	raw.Close()
}

// link returns the link to an address, and starts a new one if there is none.
func (n *Node) link(address string) (*link, error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.closed {
		return nil, fmt.Errorf("%w to %s: %w", ErrNotSent, address, ErrClosed)
	}
	if existing, found := n.links[address]; found {
		return existing, nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	created := newLink(n, address, cancel)
	n.links[address] = created
	n.group.Go(func() {
		defer cancel()
		created.run(ctx)
	})
	return created, nil
}

// retire removes a link that has nothing to send. It returns false, and leaves the link
// in place, if an item has been queued in the meantime.
func (n *Node) retire(unused *link) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if !unused.queue.retire() {
		return false
	}
	delete(n.links, unused.address)
	return true
}
