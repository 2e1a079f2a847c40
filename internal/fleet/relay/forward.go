package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/internal/fleet/wait"
)

// forward relays one client connection to the target. It dials the target only once both
// directions are open, because a TCP handshake needs both.
func (l *link) forward(client net.Conn) {
	n, outbound, inbound := l.network, l.outbound, l.inbound
	defer client.Close()
	if outbound.wait(n.context) != nil || inbound.wait(n.context) != nil {
		return
	}
	server, err := new(net.Dialer).DialContext(n.context, "tcp", l.target)
	if err != nil {
		return
	}
	defer server.Close()
	ctx, cancel := context.WithCancel(n.context)
	defer cancel()
	closeBoth := func() {
		client.Close()
		server.Close()
	}
	stop := context.AfterFunc(ctx, closeBoth)
	defer stop()
	var readers, writers sync.WaitGroup
	pump := func(to, from net.Conn, gate *gate) {
		chunks := make(chan chunk, chunksInFlight)
		readers.Add(1)
		go func() { defer readers.Done(); readChunks(ctx, from, chunks, gate) }()
		writers.Add(1)
		go func() { defer writers.Done(); l.writeChunks(ctx, cancel, to, chunks, gate) }()
	}
	pump(server, client, outbound)
	pump(client, server, inbound)
	writers.Wait()
	cancel()
	closeBoth() // unblocks the readers
	readers.Wait()
}

// chunk is data in flight in one direction of a connection.
type chunk struct {
	data []byte
	// due is the earliest time of delivery.
	due time.Time
	end streamEnd
}

// streamEnd describes whether and how a direction of a connection ends with a chunk.
type streamEnd int

const (
	notEnded streamEnd = iota
	// closedCleanly ends only this direction.
	closedCleanly
	// broken ends the whole connection.
	broken
)

const (
	chunkBytes = 32 << 10
	// chunksInFlight limits the data in flight in one direction. When the limit is reached,
	// the sender blocks, as with a full TCP window.
	chunksInFlight = 64
)

// readChunks reads one direction until it ends, then closes the channel chunks.
func readChunks(ctx context.Context, from net.Conn, chunks chan<- chunk, gate *gate) {
	defer close(chunks)
	for {
		buffer := make([]byte, chunkBytes)
		count, err := from.Read(buffer)
		due := time.Now().Add(gate.currentDelay())
		if count > 0 && !send(ctx, chunks, chunk{data: buffer[:count], due: due}) {
			return
		}
		if err != nil {
			send(ctx, chunks, chunk{due: due, end: endOf(err)})
			return
		}
	}
}

func endOf(err error) streamEnd {
	if errors.Is(err, io.EOF) {
		return closedCleanly
	}
	return broken
}

// writeChunks writes the chunks of one direction, each as soon as it is due and the gate is
// open. It calls abort if the connection is broken.
func (l *link) writeChunks(ctx context.Context, abort context.CancelFunc, to net.Conn, chunks <-chan chunk, gate *gate) {
	for next := range chunks {
		if sleepUntil(ctx, next.due) != nil || l.await(ctx, gate) != nil {
			return
		}
		if next.end == notEnded {
			if _, err := to.Write(next.data); err != nil {
				abort()
				return
			}
			continue
		}
		if next.end == broken || closeWrite(to) != nil {
			abort()
		}
		return
	}
}

// await waits until data can pass a gate now. What a lossy network held back passes with the
// first retransmission that finds the gate open.
func (l *link) await(ctx context.Context, gate *gate) error {
	sent := time.Now()
	for !gate.isOpen() {
		if err := gate.wait(ctx); err != nil {
			return err
		}
		if l.network.lossy {
			if err := sleepUntil(ctx, nextRetransmission(sent, time.Now())); err != nil {
				return err
			}
		}
	}
	return nil
}

func send(ctx context.Context, chunks chan<- chunk, next chunk) bool {
	select {
	case chunks <- next:
		return true
	case <-ctx.Done():
		return false
	}
}

func sleepUntil(ctx context.Context, due time.Time) error {
	remaining := time.Until(due)
	if remaining <= 0 {
		return nil
	}
	return wait.Sleep(ctx, remaining)
}

// closeWrite closes the write side of a connection. If the connection does not support this,
// it closes the whole connection.
func closeWrite(connection net.Conn) error {
	if half, ok := connection.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return connection.Close()
}
