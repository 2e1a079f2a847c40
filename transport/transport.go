package transport

import (
	"context"
	"errors"
	"time"
)

// Kind is the number of a message type, from 1 to MaxKinds-1. Package peer lists
// the kinds in use.
type Kind uint16

// Handler answers a call or consumes a one-way message, whose reply is ignored.
// from is the peer's name as authenticated by the handshake. decode fills a value
// from the message's body. ctx ends when the caller gives up, its time is over, or
// the connection or the node closes.
type Handler func(ctx context.Context, from string, decode func(into any) error) (reply any, err error)

// StreamHandler answers one request with any number of messages. send blocks
// while the peer reads slowly. ctx ends when the peer disconnects or cancels. The
// returned error reaches the peer as *RemoteError; nil ends the stream cleanly.
type StreamHandler func(ctx context.Context, from string, decode func(into any) error, send func(message any) error) error

// Stream is the receiving end of a stream.
type Stream interface {
	// Next decodes the next message into a value. It returns io.EOF only after the
	// peer's clean end, *RemoteError for the handler's error, and an error that
	// wraps ErrConnectionLost when the connection broke.
	Next(into any) error
	// Close abandons the stream; the peer's handler is canceled.
	Close() error
}

// Network is one node's access to its peers. *Node implements it over TCP; Memory
// connects nodes of one process, for tests and hollow nodes.
type Network interface {
	// Handle registers the handler of a kind. It must be called before Start.
	Handle(kind Kind, handler Handler)
	// Send queues a one-way message and returns at once. A message is dropped and
	// counted if the queue of that address is full or the peer cannot be reached.
	Send(address string, kind Kind, message any)
	// Call sends a request, waits for the reply and decodes it into reply. An error
	// of the peer's handler is returned as *RemoteError. An error that wraps
	// ErrNotSent means that the peer has not seen the request; any other leaves open
	// whether the peer handled it.
	Call(ctx context.Context, address string, kind Kind, request, reply any) error
	// HandleStream registers the handler of a streamed kind. It must be called
	// before Start.
	HandleStream(kind Kind, handler StreamHandler)
	// OpenStream sends a request on a connection that no other stream uses
	// meanwhile. Its error wraps ErrNotSent: the request was not written in full.
	// Later errors come from Next.
	OpenStream(ctx context.Context, address string, kind Kind, request any) (Stream, error)
	// Start begins to accept connections and to run the handlers.
	Start() error
	// Close ends every connection, cancels the handlers and waits for them.
	Close() error
}

// Config sets up a Node.
type Config struct {
	// Name is this node's name, sent to peers in the handshake.
	Name string
	// Listen is the peers' address (host:port) to bind.
	Listen string
	// Keys are the fleet's keys, newest first; a peer must have one of them.
	Keys [][]byte
	// AddressOverrides maps a peer's address to the one to dial instead.
	AddressOverrides map[string]string
	// QueueLength bounds the frames that wait to be sent to one address, and the
	// one-way messages that wait for their handler on one accepted connection.
	// Default DefaultQueueLength.
	QueueLength int
	// MaxFrameBytes bounds a frame in bytes. Default DefaultMaxFrameBytes.
	MaxFrameBytes int
	// DialTimeout bounds connecting. Default DefaultDialTimeout.
	DialTimeout time.Duration
	// HandshakeTimeout bounds the handshake that follows, on both sides. Default
	// DefaultHandshakeTimeout.
	HandshakeTimeout time.Duration
}

// Defaults of Config.
const (
	DefaultQueueLength   = 1024
	DefaultMaxFrameBytes = 64 << 20
	DefaultDialTimeout   = time.Second
	// DefaultHandshakeTimeout allows for two round trips between distant regions and
	// for a busy peer.
	DefaultHandshakeTimeout = time.Second
)

// Errors of sending.
var (
	// ErrClosed is returned, or wrapped, once the node is closed.
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

// Error returns the peer's message.
func (e *RemoteError) Error() string { return e.Message }
