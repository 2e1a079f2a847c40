package agent

import (
	"context"
	"errors"

	"github.com/deckpulley/deckpulley/peer"
)

// errControlUnknown is returned to processes that ask for control nodes before this
// agent has found any.
var errControlUnknown = errors.New("agent: no control node is known")

// serveNotify triggers a renewal. It activates the announced serial at once if the
// notifying primary is the one that granted the valid lease.
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
		a.control.primary = notify.Primary
		if a.renewalAddress != "" && a.renewalAddress != notify.Primary {
			a.cancelRenewal()
		}
	}
	if notify.ActivationSerial != 0 && a.Valid() && a.leaseTerm == notify.Term {
		a.activate(notify.ActivationSerial)
	}
	a.triggerRenewal()
	return nil, nil
}

// serveRenew redirects a gateway that has this one as a seed to the primary.
func (a *Agent) serveRenew(_ context.Context, _ string, decode func(any) error) (any, error) {
	var renew peer.Renew
	if err := decode(&renew); err != nil {
		return nil, err
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.holder.Cluster() == "" {
		return nil, errControlUnknown
	}
	return &peer.Grant{
		Cluster:          a.holder.Cluster(),
		Term:             a.holder.Term(),
		Primary:          a.control.primary,
		ControlAddresses: a.control.members,
	}, nil
}

// serveHello lists the control nodes for a process that has this one as a seed.
func (a *Agent) serveHello(_ context.Context, _ string, decode func(any) error) (any, error) {
	var hello peer.Hello
	if err := decode(&hello); err != nil {
		return nil, err
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.holder.Cluster() == "" {
		return nil, errControlUnknown
	}
	return &peer.HelloReply{
		Name:    a.options.Gateway.Name,
		Cluster: a.holder.Cluster(),
		Members: a.control.consensusMembers(),
	}, nil
}

// serveJoin redirects a joining control node to the primary.
func (a *Agent) serveJoin(_ context.Context, _ string, decode func(any) error) (any, error) {
	var join peer.Join
	if err := decode(&join); err != nil {
		return nil, err
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.holder.Cluster() == "" {
		return nil, errControlUnknown
	}
	return &peer.JoinReply{
		Cluster: a.holder.Cluster(),
		Primary: a.control.primary,
		Members: a.control.consensusMembers(),
	}, nil
}
