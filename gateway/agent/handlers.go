package agent

import (
	"context"
	"errors"

	"github.com/deckpulley/deckpulley/directory"
	"github.com/deckpulley/deckpulley/peer"
)

// errNoControlNode is returned to a process that asks for the control nodes before
// this agent has received a response from one.
var errNoControlNode = errors.New("agent: no control node is known")

// serveNotify handles a notification from the primary: it triggers a renewal. It also
// activates the announced serial immediately if the lease is valid and was granted in
// the term of the notification.
func (a *Agent) serveNotify(_ context.Context, _ string, decode func(any) error) (any, error) {
	var notify peer.Notify
	if err := decode(&notify); err != nil {
		return nil, err
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.holder.Cluster() == "" || notify.Cluster == "" {
		a.triggerRenewal()
		return nil, nil
	}
	if err := a.holder.Observe(notify.Term, notify.Cluster); err != nil {
		return nil, nil
	}
	if notify.Primary != "" {
		a.followPrimary(notify.Primary)
	}
	if notify.ActivationSerial != 0 && a.Valid() && a.leaseTerm == notify.Term {
		a.activate(notify.ActivationSerial)
	}
	a.triggerRenewal()
	return nil, nil
}

// serveRenew handles a renewal from a gateway that uses this one as a seed, by
// redirecting it to the primary.
func (a *Agent) serveRenew(_ context.Context, _ string, decode func(any) error) (any, error) {
	var renew peer.Renew
	if err := decode(&renew); err != nil {
		return nil, err
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.holder.Cluster() == "" {
		return nil, errNoControlNode
	}
	return &peer.Grant{
		Cluster:          a.holder.Cluster(),
		Term:             a.holder.Term(),
		Primary:          a.controlNodes.primary,
		ControlAddresses: a.controlNodes.members,
	}, nil
}

// serveHello returns the control nodes to a process that uses this gateway as a seed.
func (a *Agent) serveHello(_ context.Context, _ string, decode func(any) error) (any, error) {
	var hello peer.Hello
	if err := decode(&hello); err != nil {
		return nil, err
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.holder.Cluster() == "" {
		return nil, errNoControlNode
	}
	return &peer.HelloReply{
		Name:         a.options.Gateway.Name,
		Cluster:      a.holder.Cluster(),
		Members:      a.controlNodes.consensusMembers(),
		ActiveSerial: a.activeSerial(),
		Gateways:     a.gatewaysFor(&hello),
	}, nil
}

// serveJoin handles the join request of a new control node, by redirecting it to the
// primary.
func (a *Agent) serveJoin(_ context.Context, _ string, decode func(any) error) (any, error) {
	var join peer.Join
	if err := decode(&join); err != nil {
		return nil, err
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.holder.Cluster() == "" {
		return nil, errNoControlNode
	}
	return &peer.JoinReply{
		Cluster: a.holder.Cluster(),
		Primary: a.controlNodes.primary,
		Members: a.controlNodes.consensusMembers(),
	}, nil
}

// gatewaysFor returns the addresses of some gateways for the answer to another gateway. The
// caller holds the mutex.
func (a *Agent) gatewaysFor(hello *peer.Hello) []string {
	if hello.PeerAddress == "" {
		return nil
	}
	return a.gatewaySample(0)
}

// serveWhere tells a control node without a copy of the registry which gateways clients
// should use.
func (a *Agent) serveWhere(_ context.Context, _ string, decode func(any) error) (any, error) {
	var request peer.WhereRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	active := a.active.Load()
	if active == nil {
		return &peer.WhereReply{}, nil
	}
	query := directory.Query{Region: request.Region, Limit: max(0, request.Limit), Node: a.options.Gateway.Name, Partitioned: a.Partitioned()}
	return &peer.WhereReply{Addresses: query.Answer(active.Gateways())}, nil
}
