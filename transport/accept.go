package transport

import (
	"context"
	"errors"
	"net"
	"time"
)

// acceptRetryDelay is the pause after a failed accept, most likely because the process
// has run out of file descriptors.
const acceptRetryDelay = 10 * time.Millisecond

// acceptLoop accepts connections until the listener is closed or ctx ends.
func (n *Node) acceptLoop(ctx context.Context) {
	for {
		raw, err := n.listener.Accept()
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		}
		if err != nil {
			n.logger.Warn("accepting a peer connection failed", "error", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		n.admit(ctx, raw)
	}
}

// admit starts serving an accepted connection, or closes it if too many connections
// are in their handshake.
func (n *Node) admit(ctx context.Context, raw net.Conn) {
	select {
	case n.handshakeSlots <- struct{}{}:
	default:
		raw.Close()
		return
	}
	if !n.track(raw) || !n.spawn(func() { n.serveAccepted(ctx, raw) }) {
		<-n.handshakeSlots
		raw.Close()
	}
}

// serveAccepted runs the handshake and then serves the connection until it ends.
func (n *Node) serveAccepted(ctx context.Context, raw net.Conn) {
	defer n.release(raw)
	peer, use, err := acceptHandshake(raw, n.config.Name, *n.keys.Load(), time.Now().Add(n.config.HandshakeTimeout))
	<-n.handshakeSlots
	if err != nil {
		n.logger.Warn("peer connection rejected", "remote", raw.RemoteAddr().String(), "error", err)
		return
	}
	connection := newConn(raw, peer, n)
	if use == purposeStreams {
		newStreamServer(n, connection).serve(ctx)
		return
	}
	newInbound(n, connection).serve(ctx)
}
