package consensus

import "time"

const (
	defaultElectionTimeout   = 600 * time.Millisecond
	defaultHeartbeatInterval = 100 * time.Millisecond
	defaultMaxAppendBytes    = 256 << 10
	defaultMaxInflight       = 64
)

// Config configures a Node.
type Config struct {
	// ID is the identity of this member. It is required.
	ID ID
	// ElectionTimeout is the minimum time without a message from a leader after which
	// a member starts an election. The actual timeout is drawn at random from
	// [ElectionTimeout, 2*ElectionTimeout). Default 600 ms.
	ElectionTimeout time.Duration
	// StartupTimeout, if set, is used in place of ElectionTimeout by a member restored
	// from disk, until it receives a message from a leader. It may be shorter: if there
	// is a leader, the other members refuse the pre-vote, and if there is none, a longer
	// wait only delays the election. The actual timeout is drawn at random from
	// [StartupTimeout, 4*StartupTimeout). Default 0: ElectionTimeout applies.
	StartupTimeout time.Duration
	// HeartbeatInterval is the time between a leader's heartbeat rounds.
	// Default 100 ms.
	HeartbeatInterval time.Duration
	// MaxAppendBytes limits the size of the entries in one append message. Default
	// 256 KiB.
	MaxAppendBytes int
	// MaxInflight limits the unacknowledged appends to one member. Default 64.
	MaxInflight int
	// Seed seeds the random number generator that draws the election timeouts.
	Seed uint64

	// HardState, Snapshot and Entries are the member's state as read from disk; all are
	// zero on the first start.
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
	// Applied is the highest index that the restored state machine has applied: the
	// index of its snapshot, or 0 without one.
	Applied uint64
}

func (c *Config) setDefaults() {
	if c.ElectionTimeout <= 0 {
		c.ElectionTimeout = defaultElectionTimeout
	}
	if c.HeartbeatInterval <= 0 {
		c.HeartbeatInterval = defaultHeartbeatInterval
	}
	if c.MaxAppendBytes <= 0 {
		c.MaxAppendBytes = defaultMaxAppendBytes
	}
	if c.MaxInflight <= 0 {
		c.MaxInflight = defaultMaxInflight
	}
}
