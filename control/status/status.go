// Package status builds the overview of the fleet's state for operators.
package status

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/control/discovery"
	"github.com/deckpulley/deckpulley/control/driver"
	"github.com/deckpulley/deckpulley/control/engine"
	"github.com/deckpulley/deckpulley/control/message"
	"github.com/deckpulley/deckpulley/settings"
	"github.com/deckpulley/deckpulley/transport"
)

// overviewTimeout bounds the time to build an overview, including forwarding.
const overviewTimeout = 2 * time.Second

// Config configures a Reporter. Every field is required.
type Config struct {
	// Name and PeerAddress are this node's own.
	Name        string
	PeerAddress string
	// CallTimeout bounds the time to answer another node.
	CallTimeout time.Duration

	Engine    *engine.Engine
	Network   transport.Network
	Describer *discovery.Describer
}

// Reporter builds the overviews of one node. Its methods are safe for concurrent use.
type Reporter struct {
	config Config
	engine *engine.Engine
}

// New returns the reporter of a node.
func New(config Config) *Reporter {
	return &Reporter{config: config, engine: config.Engine}
}

// Serve handles message.KindOverview.
func (r *Reporter) Serve(ctx context.Context, _ string, _ func(any) error) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, r.config.CallTimeout)
	defer cancel()
	view, err := r.primaryOverview(ctx)
	if err != nil {
		return nil, err
	}
	return &view, nil
}

// Overview returns the primary's overview. If no primary answers, it returns this node's
// own view with a note that says so.
func (r *Reporter) Overview(ctx context.Context) message.Overview {
	ctx, cancel := context.WithTimeout(ctx, overviewTimeout)
	defer cancel()
	observed := r.engine.Observe()
	if observed.Primary {
		if view, err := r.primaryOverview(ctx); err == nil {
			return view
		}
	}
	own := r.ownOverview(observed)
	primary := observed.LeaderAddress()
	if primary == "" || primary == r.config.PeerAddress {
		return own
	}
	var view message.Overview
	if err := r.config.Network.Call(ctx, primary, message.KindOverview, &message.OverviewRequest{}, &view); err != nil {
		return own
	}
	view.Status.Node, view.Status.Serial, view.Status.AppliedIndex = own.Status.Node, own.Status.Serial, own.Status.AppliedIndex
	view.Status.CommitIndex, view.Status.Version = own.Status.CommitIndex, own.Status.Version
	return view
}

// primaryOverview builds the overview at the primary. It first asks all members for
// their descriptions, so that a repair is reported as done only if they have answered
// after the request.
func (r *Reporter) primaryOverview(ctx context.Context) (message.Overview, error) {
	observed := r.engine.Observe()
	alive := r.config.Describer.DescribeMembers(ctx, observed.Status.Membership)
	report, err := r.engine.PrimaryReport(ctx)
	if err != nil {
		return message.Overview{}, err
	}
	if !report.Primary {
		return message.Overview{}, driver.ErrNotPrimary
	}
	view := r.overviewOf(report, alive)
	r.fillMembers(view.Status.Members)
	r.fillStatus(&view.Status, r.engine.Observe())
	return view, nil
}

// overviewOf returns the part that only the primary knows: leases, replication and the
// state of the repair. alive are the control nodes that have just answered.
func (r *Reporter) overviewOf(report engine.PrimaryReport, alive map[consensus.ID]bool) message.Overview {
	view := message.Overview{RepairDone: report.RepairDone}
	for _, member := range report.Status.Membership.Members {
		up := alive[member.ID] && report.Reachable[member.ID]
		view.RepairDone = view.RepairDone && up
		view.Status.Members = append(view.Status.Members, controlMember(member, up, report.Status.Match[member.ID]))
	}
	view.Status.Members = append(view.Status.Members, gatewayMembers(report)...)
	view.Status.Primary = r.config.Name
	view.Status.Leases = len(report.Leases)
	view.Status.InForceSerial = report.InForce
	view.Status.Degraded = degraded(report, view.Status.Members)
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

// gatewayMembers joins the member records of gateways with their leases, sorted by name.
func gatewayMembers(report engine.PrimaryReport) []api.MemberStatus {
	byName := make(map[string]api.MemberStatus)
	for name, record := range report.Catalog.Gateways() {
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
	for _, holder := range report.Leases {
		member, known := byName[holder.Holder]
		if !known || member.Incarnation != holder.Incarnation {
			continue
		}
		member.LeaseMS = holder.Remaining.Milliseconds()
		member.ReceivedSerial = holder.ReceivedSerial
		member.ActiveSerial = holder.ActiveSerial
		member.ActiveVersion = report.ActiveVersions[holder.Holder]
		byName[holder.Holder] = member
	}
	var members []api.MemberStatus
	for _, member := range byName {
		members = append(members, member)
	}
	slices.SortFunc(members, func(a, b api.MemberStatus) int { return strings.Compare(a.Name, b.Name) })
	return members
}

// degraded returns one sentence for each condition that an operator should look into.
func degraded(report engine.PrimaryReport, members []api.MemberStatus) []string {
	var notes []string
	for _, member := range members {
		if note := degradedMember(member, report.Status.Commit); note != "" {
			notes = append(notes, note)
		}
	}
	for zone := range report.Catalog.Evacuations() {
		notes = append(notes, fmt.Sprintf("zone %s is evacuated: end the evacuation when the zone is healthy (deckpulleyctl zone restore %s)", zone, zone))
	}
	if report.Catalog.Version() == 0 {
		notes = append(notes, "no configuration yet: apply one")
	}
	slices.Sort(notes)
	return notes
}

// degradedMember returns the sentence for a member, empty if the member needs no
// attention.
func degradedMember(member api.MemberStatus, commit uint64) string {
	switch {
	case member.Learner:
		return fmt.Sprintf("control node %s is catching up: wait until it votes", member.Name)
	case member.Voter && !member.Up:
		return fmt.Sprintf("control node %s does not answer: restart it, or start a replacement in zone %s", member.Name, member.Zone)
	case member.Voter && member.MatchIndex < commit:
		return fmt.Sprintf("control node %s is %d log entries behind: normal for a short time, otherwise check its disk and network", member.Name, commit-member.MatchIndex)
	case !member.Voter && !member.Up:
		return fmt.Sprintf("gateway %s has no lease: restart it or its machine", member.Name)
	default:
		return ""
	}
}

// fillMembers adds the fields that the member record of a control node does not contain.
func (r *Reporter) fillMembers(members []api.MemberStatus) {
	r.config.Describer.UpdateOwn()
	for i := range members {
		if members[i].Identity == "" {
			continue
		}
		described := r.config.Describer.Get(consensus.ID(members[i].Identity))
		members[i].Region = described.Region
		members[i].Incarnation = described.Incarnation
		members[i].HTTPAddress = described.OperatorAddress
	}
}

// fillStatus adds the fields that are known from the observation.
func (r *Reporter) fillStatus(status *api.StatusAnswer, observed *engine.Observation) {
	status.Node = r.config.Name
	status.Term = observed.Status.Term
	status.CommitIndex = observed.Status.Commit
	status.AppliedIndex = observed.Applied
	status.Serial = observed.Serial
	if observed.Catalog != nil {
		status.Version = observed.Catalog.Version()
	}
	leader, known := observed.Member(observed.Status.Leader)
	if !known {
		return
	}
	status.Primary = leader.Name
	status.PrimaryAddress = r.config.Describer.Get(leader.ID).OperatorAddress
}

// ownOverview returns the overview that a node can build without the primary.
func (r *Reporter) ownOverview(observed *engine.Observation) message.Overview {
	var view message.Overview
	r.fillStatus(&view.Status, observed)
	for _, member := range observed.Status.Membership.Members {
		view.Status.Members = append(view.Status.Members, controlMember(member, member.ID == observed.Identity, 0))
	}
	r.fillMembers(view.Status.Members)
	switch {
	case observed.Cluster == "":
		view.Status.Degraded = []string{"this node belongs to no group yet"}
	case observed.LeaderAddress() == "":
		view.Status.Degraded = []string{"no primary is known: most control nodes are down or unreachable"}
	default:
		view.Status.Degraded = []string{"the primary did not answer: this node does not know the leases and the repair state"}
	}
	return view
}
