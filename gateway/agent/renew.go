package agent

import (
	"context"
	"errors"
	"time"

	"github.com/deckpulley/deckpulley/internal/planted"
	"github.com/deckpulley/deckpulley/peer"
)

// Pauses of the renewal loop.
const (
	// searchPause is the wait between two nodes while no primary is known.
	searchPause = 50 * time.Millisecond
	// maxHints bounds how often hints are followed without a pause.
	maxHints = 4
	// firstTimeout bounds a renewal that brings a whole table. It is reached by
	// doubling from searchTimeout for each node by itself, so that one that does not
	// answer is soon left for another. One without power is left sooner, since it
	// cannot be dialled; searchTimeout has room for the four round trips of a first
	// renewal to a node 100 ms away.
	firstTimeout  = 3 * time.Second
	searchTimeout = 450 * time.Millisecond
	// leaveTimeout bounds giving the lease up.
	leaveTimeout = time.Second
	// callShare is the part of a lease that one renewal may take.
	callShare = 3
	// maxDoublings bounds the doubling up to firstTimeout.
	maxDoublings = 4
)

// Run renews the lease until the context ends.
func (a *Agent) Run(ctx context.Context) {
	hints := 0
	for ctx.Err() == nil {
		wait, hinted := a.renew(ctx)
		if hinted && hints < maxHints {
			hints++
			continue
		}
		hints = 0
		if wait == 0 {
			continue
		}
		a.pause(ctx, wait)
	}
}

func (a *Agent) pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-a.wake:
	case <-timer.C:
	}
}

// renew asks one node. It returns the wait before the next renewal, or that
// there is a hint to follow at once.
func (a *Agent) renew(ctx context.Context) (wait time.Duration, hinted bool) {
	// Read before the request is made: what it says of the lease, and the lease
	// that answers it, must both be true of no later time.
	sent := a.options.Clock()
	address, request, timeout := a.nextRenewal()
	if address == "" {
		return searchPause, false
	}
	var grant peer.Grant
	callContext, cancel := context.WithTimeout(ctx, timeout)
	a.setAsking(address, cancel)
	err := a.options.Network.Call(callContext, address, peer.KindRenew, &request, &grant)
	a.setAsking("", nil)
	cancel()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := a.options.Clock()
	if err != nil {
		if planted.Active(planted.GiveUpLease) && a.renewals.Load() > 0 {
			a.holder.Release()
		}
		a.refusals.Add(1)
		a.unanswered[address]++
		a.contacts.failed(address, now+a.suspicion(&request))
		a.log.Debug("renewal failed", "address", address, "error", err)
		return searchPause, false
	}
	if grant.Term < a.holder.Term() {
		grant.Primary, grant.ControlAddresses = "", nil // a node that lags names the primary of the past
	}
	delete(a.unanswered, address)
	a.contacts.learn(grant.ControlAddresses)
	hinted = a.contacts.answered(now, address, grant.Granted, grant.Primary)
	if !grant.Granted {
		a.refusals.Add(1)
		if err := a.learn(&grant); err != nil {
			a.log.Debug("hint not taken", "address", address, "error", err)
		}
		return searchPause, hinted
	}
	return a.granted(sent, &grant), false
}

// learn takes what a node tells that names another one as the primary: the term, so
// that the first renewal there already says that older grants are dropped, which the
// primary waits for; and a whole table, to hold until the primary makes it active.
func (a *Agent) learn(grant *peer.Grant) error {
	if grant.Primary == "" || grant.Cluster == "" {
		return nil
	}
	if err := a.holder.Observe(grant.Term, grant.Cluster); err != nil {
		return err
	}
	if a.newest != nil {
		return nil // what is held goes on with the primary's differences
	}
	_, err := a.takeGrant(grant)
	return err
}

// setAsking notes which node is being asked, so that the news of another
// primary can end the wait for its answer.
func (a *Agent) setAsking(address string, cancel context.CancelFunc) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.asking = address
	a.stopAsking = cancel
}

// nextRenewal chooses whom to ask and what to say.
func (a *Agent) nextRenewal() (string, peer.Renew, time.Duration) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	request := peer.Renew{
		Cluster:        a.holder.Cluster(),
		Gateway:        a.options.Gateway,
		Term:           a.holder.Term(),
		ReceivedSerial: a.heldLocked(),
		LeaseValid:     a.Valid(),
	}
	if active := a.active.Load(); active != nil {
		request.ActiveSerial = active.Serial()
		request.ActiveVersion = active.Version()
	}
	address := a.contacts.next()
	timeout := a.options.LeaseConfig.Duration / callShare
	if request.ReceivedSerial == 0 {
		timeout = min(firstTimeout, searchTimeout<<min(a.unanswered[address], maxDoublings))
	}
	return address, request, timeout
}

// suspicion is how long others' word is not followed to a node that did not answer.
// While nothing is held here it is short: after a loss of all power nodes come back
// one after the other, and the first primary is one that was asked too early.
func (a *Agent) suspicion(request *peer.Renew) time.Duration {
	if request.ReceivedSerial == 0 {
		return searchTimeout / 2
	}
	return a.options.LeaseConfig.Duration / callShare
}

// granted takes a grant and returns the wait before the next renewal.
func (a *Agent) granted(sent time.Duration, grant *peer.Grant) time.Duration {
	length := time.Duration(grant.LeaseMS) * time.Millisecond
	now := a.options.Clock()
	if err := a.holder.HandleGrant(now, sent, grant.Term, grant.Cluster, length); err != nil {
		a.refusals.Add(1)
		a.log.Warn("grant dropped", "term", grant.Term, "error", err)
		a.contacts.primary = ""
		return searchPause
	}
	a.renewals.Add(1)
	if length > 0 {
		a.leaseTerm = grant.Term
		a.extend(now)
	}
	took, err := a.takeGrant(grant)
	if err != nil {
		a.log.Error("copy discarded", "error", err)
		return searchPause
	}
	activated := a.activate(grant.ActivationSerial)
	if took || activated {
		return 0 // the primary waits for the news
	}
	return a.options.LeaseConfig.RenewalInterval
}

func (a *Agent) takeGrant(grant *peer.Grant) (bool, error) {
	transfer, err := grant.UnpackTransfer()
	if err != nil || transfer == nil {
		return false, err
	}
	return a.take(*transfer)
}

// extend publishes the end of the lease.
func (a *Agent) extend(now time.Duration) {
	if remaining := a.holder.Remaining(now); remaining > 0 {
		a.validUntil.Store(int64(now + remaining))
	}
}

// ReleaseLease gives the lease up: from the call on the gateway may not act. The
// primary is told if it can be reached.
func (a *Agent) ReleaseLease(ctx context.Context) {
	a.mutex.Lock()
	a.holder.Release()
	a.validUntil.Store(0)
	a.options.Gateway.Draining = true
	a.mutex.Unlock()
	address, request, _ := a.nextRenewal()
	if address == "" {
		return
	}
	leaveContext, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	var grant peer.Grant
	if err := a.options.Network.Call(leaveContext, address, peer.KindRenew, &request, &grant); err != nil {
		a.log.Warn("the primary was not told of leaving", "address", address, "error", err)
	}
}

// serveNotify renews at once, and activates at once if the notifying primary is
// the one that granted the valid lease.
func (a *Agent) serveNotify(_ context.Context, _ string, decode func(any) error) (any, error) {
	var notify peer.Notify
	if err := decode(&notify); err != nil {
		return nil, err
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.holder.Cluster() == "" || notify.Cluster == "" {
		a.renewSoon()
		return nil, nil
	}
	if err := a.holder.Observe(notify.Term, notify.Cluster); err != nil {
		return nil, nil
	}
	if notify.Primary != "" {
		a.contacts.primary = notify.Primary
		if a.asking != "" && a.asking != notify.Primary {
			a.stopAsking()
		}
	}
	if notify.ActivationSerial != 0 && a.Valid() && a.leaseTerm == notify.Term {
		a.activate(notify.ActivationSerial)
	}
	a.renewSoon()
	return nil, nil
}

var errNoControl = errors.New("agent: no control node is known")

// serveRenew tells a gateway that has this one as a seed where to go.
func (a *Agent) serveRenew(_ context.Context, _ string, decode func(any) error) (any, error) {
	var renew peer.Renew
	if err := decode(&renew); err != nil {
		return nil, err
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.holder.Cluster() == "" {
		return nil, errNoControl
	}
	return &peer.Grant{
		Cluster:          a.holder.Cluster(),
		Term:             a.holder.Term(),
		Primary:          a.contacts.primary,
		ControlAddresses: a.contacts.members,
	}, nil
}
