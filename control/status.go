package control

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/settings"
)

// overviewTimeout bounds collecting an overview, forwarding included.
const overviewTimeout = 2 * time.Second

// overviewRequest asks the primary for what only it knows. A lost one leaves the
// asking node to answer from what it has.
type overviewRequest struct{}

// overview answers overviewRequest.
type overview struct {
	Status     api.StatusAnswer `cbor:"1,keyasint"`
	RepairDone bool             `cbor:"2,keyasint"`
}

func (n *Node) serveOverview(ctx context.Context, _ string, _ func(any) error) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, n.options.CallTimeout)
	defer cancel()
	view, err := n.primaryOverview(ctx)
	if err != nil {
		return nil, err
	}
	return &view, nil
}

// overview is the primary's, or this node's own view with a note if no primary
// answers.
func (n *Node) overview(ctx context.Context) overview {
	ctx, cancel := context.WithTimeout(ctx, overviewTimeout)
	defer cancel()
	observed := n.observe()
	if observed.primary {
		if view, err := n.primaryOverview(ctx); err == nil {
			return view
		}
	}
	view := n.ownOverview(observed)
	primary := observed.leaderAddress()
	if primary == "" || primary == n.options.PeerAddress {
		return view
	}
	var remote overview
	if err := n.network.Call(ctx, primary, kindOverview, &overviewRequest{}, &remote); err != nil {
		return view
	}
	own := view.Status
	view = remote
	view.Status.Node, view.Status.Serial, view.Status.AppliedIndex = own.Node, own.Serial, own.AppliedIndex
	view.Status.CommitIndex, view.Status.Version = own.CommitIndex, own.Version
	return view
}

// primaryOverview collects what the primary knows. The members are asked anew,
// so that a repair is called done only on evidence from after the question.
func (n *Node) primaryOverview(ctx context.Context) (overview, error) {
	observed := n.observe()
	alive := n.describeMembers(ctx, observed.status.Membership)
	view, err := ask(ctx, n, func(now time.Duration) overview {
		return n.machine.overview(now, alive)
	})
	if err != nil {
		return overview{}, err
	}
	if view.Status.Primary == "" {
		return overview{}, ErrNotPrimary
	}
	n.fillMembers(view.Status.Members)
	n.fillStatus(&view.Status, n.observe())
	return view, nil
}

// overview is the loop's part: leases, replication and the state of the repair.
func (m *machine) overview(now time.Duration, alive map[consensus.ID]bool) overview {
	leadership, serving := m.serving()
	if !serving {
		return overview{}
	}
	status := m.group.Status()
	repair := m.repairOf(now, status)
	view := overview{RepairDone: repair.done()}
	for _, member := range status.Membership.Members {
		up := alive[member.ID] && repair.answeredLately(member.ID)
		view.RepairDone = view.RepairDone && up
		view.Status.Members = append(view.Status.Members, controlMember(member, up, status.Match[member.ID]))
	}
	gateways, leases := m.gatewayMembers(now)
	view.Status.Members = append(view.Status.Members, gateways...)
	view.Status.Primary = m.options.Name
	view.Status.Leases = leases
	view.Status.InForceSerial, _ = leadership.grantor.SerialInForce()
	view.Status.Degraded = m.degraded(view, status)
	return view
}

func controlMember(member consensus.Member, up bool, match uint64) api.MemberStatus {
	return api.MemberStatus{
		Name:        member.Name,
		Role:        string(settings.RoleControl),
		Zone:        member.Zone,
		PeerAddress: member.Address,
		Identity:    string(member.ID),
		Up:          up,
		Voter:       !member.Learner,
		Learner:     member.Learner,
		MatchIndex:  match,
	}
}

// gatewayMembers joins the member records of gateways with their leases.
func (m *machine) gatewayMembers(now time.Duration) (members []api.MemberStatus, leases int) {
	byName := make(map[string]api.MemberStatus)
	for name, record := range m.contents.Gateways() {
		byName[name] = api.MemberStatus{
			Name:        name,
			Role:        string(settings.RoleGateway),
			Zone:        record.Zone,
			Region:      record.Region,
			Incarnation: record.Incarnation,
			PeerAddress: record.PeerAddress,
			HTTPAddress: record.HTTPAddress,
			Up:          record.Up,
		}
	}
	holders := m.leadership.grantor.Holders(now)
	for _, holder := range holders {
		member, known := byName[holder.Holder]
		if !known || member.Incarnation != holder.Incarnation {
			continue
		}
		member.LeaseMS = holder.Remaining.Milliseconds()
		member.ReceivedSerial = holder.ReceivedSerial
		member.ActiveSerial = holder.ActiveSerial
		if state := m.leadership.gateways[holder.Holder]; state != nil {
			member.ActiveVersion = state.activeVersion
		}
		byName[holder.Holder] = member
	}
	for _, member := range byName {
		members = append(members, member)
	}
	slices.SortFunc(members, func(a, b api.MemberStatus) int { return strings.Compare(a.Name, b.Name) })
	return members, len(holders)
}

// degraded says in a sentence each what a person should look at.
func (m *machine) degraded(view overview, status consensus.Status) []string {
	var notes []string
	for _, member := range view.Status.Members {
		switch {
		case member.Learner:
			notes = append(notes, fmt.Sprintf("control node %s is catching up: wait until it votes", member.Name))
		case member.Voter && !member.Up:
			notes = append(notes, fmt.Sprintf("control node %s does not answer: restart it, or start a replacement in zone %s", member.Name, member.Zone))
		case member.Voter && member.MatchIndex < status.Commit:
			notes = append(notes, fmt.Sprintf("control node %s is %d entries behind: usual for a moment, else look at its disk and links", member.Name, status.Commit-member.MatchIndex))
		case !member.Voter && !member.Up:
			notes = append(notes, fmt.Sprintf("gateway %s has no lease: restart it or its machine", member.Name))
		}
	}
	for zone := range m.contents.Evacuations() {
		notes = append(notes, fmt.Sprintf("zone %s is evacuated: withdraw it when the zone is well (deckpulleyctl zone restore %s)", zone, zone))
	}
	if m.contents.Version() == 0 {
		notes = append(notes, "no configuration yet: send one")
	}
	slices.Sort(notes)
	return notes
}

// fillMembers adds what the member record of a control node does not hold.
func (n *Node) fillMembers(members []api.MemberStatus) {
	n.describer.put(n.ownDescription())
	for i := range members {
		if members[i].Identity == "" {
			continue
		}
		described := n.describer.get(consensus.ID(members[i].Identity))
		members[i].Region = described.Region
		members[i].Incarnation = described.Incarnation
		members[i].HTTPAddress = described.OperatorAddress
	}
}

// fillStatus adds what the observation shows.
func (n *Node) fillStatus(status *api.StatusAnswer, observed *observation) {
	status.Node = n.options.Name
	status.Term = observed.status.Term
	status.CommitIndex = observed.status.Commit
	status.AppliedIndex = observed.applied
	status.Serial = observed.serial
	if observed.contents != nil {
		status.Version = observed.contents.Version()
	}
	leader, known := observed.member(observed.status.Leader)
	if !known {
		return
	}
	status.Primary = leader.Name
	status.PrimaryAddress = n.describer.get(leader.ID).OperatorAddress
}

// ownOverview is what a node can say without the primary.
func (n *Node) ownOverview(observed *observation) overview {
	var view overview
	n.fillStatus(&view.Status, observed)
	for _, member := range observed.status.Membership.Members {
		view.Status.Members = append(view.Status.Members, controlMember(member, member.ID == observed.identity, 0))
	}
	n.fillMembers(view.Status.Members)
	switch {
	case observed.cluster == "":
		view.Status.Degraded = []string{"this node belongs to no group yet"}
	case observed.leaderAddress() == "":
		view.Status.Degraded = []string{"no primary is known: most control nodes are down or cut off"}
	default:
		view.Status.Degraded = []string{"the primary did not answer: leases and repair are not known here"}
	}
	return view
}

// ready says whether the node may do its work: it votes, and knows a primary.
func (o *observation) ready() *api.Error {
	reason := ""
	switch {
	case o.cluster == "" || o.contents == nil:
		reason = "this node belongs to no group yet"
	case !o.voter():
		reason = "this node does not vote yet"
	case o.leaderAddress() == "":
		reason = "no primary is known"
	case o.status.Role == consensus.Leader && !o.primary:
		reason = "this node was just elected"
	}
	if reason == "" {
		return nil
	}
	return &api.Error{
		Code:         api.CodeNotReady,
		Outcome:      api.OutcomeRefused,
		Message:      reason,
		Retry:        true,
		RetryAfterMS: noPrimaryRetryAfter.Milliseconds(),
	}
}

// zonesAnswer lists the zones of the configuration.
func zonesAnswer(observed *observation) api.ZonesAnswer {
	answer := api.ZonesAnswer{Zones: []api.ZoneStatus{}}
	if observed.contents == nil {
		return answer
	}
	for zone, record := range observed.contents.Zones() {
		answer.Zones = append(answer.Zones, api.ZoneStatus{
			Zone:      zone,
			Region:    record.Region,
			Evacuated: observed.contents.IsEvacuated(zone),
		})
	}
	slices.SortFunc(answer.Zones, func(a, b api.ZoneStatus) int { return strings.Compare(a.Zone, b.Zone) })
	return answer
}

// configurationAnswer reads the configuration back.
func configurationAnswer(observed *observation) api.ConfigurationAnswer {
	answer := api.ConfigurationAnswer{Serial: observed.serial}
	if observed.contents == nil {
		return answer
	}
	if current, known := observed.contents.Configuration(); known {
		answer.Version = current.Version
		answer.Author = current.Author
		answer.Document = current.Document
	}
	return answer
}
