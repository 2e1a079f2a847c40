package agent

import (
	"math"
	"slices"
	"time"

	"github.com/deckpulley/deckpulley/placement"
)

// controlNodes chooses which control node to ask. It starts from the seeds and goes
// on with what control nodes tell of themselves, so that it survives the
// replacement of every seed.
type controlNodes struct {
	seeds   []string
	members []string // as last told by a control node
	primary string   // empty if unknown
	cursor  int
	// suspected did not answer; hints at it are not followed until suspectUntil.
	suspected      string
	suspectUntil time.Duration
}

// newControlNodes begins with a seed that the name of the gateway chooses, so that
// gateways that start together do not all wait for the same one.
func newControlNodes(seeds []string, name string) *controlNodes {
	return &controlNodes{seeds: slices.Clone(seeds), cursor: int(placement.Hash(name) % math.MaxInt32)}
}

// setMembers takes the addresses that a control node told.
func (c *controlNodes) setMembers(members []string) {
	if len(members) > 0 {
		c.members = slices.Clone(members)
	}
}

// addresses lists what is known of the addresses nodes, best first.
func (c *controlNodes) addresses() []string {
	list := make([]string, 0, len(c.members)+len(c.seeds)+1)
	add := func(address string) {
		if address != "" && !slices.Contains(list, address) {
			list = append(list, address)
		}
	}
	add(c.primary)
	for _, address := range c.members {
		add(address)
	}
	for _, address := range c.seeds {
		add(address)
	}
	return list
}

// next is the address to ask: the primary if it is known, otherwise each in
// turn; empty if there is none.
func (c *controlNodes) next() string {
	if c.primary != "" {
		return c.primary
	}
	list := c.addresses()
	if len(list) == 0 {
		return ""
	}
	c.cursor++
	return list[c.cursor%len(list)]
}

// recordReply notes what the asked node said about the primary. It reports whether
// there is a hint to follow at once.
func (c *controlNodes) recordReply(now time.Duration, asked string, granted bool, hint string) bool {
	if granted {
		c.primary = asked
		return false
	}
	suspected := hint == c.suspected && now < c.suspectUntil
	if hint != "" && hint != asked && !suspected {
		c.primary = hint
		return true
	}
	c.primary = ""
	return false
}

// recordFailure notes that the asked node did not answer. Others may go on naming it
// as primary for as long as an election takes.
func (c *controlNodes) recordFailure(asked string, until time.Duration) {
	c.suspected = asked
	c.suspectUntil = until
	if c.primary == asked {
		c.primary = ""
	}
}
