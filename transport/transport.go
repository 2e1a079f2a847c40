package transport

import (
	"context"
	"errors"
	"time"
)

// Kind identifies a message type, from 1 to MaxKinds-1. Package peer defines the kinds
// in use.
type Kind uint16

// Handler answers a call or handles a one-way message; the reply to a one-way message
// is ignored. from is the peer's name as authenticated by the handshake. decode decodes
// the message's body into a value. ctx ends when the caller cancels the call or its
// deadline passes, or when the connection or the node closes.
type Handler func(ctx context.Context, from string, decode func(into any) error) (reply any, err error)

// StreamHandler answers one request with any number of messages. send blocks while the
// peer reads slowly. ctx ends when the peer disconnects or cancels the stream. A
// returned error is sent to the peer, which gets it as *RemoteError; nil ends the
// stream cleanly.
type StreamHandler func(ctx context.Context, from string, decode func(into any) error, send func(message any) error) error

// Stream is the receiving end of a stream.
type Stream interface {
	// Next decodes the next message into a value. It returns io.EOF only after the
	// peer ended the stream cleanly, *RemoteError if the peer's handler failed, and an
	// error that wraps ErrConnectionLost if the connection was lost.
	Next(into any) error
	// Close ends the stream and cancels the peer's handler.
	Close() error
}

// Network is one node's connection to its peers. *Node implements it over TCP; Memory
// connects nodes within one process, for tests and simulated nodes.
type Network interface {
	// Handle registers the handler of a kind. It must be called before Start.
	Handle(kind Kind, handler Handler)
	// Send queues a one-way message without blocking. The message is dropped and
	// counted if the queue of that address is full or the peer cannot be reached.
	Send(address string, kind Kind, message any)
	// Call sends a request, waits for the reply and decodes it into reply. An error
	// of the peer's handler is returned as *RemoteError. An error that wraps
	// ErrNotSent means that the peer has not seen the request; after any other error
	// the peer may have handled it.
	Call(ctx context.Context, address string, kind Kind, request, reply any) error
	// HandleStream registers the handler of a kind whose requests open a stream. It
	// must be called before Start.
	HandleStream(kind Kind, handler StreamHandler)
	// OpenStream sends a request on a connection that no other stream uses at the same
	// time. Its error wraps ErrNotSent, which means that the request was not written in
	// full. Later errors are returned by Next.
	OpenStream(ctx context.Context, address string, kind Kind, request any) (Stream, error)
	// Start begins to accept connections and to call the handlers.
	Start() error
	// Close ends every connection, cancels the handlers and waits for them.
	Close() error
}

// Config sets up a Node.
type Config struct {
	// Name is this node's name, sent to peers in the handshake.
	Name string
	// Listen is the address (host:port) on which to accept peer connections.
	Listen string
	// Keys are the shared keys of the fleet, newest first. A peer must have at least
	// one of them.
	Keys [][]byte
	// AddressOverrides maps a peer's address to the address to dial instead.
	AddressOverrides map[string]string
	// QueueLength bounds the frames that wait to be sent to one address, and the
	// one-way messages that wait for their handler on one accepted connection. Zero
	// selects DefaultQueueLength.
	QueueLength int
	// QueueBytes bounds the bytes of these frames and messages. One that is larger is
	// queued alone. A lower value drops more messages to a peer that does not read, which
	// their senders then send again. Zero selects DefaultQueueBytes.
	QueueBytes int
	// MaxFrameBytes bounds the content of a frame. Zero selects DefaultMaxFrameBytes.
	MaxFrameBytes int
	// DialTimeout bounds the time to connect, without the handshake. Zero selects
	// DefaultDialTimeout.
	DialTimeout time.Duration
	// HandshakeTimeout bounds the time of the handshake, on both sides. Zero selects
	// DefaultHandshakeTimeout.
	HandshakeTimeout time.Duration
}

// Defaults of Config.
const (
	DefaultQueueLength   = 1024
	DefaultQueueBytes    = 16 << 20
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
	// ErrNotSent is wrapped by errors which guarantee that the peer has not seen the
	// request.
	ErrNotSent = errors.New("transport: not sent")
	// ErrConnectionLost is wrapped by errors of a lost connection. The peer may have
	// seen the request.
	ErrConnectionLost = errors.New("transport: connection lost")
)

// RemoteError is the error that the peer's handler returned.
type RemoteError struct {
	Kind    Kind
	Message string
}

// Error returns the peer's message.
func (e *RemoteError) Error() string { return e.Message }
