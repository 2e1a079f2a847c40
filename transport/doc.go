// Package transport carries typed messages between the processes of one fleet
// over TCP: length-prefixed CBOR frames, a keyed handshake, one-way sends that
// never block and calls that are answered. Lost, late and reordered messages
// are normal to its users.
//
// The files by concern, from the API down to the wire:
//
//	transport.go                     Network, Config and the errors of sending
//	node.go, connect.go              Node: life cycle, handlers, open connections
//	send.go                          Send and Call
//	link.go, call.go, queue.go       the outbound connection to one address
//	liveness.go                      detection of an unresponsive or idle connection
//	accept.go, inbound.go            accepted connections with messages and calls
//	stream.go, streampool.go         streams, at the end that opens them
//	streamserver.go                  streams, at the end that serves them
//	conn.go, frame.go, handshake.go  a connection, its frames and its handshake
//	counters.go                      message and byte counts by kind
//	fabric.go                        the border to the sockets
//	memory.go, memoryconn.go         the network within one process
package transport
