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

// maxHandshakes bounds the accepted connections that are not authenticated yet.
const maxHandshakes = 512

// Node is the Network over TCP. It is safe for concurrent use.
type Node struct {
	config   Config
	logger   *slog.Logger
	fabric   fabric
	listener net.Listener
	epoch    time.Time // start of the connections' clock
	counters counters
	keys     atomic.Pointer[[][]byte]
	callID   atomic.Uint64
	dropRule atomic.Pointer[dropRule]

	// The handlers are written before Start only and read without the mutex.
	handlers       map[Kind]Handler
	streamHandlers map[Kind]StreamHandler
	// handshakeSlots holds a token for each handshake of an accepted connection.
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

// Listen binds the peers' address. Register the handlers, then call Start.
func Listen(config Config, logger *slog.Logger) (*Node, error) {
	return listenOn(tcpFabric{}, config, logger)
}

func listenOn(fabric fabric, config Config, logger *slog.Logger) (*Node, error) {
	if len(config.Keys) == 0 {
		return nil, errors.New("transport: no key is given")
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

// SetKeys replaces the keys for future handshakes. Open connections stay.
func (n *Node) SetKeys(keys [][]byte) { n.keys.Store(&keys) }

// Address returns the bound address, of use when the port was given as 0.
func (n *Node) Address() string { return n.listener.Addr().String() }

// Counters returns the counters of the kinds used since the node was made.
func (n *Node) Counters() map[Kind]KindCounters { return n.counters.snapshot() }

// Handle implements Network. It panics on a kind that is out of range or already
// registered, and after Start.
func (n *Node) Handle(kind Kind, handler Handler) {
	n.mustRegister(kind)
	n.handlers[kind] = handler
}

// HandleStream implements Network. It panics as Handle does.
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
		panic(fmt.Sprintf("transport: kind %d cannot be registered: out of range, doubled or after the start", kind))
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
		return errors.New("transport: started twice")
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

// track registers a connection that Close is to end. It returns false after Close.
func (n *Node) track(raw net.Conn) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.closed {
		return false
	}
	n.connections[raw] = struct{}{}
	return true
}

// release closes a tracked connection.
func (n *Node) release(raw net.Conn) {
	n.mutex.Lock()
	delete(n.connections, raw)
	n.mutex.Unlock()
	raw.Close()
}

// link returns the link to an address and starts it if there is none.
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

// retire removes a link that has nothing to send. It returns false if something
// was queued meanwhile.
func (n *Node) retire(unused *link) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if !unused.queue.retire() {
		return false
	}
	delete(n.links, unused.address)
	return true
}
