package transport

import "sync/atomic"

// MaxKinds is the exclusive upper bound of kinds. Kind 0 counts the transport's own
// frames: pings, pongs and cancellations.
const MaxKinds = 128

// KindCounters holds the counters of one kind since the node was created. Replies and
// stream messages count under the kind of their request. Bytes include the length
// prefix and the envelope of each frame.
type KindCounters struct {
	SentMessages     uint64
	SentBytes        uint64
	ReceivedMessages uint64
	ReceivedBytes    uint64
	// DroppedMessages counts the messages that this node discarded before sending or
	// handling them.
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

// forKind returns the counters of a kind. A received kind that is out of range is
// counted as kind 0.
func (c *counters) forKind(kind Kind) *kindCounters {
	if kind >= MaxKinds {
		kind = 0
	}
	return &c[kind]
}

func (c *counters) sent(kind Kind, bytes int) {
	counter := c.forKind(kind)
	counter.sentMessages.Add(1)
	counter.sentBytes.Add(uint64(bytes))
}

func (c *counters) received(kind Kind, bytes int) {
	counter := c.forKind(kind)
	counter.receivedMessages.Add(1)
	counter.receivedBytes.Add(uint64(bytes))
}

func (c *counters) dropped(kind Kind) { c.forKind(kind).droppedMessages.Add(1) }

// snapshot returns the current values of all kinds with a counter other than zero.
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
