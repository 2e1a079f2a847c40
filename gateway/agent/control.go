package agent

import (
	"math"
	"slices"
	"time"

	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/placement"
)

// maxMembers bounds the number of members whose addresses are kept while searches add some.
const maxMembers = 16

// maxFormerMembers bounds the number of former members whose addresses are kept.
const maxFormerMembers = 16

// controlNodes selects the control node for the next renewal. It starts with the
// seeds and updates the member addresses from the responses of the control nodes, so
// that the agent stays connected even after every seed has been replaced. It is
// guarded by the agent's mutex.
type controlNodes struct {
	seeds   []string
	members []string // as last reported by a control node
	// former has the addresses of former members, newest first. Only a search uses them.
	former  []string
	primary string // empty if unknown
	cursor  int    // round-robin position in addresses while the primary is unknown
	// suspected is the address that failed most recently. Redirects to it are ignored
	// until suspectedUntil.
	suspected      string
	suspectedUntil time.Duration
}

// newControlNodes returns a selector for the seeds. The hash of the gateway's name
// determines the first seed, so that gateways that start at the same time do not all
// call the same node first.
func newControlNodes(seeds []string, name string) *controlNodes {
	return &controlNodes{seeds: slices.Clone(seeds), cursor: int(placement.Hash(name) % math.MaxInt32)}
}

// setMembers replaces the members with those that a control node reported. An empty
// list changes nothing.
func (c *controlNodes) setMembers(members []string) {
	if len(members) == 0 {
		return
	}
	for _, address := range c.members {
		if !slices.Contains(members, address) && !slices.Contains(c.former, address) {
			c.former = slices.Insert(c.former, 0, address)
		}
	}
	c.former = slices.DeleteFunc(c.former, func(address string) bool { return slices.Contains(members, address) })
	c.former = c.former[:min(len(c.former), maxFormerMembers)]
	c.members = slices.Clone(members)
}

// addFound adds a control node that a search has found to the members, until a control
// node reports its members again. Of very many found nodes the newest are kept.
func (c *controlNodes) addFound(address string) {
	if slices.Contains(c.members, address) {
		return
	}
	members := slices.Insert(slices.Clone(c.members), 0, address)
	c.members = members[:min(len(members), maxMembers)]
}

// addresses lists the known control nodes without duplicates: the primary, the
// members, then the seeds.
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

// next returns the address for the next renewal: the primary if it is known,
// otherwise the known addresses in round-robin order. It returns an empty string if no
// address is known.
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

// recordReply records the response of the node at address: whether it granted the
// renewal and which node it named as the primary. It reports whether the response is a
// redirect that should be followed without waiting.
func (c *controlNodes) recordReply(now time.Duration, address string, granted bool, primary string) bool {
	if granted {
		c.primary = address
		return false
	}
	suspected := primary == c.suspected && now < c.suspectedUntil
	if primary != "" && primary != address && !suspected {
		c.primary = primary
		return true
	}
	c.primary = ""
	return false
}

// recordFailure records that the node at address did not respond. Other nodes may
// still name it as the primary until an election is over, so redirects to it are
// ignored until the given time.
func (c *controlNodes) recordFailure(address string, until time.Duration) {
	c.suspected = address
	c.suspectedUntil = until
	if c.primary == address {
		c.primary = ""
	}
}

// consensusMembers returns the members in the form used by peer.HelloReply and
// peer.JoinReply. Only their addresses are known.
func (c *controlNodes) consensusMembers() []consensus.Member {
	var members []consensus.Member
	for _, address := range c.members {
		members = append(members, consensus.Member{Address: address})
	}
	return members
}
