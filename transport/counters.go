package transport

import "sync/atomic"

// MaxKinds bounds the kinds; a Kind is below it. Kind 0 stands for the
// transport's own frames: handshakes, pings and cancellations.
const MaxKinds = 128

// KindCounters count one kind's frames since the node's start. Replies and
// stream messages count under the kind of their request. Bytes include framing.
type KindCounters struct {
	SentMessages     uint64
	SentBytes        uint64
	ReceivedMessages uint64
	ReceivedBytes    uint64
	// DroppedMessages counts messages given up at this node, in or out.
	DroppedMessages uint64
}

type kindCounters struct {
	sentMessages     atomic.Uint64
	sentBytes        atomic.Uint64
	receivedMessages atomic.Uint64
	receivedBytes    atomic.Uint64
	droppedMessages  atomic.Uint64
}

type counters [MaxKinds]kindCounters

// of returns the counters of a kind; a kind that nobody can have registered
// counts as overhead.
func (c *counters) of(kind Kind) *kindCounters {
	if kind >= MaxKinds {
		kind = 0
	}
	return &c[kind]
}

func (c *counters) sent(kind Kind, bytes int) {
	counter := c.of(kind)
	counter.sentMessages.Add(1)
	counter.sentBytes.Add(uint64(bytes))
}

func (c *counters) received(kind Kind, bytes int) {
	counter := c.of(kind)
	counter.receivedMessages.Add(1)
	counter.receivedBytes.Add(uint64(bytes))
}

func (c *counters) dropped(kind Kind) { c.of(kind).droppedMessages.Add(1) }

// snapshot returns the kinds that were used.
func (c *counters) snapshot() map[Kind]KindCounters {
	used := make(map[Kind]KindCounters)
	for kind := range c {
		counter := &c[kind]
		values := KindCounters{
			SentMessages:     counter.sentMessages.Load(),
			SentBytes:        counter.sentBytes.Load(),
			ReceivedMessages: counter.receivedMessages.Load(),
			ReceivedBytes:    counter.receivedBytes.Load(),
			DroppedMessages:  counter.droppedMessages.Load(),
		}
		if values != (KindCounters{}) {
			used[Kind(kind)] = values
		}
	}
	return used
}
