package consensus

import "time"

const (
	defaultElectionTimeout   = 600 * time.Millisecond
	defaultHeartbeatInterval = 100 * time.Millisecond
	defaultMaxAppendBytes    = 256 << 10
	defaultMaxInflight       = 64
)

// Config configures a Node. Times are monotonic and counted from any fixed start.
type Config struct {
	// ID is the member's own identity. It is required.
	ID ID
	// ElectionTimeout is the least time without contact to a leader before an
	// election; the actual one is drawn from [ElectionTimeout, 2*ElectionTimeout).
	// Default 600 ms.
	ElectionTimeout time.Duration
	// StartupTimeout, if set, replaces ElectionTimeout at a member that is restored
	// from its disk, until it has contact to a leader: if there is one, the other
	// members refuse the pre-vote, and if there is none, waiting helps nobody. The
	// actual time is drawn from [StartupTimeout, 4*StartupTimeout). Default 0: unset.
	StartupTimeout time.Duration
	// HeartbeatInterval is the time between two heartbeat rounds of a leader.
	// Default 100 ms.
	HeartbeatInterval time.Duration
	// MaxAppendBytes bounds the entries of one message. Default 256 KiB.
	MaxAppendBytes int
	// MaxInflight bounds the appends in flight to one member. Default 64.
	MaxInflight int
	// Seed seeds the random part of the election timeouts.
	Seed uint64

	// HardState, Snapshot and Entries are restored from the disk; all are zero on a
	// first start.
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
	// Applied is the highest index that the restored state machine has applied: that
	// of its snapshot, or 0.
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
