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

// Defaults of Config.
const (
	DefaultQueueLength   = 1024
	DefaultMaxFrameBytes = 64 << 20
	DefaultDialTimeout   = time.Second
	// DefaultHandshakeTimeout leaves room for two round trips between far regions
	// and a busy peer.
	DefaultHandshakeTimeout = time.Second
)

// maxHandshakes bounds the connections that have not proved a key yet.
const maxHandshakes = 512

// Errors of sending.
var (
	// ErrClosed says that the node was closed.
	ErrClosed = errors.New("transport: node is closed")
	// ErrNotSent is wrapped by errors after which the peer has certainly not seen
	// the request.
	ErrNotSent = errors.New("transport: not sent")
	// ErrConnectionLost is wrapped by errors after which the peer may have seen the request.
	ErrConnectionLost = errors.New("transport: connection broke")
)

// RemoteError is the error that the peer's handler returned.
type RemoteError struct {
	Kind    Kind
	Message string
}

// Error implements the error interface.
func (e *RemoteError) Error() string { return e.Message }

// Node is the Network over TCP. It is safe for concurrent use.
type Node struct {
	config   Config
	logger   *slog.Logger
	fabric   fabric
	listener net.Listener
	epoch    time.Time
	counters counters
	keys     atomic.Pointer[[][]byte]

	handlers       map[Kind]Handler
	streamHandlers map[Kind]StreamHandler
	handshakes     chan struct{}
	idle           idleStreams
	callID         atomic.Uint64
	lossy          atomic.Pointer[lossHook]

	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup

	mutex   sync.Mutex
	started bool
	closed  bool
	links   map[string]*link
	open    map[net.Conn]struct{}
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
	ctx, cancel := context.WithCancel(context.Background())
	node := &Node{
		config: config, logger: logger, fabric: fabric, listener: listener, epoch: time.Now(),
		handlers: make(map[Kind]Handler), streamHandlers: make(map[Kind]StreamHandler),
		handshakes: make(chan struct{}, maxHandshakes),
		ctx:        ctx, cancel: cancel,
		links: make(map[string]*link), open: make(map[net.Conn]struct{}),
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

// SetKeys replaces the keys for the handshakes to come. Connections stay.
func (n *Node) SetKeys(keys [][]byte) { n.keys.Store(&keys) }

// Address returns the bound address, of use when the port was given as 0.
func (n *Node) Address() string { return n.listener.Addr().String() }

// Counters returns the counters of the kinds in use since the start.
func (n *Node) Counters() map[Kind]KindCounters { return n.counters.snapshot() }

// Handle implements Network. It panics on a kind that is doubled or out of
// range, and after Start.
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
	n.group.Go(n.acceptLoop)
	return nil
}

// Close ends every connection, cancels the handlers and waits for them.
func (n *Node) Close() error {
	n.mutex.Lock()
	if n.closed {
		n.mutex.Unlock()
		return nil
	}
	n.closed = true
	n.cancel()
	err := n.listener.Close()
	for raw := range n.open {
		raw.Close()
	}
	n.mutex.Unlock()
	n.group.Wait()
	return err
}

// spawn runs work that Close waits for; false after Close.
func (n *Node) spawn(work func()) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.closed {
		return false
	}
	n.group.Go(work)
	return true
}

// track lets Close end the connection; false after Close.
func (n *Node) track(raw net.Conn) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.closed {
		return false
	}
	n.open[raw] = struct{}{}
	return true
}

// release closes the connection and forgets it.
func (n *Node) release(raw net.Conn) {
	n.mutex.Lock()
	delete(n.open, raw)
	n.mutex.Unlock()
	raw.Close()
}

// connect dials for dialTimeout at most and runs the handshake within
// HandshakeTimeout. The connection must be released. Its errors wrap ErrNotSent.
func (n *Node) connect(ctx context.Context, address string, what purpose, dialTimeout time.Duration) (*conn, error) {
	target := address
	if override, found := n.config.AddressOverrides[address]; found {
		target = override
	}
	dialing, stopDialing := context.WithTimeout(ctx, dialTimeout)
	defer stopDialing()
	raw, err := n.fabric.dial(dialing, target, what)
	if err != nil {
		return nil, fmt.Errorf("%w to %s: %w", ErrNotSent, address, err)
	}
	if !n.track(raw) {
		raw.Close()
		return nil, fmt.Errorf("%w to %s: %w", ErrNotSent, address, ErrClosed)
	}
	deadline := time.Now().Add(n.config.HandshakeTimeout)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	peer, err := dialHandshake(raw, n.config.Name, *n.keys.Load(), what, deadline)
	if !stop() && err == nil {
		err = context.Cause(ctx)
	}
	if err != nil {
		n.release(raw)
		return nil, fmt.Errorf("%w to %s: %w", ErrNotSent, address, err)
	}
	return newConn(raw, peer, n), nil
}

// link returns the connection for one-way messages and calls to an address.
func (n *Node) link(address string) (*link, error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.closed {
		return nil, fmt.Errorf("%w to %s: %w", ErrNotSent, address, ErrClosed)
	}
	if existing, found := n.links[address]; found {
		return existing, nil
	}
	created := newLink(n, address)
	n.links[address] = created
	n.group.Go(created.run)
	return created, nil
}

// retire forgets a link that has nothing to send.
func (n *Node) retire(unused *link) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if !unused.queue.retire() {
		return false
	}
	delete(n.links, unused.address)
	return true
}

// lossHook decides whether a message is lost, for tests.
type lossHook func(address string, kind Kind) bool

func (n *Node) lost(address string, kind Kind) bool {
	hook := n.lossy.Load()
	return hook != nil && (*hook)(address, kind)
}

// Send implements Network.
func (n *Node) Send(address string, kind Kind, message any) {
	if n.lost(address, kind) {
		n.counters.dropped(kind)
		return
	}
	frame, err := encodeMessage(envelope{Type: frameOneWay, Kind: kind}, message, n.config.MaxFrameBytes)
	if err != nil {
		n.logger.Error("message cannot be sent", "kind", kind, "error", err)
		n.counters.dropped(kind)
		return
	}
	err = n.enqueue(address, func(l *link) pushResult {
		return l.queue.push(outgoing{kind: kind, frame: frame})
	})
	if err != nil {
		n.counters.dropped(kind)
	}
}

// enqueue lets push put something on the address's queue.
func (n *Node) enqueue(address string, push func(*link) pushResult) error {
	for {
		connection, err := n.link(address)
		if err != nil {
			return err
		}
		switch push(connection) {
		case pushed:
			return nil
		case queueFull:
			return fmt.Errorf("%w to %s: %w", ErrNotSent, address, errQueueFull)
		case queueRetired: // a race with its end: the next round makes a new one
		}
	}
}

// Call implements Network. An error that wraps ErrNotSent says that the peer
// has not seen the request.
func (n *Node) Call(ctx context.Context, address string, kind Kind, request, reply any) error {
	if n.lost(address, kind) {
		n.counters.dropped(kind)
		<-ctx.Done()
		return ctx.Err()
	}
	head := envelope{Type: frameRequest, ID: n.callID.Add(1), Kind: kind, LeftMS: leftMillis(ctx)}
	frame, err := encodeMessage(head, request, n.config.MaxFrameBytes)
	if err != nil {
		return fmt.Errorf("%w to %s: %w", ErrNotSent, address, err)
	}
	waiting := &pendingCall{id: head.ID, done: make(chan struct{})}
	var connection *link
	err = n.enqueue(address, func(l *link) pushResult {
		connection = l
		return l.begin(waiting, kind, frame)
	})
	if err != nil {
		return err
	}
	body, err := connection.await(ctx, waiting)
	if err != nil {
		return err
	}
	if err := decodeBody(body, reply); err != nil {
		return fmt.Errorf("transport: reply of kind %d from %s: %w", kind, address, err)
	}
	return nil
}

// leftMillis is the time until the context's deadline, at least 1; 0 is none.
func leftMillis(ctx context.Context) int64 {
	deadline, bounded := ctx.Deadline()
	if !bounded {
		return 0
	}
	return max(1, time.Until(deadline).Milliseconds())
}
