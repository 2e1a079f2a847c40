package transport

import "sync/atomic"

// MaxKinds bounds the kinds: each is below it. Kind 0 stands for the transport's
// own frames: pings, pongs and cancellations.
const MaxKinds = 128

// KindCounters are the counts of one kind's frames since the node was made. Replies
// and stream messages count under the kind of their request. Bytes include the
// frame's length and envelope.
type KindCounters struct {
	SentMessages     uint64
	SentBytes        uint64
	ReceivedMessages uint64
	ReceivedBytes    uint64
	// DroppedMessages counts the messages that this node discarded unsent or
	// unhandled.
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

// of returns the counters of a kind. A received kind that is out of range counts
// under kind 0.
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

// snapshot returns the counters of the kinds that were used.
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
