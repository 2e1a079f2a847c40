package agent

import (
	"math"
	"slices"
	"time"

	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/placement"
)

// controlNodes selects the control node for the next renewal. It starts from the
// seeds and learns the members from the control nodes' responses, so that it
// survives the replacement of every seed. The agent's mutex guards it.
type controlNodes struct {
	seeds   []string
	members []string // as last reported by a control node
	primary string   // empty if unknown
	cursor  int      // position of the last address that was tried in turn
	// suspected is the address that failed last. Redirects to it are ignored until
	// suspectUntil.
	suspected    string
	suspectUntil time.Duration
}

// newControlNodes returns a selection that begins at a seed chosen by the hash of the
// gateway's name, so that gateways that start together do not all wait for the
// same one.
func newControlNodes(seeds []string, name string) *controlNodes {
	return &controlNodes{seeds: slices.Clone(seeds), cursor: int(placement.Hash(name) % math.MaxInt32)}
}

// setMembers records the members that a control node reported, if any.
func (c *controlNodes) setMembers(members []string) {
	if len(members) > 0 {
		c.members = slices.Clone(members)
	}
}

// addresses lists the known control nodes: the primary, the members, the seeds.
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

// next returns the address for the next renewal: the primary if it is known, else
// each address in turn; empty if there is none.
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

// recordReply records the response of a node: whether it granted the renewal, and
// which node it named as the primary. It reports whether there is a redirect to
// follow at once.
func (c *controlNodes) recordReply(now time.Duration, address string, granted bool, primary string) bool {
	if granted {
		c.primary = address
		return false
	}
	suspected := primary == c.suspected && now < c.suspectUntil
	if primary != "" && primary != address && !suspected {
		c.primary = primary
		return true
	}
	c.primary = ""
	return false
}

// recordFailure records that a node did not respond. The others may go on naming it
// as the primary for as long as an election takes, so that redirects to it are
// ignored until then.
func (c *controlNodes) recordFailure(address string, until time.Duration) {
	c.suspected = address
	c.suspectUntil = until
	if c.primary == address {
		c.primary = ""
	}
}

// consensusMembers returns the members in the form of a reply.
func (c *controlNodes) consensusMembers() []consensus.Member {
	var members []consensus.Member
	for _, address := range c.members {
		members = append(members, consensus.Member{Address: address})
	}
	return members
}
