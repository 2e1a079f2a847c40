// Package transport carries typed messages between the processes of one fleet over
// TCP. It has length-prefixed CBOR frames, a handshake authenticated by shared keys,
// one-way messages whose sending never blocks, calls with a reply, and streams. Its
// users must tolerate lost, late and reordered messages.
//
// The files by concern, from the API down to the wire:
//
//	transport.go                     Network, Config and the errors of sending
//	node.go, connect.go              Node: life cycle, handlers, open connections
//	send.go                          Send and Call
//	link.go, call.go, queue.go       the outgoing connection to one address
//	liveness.go                      detection of an unresponsive or idle connection
//	accept.go, inbound.go            accepted connections with messages and calls
//	stream.go, streampool.go         streams on the side that opens them
//	streamserver.go                  streams on the side that serves them
//	conn.go, frame.go, handshake.go  a connection, its frames and its handshake
//	counters.go                      message and byte counts by kind
//	fabric.go                        the interface to the sockets
//	memory.go, memoryconn.go         the network within one process
package transport
