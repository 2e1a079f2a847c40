package control

import (
	"context"
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/transport"
)

// Kinds of messages between control nodes alone. They follow those of package
// peer with a gap.
const (
	kindDescribe  transport.Kind = 64 // call describeRequest/description, control to control
	kindReadIndex transport.Kind = 65 // call readIndexRequest/readIndexReply, control to the primary
	kindOverview  transport.Kind = 66 // call overviewRequest/overview, control to the primary
	kindWhere     transport.Kind = 67 // call whereRequest/whereReply, control without a group to a member
)

const (
	// describeInterval is the time between two rounds of asking the members.
	describeInterval = 2 * time.Second
	// describeShare is the part of a call's time-out that a member has to answer,
	// so that one that is cut off leaves time for the answer about it.
	describeShare = 3
)

// describeRequest asks a control node for what its member record does not hold.
// A lost one is asked again.
type describeRequest struct{}

// description answers describeRequest. It proves that the process with this
// disk was alive after the request was sent.
type description struct {
	Name            string       `cbor:"1,keyasint"`
	Identity        consensus.ID `cbor:"2,keyasint"`
	Zone            string       `cbor:"3,keyasint"`
	Region          string       `cbor:"4,keyasint"`
	Incarnation     string       `cbor:"5,keyasint"`
	OperatorAddress string       `cbor:"6,keyasint"`
}

// describer keeps the newest descriptions of other control nodes.
type describer struct {
	mutex sync.Mutex
	known map[consensus.ID]description
}

func (d *describer) put(described description) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.known == nil {
		d.known = make(map[consensus.ID]description)
	}
	d.known[described.Identity] = described
}

func (d *describer) get(id consensus.ID) description {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.known[id]
}

func (n *Node) ownDescription() description {
	return description{
		Name:            n.options.Name,
		Identity:        n.observe().identity,
		Zone:            n.options.Zone,
		Region:          n.options.Region,
		Incarnation:     n.incarnation,
		OperatorAddress: n.options.OperatorAddress,
	}
}

func (n *Node) serveDescribe(context.Context, string, func(any) error) (any, error) {
	described := n.ownDescription()
	return &described, nil
}

// describe asks one node and remembers its answer.
func (n *Node) describe(ctx context.Context, address string) (description, error) {
	ctx, cancel := context.WithTimeout(ctx, n.options.CallTimeout/describeShare)
	defer cancel()
	var described description
	if err := n.network.Call(ctx, address, kindDescribe, &describeRequest{}, &described); err != nil {
		return description{}, err
	}
	n.describer.put(described)
	return described, nil
}

// describeMembers asks all other members at once and returns who answered, by
// the identity that stands in the membership.
func (n *Node) describeMembers(ctx context.Context, membership consensus.Membership) map[consensus.ID]bool {
	own := n.observe().identity
	alive := map[consensus.ID]bool{own: true}
	var mutex sync.Mutex
	var calls sync.WaitGroup
	for _, member := range membership.Members {
		if member.ID == own {
			continue
		}
		calls.Go(func() {
			described, err := n.describe(ctx, member.Address)
			mutex.Lock()
			defer mutex.Unlock()
			alive[member.ID] = err == nil && described.Identity == member.ID
		})
	}
	calls.Wait()
	return alive
}

// runDescriber keeps the descriptions of the members fresh at the primary.
func (n *Node) runDescriber(ctx context.Context) {
	n.describer.put(n.ownDescription())
	ticker := time.NewTicker(describeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if observed := n.observe(); observed.primary {
			n.describeMembers(ctx, observed.status.Membership)
		}
	}
}
