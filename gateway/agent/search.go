package agent

import (
	"context"
	"slices"
	"time"

	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/internal/rotation"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/placement"
)

// Limits of the search for control nodes.
const (
	// searchAfter is the time without a granted renewal after which a search starts.
	searchAfter = time.Second
	// searchRoundInterval is the time between the starts of two rounds of a search.
	searchRoundInterval = time.Second
	// gatewaysPerRound is the number of other gateways that one round asks. A later
	// round asks others.
	gatewaysPerRound = 8
	// maxAskedPerRound bounds the number of processes that one round asks.
	maxAskedPerRound = 64
	// otherRegionTimeout is the time for which an answer of a gateway of another region
	// shows that this region is not partitioned.
	otherRegionTimeout = 3 * searchRoundInterval
)

// runSearch searches for the control nodes whenever the renewals have not been granted
// for searchAfter, until the context ends. All nodes that this gateway knew may have been
// replaced while it was partitioned, frozen or without power; renewals, which go to
// known nodes, would then fail forever.
func (a *Agent) runSearch(ctx context.Context) {
	ticker := time.NewTicker(searchRoundInterval)
	defer ticker.Stop()
	for round := uint64(0); ; {
		select {
		case <-ctx.Done():
			return
		case <-a.seedsChanged:
		case <-ticker.C:
		}
		if a.needsSearch() {
			a.searchOnce(ctx, round)
			round++
		}
	}
}

// needsSearch reports whether no renewal was granted for searchAfter. It logs the start
// and the end of an outage.
func (a *Agent) needsSearch() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	lost := a.options.Clock()-a.lastGrant >= searchAfter
	if lost != a.searching {
		a.searching = lost
		if lost {
			a.logger.Warn("no control node grants renewals", "known", a.controlNodes.addresses(),
				"last_called", a.lastFailureAddress, "reason", string(a.lastFailure))
		} else {
			a.logger.Warn("a control node grants renewals again", "primary", a.controlNodes.primary)
			a.behindSince = 0
		}
	}
	return lost
}

// greeting is the answer of one process to a Hello.
type greeting struct {
	address string
	reply   peer.HelloReply
	err     error
}

// searchRound is one round of a search.
type searchRound struct {
	agent   *Agent
	answers chan greeting
	asked   map[string]bool
	pending int // answers that have not arrived
	// cluster is that of the first usable answer. A gateway that belongs to no cluster yet
	// uses no answer of another one.
	cluster string
	// newest is the answer with the newest active serial.
	newest greeting
}

// searchOnce asks the known control nodes, former ones and some other gateways which
// control nodes they know, and then the nodes that the answers name, all concurrently. A
// node that says that it belongs to this gateway's cluster becomes a known control node. A
// gateway that decides by a newer state is asked for it.
func (a *Agent) searchOnce(ctx context.Context, round uint64) {
	r := &searchRound{agent: a, answers: make(chan greeting), asked: make(map[string]bool)}
	r.ask(ctx, a.searchAddresses(round)...)
	for r.pending > 0 {
		answer := <-r.answers
		r.pending--
		if answer.err == nil && a.recordGreeting(answer) {
			r.use(ctx, answer)
		}
	}
	if r.newest.reply.ActiveSerial != 0 {
		a.catchUp(ctx, r.newest)
	}
}

// ask sends a Hello to the addresses that were not asked in this round.
func (r *searchRound) ask(ctx context.Context, addresses ...string) {
	for _, address := range addresses {
		if address == "" || address == r.agent.options.Gateway.PeerAddress || r.asked[address] || len(r.asked) >= maxAskedPerRound {
			continue
		}
		r.asked[address] = true
		r.pending++
		go func() { r.answers <- r.agent.greet(ctx, address) }()
	}
}

// use asks the processes that an answer names, and keeps the answer if it has the newest
// active serial.
func (r *searchRound) use(ctx context.Context, answer greeting) {
	if r.cluster == "" {
		r.cluster = answer.reply.Cluster
	}
	if answer.reply.Cluster != r.cluster {
		return
	}
	if isNewerSerial(answer.reply.ActiveSerial, r.newest.reply.ActiveSerial) {
		r.newest = answer
	}
	for _, member := range answer.reply.Members {
		r.ask(ctx, member.Address)
	}
	if r.agent.hasNoState() {
		r.ask(ctx, answer.reply.Gateways...)
	}
}

// greet sends a Hello to one process.
func (a *Agent) greet(ctx context.Context, address string) greeting {
	callContext, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()
	answer := greeting{address: address}
	hello := peer.Hello{Name: a.options.Gateway.Name, PeerAddress: a.options.Gateway.PeerAddress}
	answer.err = a.options.Network.Call(callContext, address, peer.KindHello, &hello, &answer.reply)
	return answer
}

// searchAddresses returns the addresses that a round of a search asks first: the known
// control nodes, the former ones, and some of the other gateways in the registry.
func (a *Agent) searchAddresses(round uint64) []string {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	addresses := append(a.controlNodes.addresses(), a.controlNodes.former...)
	return append(addresses, a.gatewaySample(round)...)
}

// gatewaySample returns the addresses of at most gatewaysPerRound other gateways.
// Successive rounds go through all of them, and gateways with other names start
// elsewhere. The caller holds the mutex.
func (a *Agent) gatewaySample(round uint64) []string {
	if a.newest == nil && a.active.Load() == nil {
		return nil
	}
	state := a.newest
	if state == nil {
		state = a.active.Load()
	}
	var addresses []string
	for name, gateway := range state.Gateways() {
		if name != a.options.Gateway.Name {
			addresses = append(addresses, gateway.PeerAddress)
		}
	}
	slices.Sort(addresses)
	return rotation.Window(addresses, placement.Hash(a.options.Gateway.Name)+round*gatewaysPerRound, gatewaysPerRound)
}

// recordGreeting records the answer of a process. It returns false if the process
// belongs to no cluster or to another one than this gateway; its answer must then not be
// used. Only what a control node says of itself is recorded: other processes may name
// nodes that are gone.
func (a *Agent) recordGreeting(answer greeting) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	reply := &answer.reply
	if reply.Cluster == "" || a.holder.Cluster() != "" && reply.Cluster != a.holder.Cluster() {
		return false
	}
	a.recordRegion(answer.address)
	if reply.Identity == consensus.None || reply.Leader == consensus.None {
		return true // a gateway, or a control node that is cut off from its group
	}
	a.controlNodes.addFound(answer.address)
	if reply.Leader == reply.Identity {
		a.followPrimary(answer.address)
		a.triggerRenewal()
	}
	return true
}

// recordRegion records the contact if the address is that of a gateway of another region.
// The caller holds the mutex.
func (a *Agent) recordRegion(address string) {
	active := a.active.Load()
	if active == nil {
		return
	}
	for _, gateway := range active.Gateways() {
		if gateway.PeerAddress == address && gateway.Region != a.options.Gateway.Region {
			a.otherRegionContact = a.options.Clock()
			return
		}
	}
}

// followPrimary makes the next renewal go to an address, and cancels a renewal in progress
// to another node. The caller holds the mutex.
func (a *Agent) followPrimary(address string) {
	a.controlNodes.primary = address
	if a.renewalAddress != "" && a.renewalAddress != address {
		a.cancelRenewal()
	}
}

// SetSeeds replaces the seeds. If no control node is in contact, a search starts at once.
func (a *Agent) SetSeeds(seeds []string) {
	a.mutex.Lock()
	a.controlNodes.seeds = slices.Clone(seeds)
	a.mutex.Unlock()
	select {
	case a.seedsChanged <- struct{}{}:
	default:
	}
}
