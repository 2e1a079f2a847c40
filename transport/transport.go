// Package transport carries typed messages between the processes of one fleet
// over TCP: length-prefixed CBOR frames, a keyed handshake, one-way sends that
// never block and calls that are answered. Lost, late and reordered messages
// are normal to its users.
package transport

import (
	"context"
	"time"
)

// Kind names a message type. Package peer lists them.
type Kind uint16

// Handler answers a call or consumes a one-way message. The reply of a one-way
// message is ignored. decode fills a value from the message's body.
type Handler func(ctx context.Context, from string, decode func(into any) error) (reply any, err error)

// StreamHandler answers one request with any number of messages. send blocks
// while the peer reads slowly. ctx ends when the peer goes away or cancels. The
// returned error reaches the peer as *RemoteError; nil ends the stream cleanly.
type StreamHandler func(ctx context.Context, from string, decode func(into any) error, send func(message any) error) error

// Stream is the receiving end. Next fills the next message; it returns io.EOF
// only after the peer's clean end, *RemoteError for the handler's error, and
// another error when the connection broke.
type Stream interface {
	Next(into any) error
	// Close gives the stream up; the peer's handler is canceled.
	Close() error
}

// Network is what the other packages need; *Node is the TCP one and Memory
// connects nodes of one process, for tests and hollow nodes.
type Network interface {
	// Handle registers the handler of a kind. All of them before Start.
	Handle(kind Kind, handler Handler)
	// Send queues a one-way message; when the queue of that address is full or
	// the peer is gone, the message is dropped and counted.
	Send(address string, kind Kind, message any)
	// Call sends a request and waits for the reply. An error from the peer's
	// handler comes back as *RemoteError; everything else leaves open whether the
	// peer handled it.
	Call(ctx context.Context, address string, kind Kind, request, reply any) error
	// HandleStream registers the handler of a streamed kind. All before Start.
	HandleStream(kind Kind, handler StreamHandler)
	// OpenStream sends a request on a connection of its own. An error from here
	// means that the request was not written whole; later ones come from Next.
	OpenStream(ctx context.Context, address string, kind Kind, request any) (Stream, error)
	// Start begins to accept and serve.
	Start() error
	Close() error
}

// Config sets up a Node.
type Config struct {
	// Name is this node's name, told to peers in the handshake.
	Name string
	// Listen is the peers' address (host:port) to bind.
	Listen string
	// Keys are the fleet's keys, newest first; a peer must hold one of them.
	Keys [][]byte
	// AddressOverrides maps a peer's address to another one to dial in its place.
	AddressOverrides map[string]string
	// QueueLength bounds the one-way messages waiting per address. Default 1024.
	QueueLength int
	// MaxFrameBytes bounds a frame in bytes. Default 64 MiB.
	MaxFrameBytes int
	// DialTimeout bounds connecting. Default 1 s.
	DialTimeout time.Duration
	// HandshakeTimeout bounds the handshake after it, on both sides. Default 1 s.
	HandshakeTimeout time.Duration
}
