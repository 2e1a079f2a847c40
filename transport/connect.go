package transport

import (
	"context"
	"fmt"
	"time"
)

// connect dials the address within dialTimeout and performs the handshake within
// HandshakeTimeout. The caller must release the connection. Its errors wrap
// ErrNotSent.
func (n *Node) connect(ctx context.Context, address string, use purpose, dialTimeout time.Duration) (*conn, error) {
	target := address
	if override, found := n.config.AddressOverrides[address]; found {
		target = override
	}
	dialCtx, stopDialing := context.WithTimeout(ctx, dialTimeout)
	defer stopDialing()
	raw, err := n.fabric.dial(dialCtx, target, use)
	if err != nil {
		return nil, fmt.Errorf("%w to %s: %w", ErrNotSent, address, err)
	}
	if !n.track(raw) {
		raw.Close()
		return nil, fmt.Errorf("%w to %s: %w", ErrNotSent, address, ErrClosed)
	}
	deadline := time.Now().Add(n.config.HandshakeTimeout)
	handshakeCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	stop := context.AfterFunc(handshakeCtx, func() { raw.Close() })
	peer, err := dialHandshake(raw, n.config.Name, *n.keys.Load(), use, deadline)
	if !stop() && err == nil {
		err = context.Cause(handshakeCtx)
	}
	if err != nil {
		n.release(raw)
		return nil, fmt.Errorf("%w to %s: %w", ErrNotSent, address, err)
	}
	return newConn(raw, peer, n), nil
}
