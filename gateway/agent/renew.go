package agent

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/deckpulley/deckpulley/internal/planted"
	"github.com/deckpulley/deckpulley/peer"
)

// Timing of the renewal loop.
const (
	// searchInterval is the interval between renewals while no primary is known.
	searchInterval = 50 * time.Millisecond
	// maxRedirects is the maximum number of consecutive redirects that are followed
	// without waiting.
	maxRedirects = 4
	// fullTransferTimeout is the maximum timeout of a renewal that requests a full
	// transfer. The timeout of such a renewal starts at searchTimeout and doubles with
	// each consecutive failure of the same node, so that the agent soon moves on from a
	// node that does not respond. It moves on from a node without power even sooner,
	// because dialing that node fails.
	fullTransferTimeout = 3 * time.Second
	// searchTimeout allows for the four round trips of a first renewal (dial, handshake,
	// call) at a round-trip time of 100 ms.
	searchTimeout = 450 * time.Millisecond
	// releaseTimeout is the timeout of the call that releases the lease.
	releaseTimeout = time.Second
	// renewalTimeoutDivisor sets the timeout of a renewal as a fraction of the lease
	// duration.
	renewalTimeoutDivisor = 3
	// maxDoublings limits how often searchTimeout is doubled.
	maxDoublings = 4
)

// Run renews the lease periodically, and searches for the control nodes if renewals are
// not granted, until the context ends.
func (a *Agent) Run(ctx context.Context) {
	var search sync.WaitGroup
	search.Go(func() { a.runSearch(ctx) })
	defer search.Wait()
	redirects := 0
	for ctx.Err() == nil {
		wait, redirected := a.renew(ctx)
		if redirected && redirects < maxRedirects {
			redirects++
			continue
		}
		redirects = 0
		if wait == 0 {
			continue
		}
		a.sleep(ctx, wait)
	}
}

// sleep waits for the duration, until the next triggered renewal or until the
// context ends.
func (a *Agent) sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-a.wake:
	case <-timer.C:
	}
}

// renew sends a renewal to one control node and handles its response. It returns the
// time to wait before the next renewal; redirected reports that the node named another
// one as the primary, which should be called without waiting.
func (a *Agent) renew(ctx context.Context) (wait time.Duration, redirected bool) {
	// The clock is read before the request is built: neither the lease that the request
	// reports nor the one that is granted may be counted from a later time.
	sent := a.options.Clock()
	address, request, timeout := a.nextRenewal()
	if address == "" {
		return searchInterval, false
	}
	var grant peer.Grant
	callContext, cancel := context.WithTimeout(ctx, timeout)
	a.setRenewalInProgress(address, cancel)
	err := a.options.Network.Call(callContext, address, peer.KindRenew, &request, &grant)
	a.setRenewalInProgress("", nil)
	cancel()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := a.options.Clock()
	if err == nil && a.isForeign(&grant) {
		err = errOtherCluster
	}
	if err != nil {
		a.handleFailure(now, address, &request, err)
		return searchInterval, false
	}
	if grant.Term < a.holder.Term() {
		grant.Primary, grant.ControlAddresses = "", nil // a node that lags behind may name a former primary
	}
	delete(a.consecutiveFailures, address)
	a.controlNodes.setMembers(grant.ControlAddresses)
	redirected = a.controlNodes.recordReply(now, address, grant.QuorumConfirmed, grant.Primary)
	if !grant.QuorumConfirmed {
		a.rejectedRenewals.Add(1)
		a.recordFailure(address, refusalReason(&grant, address))
		if err := a.handleRedirect(&grant); err != nil {
			a.logger.Debug("redirect ignored", "address", address, "error", err)
		}
		return searchInterval, redirected
	}
	return a.handleGrant(sent, address, &grant), false
}

// errOtherCluster means that a node of another cluster answered a renewal: its address
// belonged to a control node of this gateway's cluster before.
var errOtherCluster = errors.New("agent: the node belongs to another cluster")

// isForeign reports whether a grant is from another cluster than this gateway's. Nothing in
// it may be used then, including the addresses of that cluster's control nodes. The caller
// holds the mutex.
func (a *Agent) isForeign(grant *peer.Grant) bool {
	return grant.Cluster != "" && a.holder.Cluster() != "" && grant.Cluster != a.holder.Cluster()
}

// handleFailure records that a renewal failed, usually because the node did not
// respond. The caller holds the mutex.
func (a *Agent) handleFailure(now time.Duration, address string, request *peer.Renew, err error) {
	if planted.Active(planted.GiveUpLease) && a.grantedRenewals.Load() > 0 {
		a.holder.Release()
	}
	a.rejectedRenewals.Add(1)
	a.recordFailure(address, callFailure(err))
	a.consecutiveFailures[address]++
	a.controlNodes.recordFailure(address, now+a.suspicionTime(request))
	a.logger.Debug("renewal failed", "address", address, "error", err)
}

// handleRedirect handles the response of a node that named another node as the
// primary. It records the term, so that the first renewal sent to the primary already
// confirms that this gateway ignores grants of earlier terms; the primary waits for
// that confirmation. It also applies a full transfer if the response has one and
// nothing has been received yet; the state stays pending until the primary approves
// its activation. The caller holds the mutex.
func (a *Agent) handleRedirect(grant *peer.Grant) error {
	if grant.Primary == "" || grant.Cluster == "" {
		return nil
	}
	if err := a.holder.Observe(grant.Term, grant.Cluster); err != nil {
		return err
	}
	if a.newest != nil {
		return nil // the primary sends incremental transfers that start at this serial
	}
	_, err := a.applyGrantTransfer(grant)
	return err
}

// setRenewalInProgress records the address of the node that is being called, so that
// a notification from another primary can cancel the call. An empty address means that
// no call is in progress.
func (a *Agent) setRenewalInProgress(address string, cancel context.CancelFunc) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.renewalAddress = address
	a.cancelRenewal = cancel
}

// nextRenewal returns the address, the request and the timeout of the next renewal;
// an empty address if no control node is known.
func (a *Agent) nextRenewal() (string, peer.Renew, time.Duration) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	request := peer.Renew{
		Cluster:        a.holder.Cluster(),
		Gateway:        a.options.Gateway,
		Term:           a.holder.Term(),
		ReceivedSerial: a.receivedSerialLocked(),
		LeaseValid:     a.Valid(),
		Follows:        a.options.Gateway.Draining,
		ActiveSerial:   a.activeSerial(),
	}
	if active := a.active.Load(); active != nil {
		request.ActiveVersion = active.Version()
	}
	address := a.controlNodes.next()
	timeout := a.options.LeaseConfig.Duration / renewalTimeoutDivisor
	if request.ReceivedSerial == 0 {
		timeout = min(fullTransferTimeout, searchTimeout<<min(a.consecutiveFailures[address], maxDoublings))
	}
	return address, request, timeout
}

// suspicionTime returns how long redirects to a node that did not respond are
// ignored. It is short while nothing has been received: after a power failure of the
// whole cluster the nodes restart one after the other, and the first primary may be a
// node that was called before it had restarted.
func (a *Agent) suspicionTime(request *peer.Renew) time.Duration {
	if request.ReceivedSerial == 0 {
		return searchTimeout / 2
	}
	return a.options.LeaseConfig.Duration / renewalTimeoutDivisor
}

// handleGrant applies a grant for the renewal sent at the time sent. It returns the
// time to wait before the next renewal. The caller holds the mutex.
func (a *Agent) handleGrant(sent time.Duration, address string, grant *peer.Grant) time.Duration {
	duration := time.Duration(grant.LeaseMS) * time.Millisecond
	now := a.options.Clock()
	if err := a.observeGrant(now, sent, grant, duration); err != nil {
		a.rejectedRenewals.Add(1)
		a.recordFailure(address, grantFailure(err))
		a.logger.Warn("lease grant ignored", "term", grant.Term, "error", err)
		a.controlNodes.primary = ""
		return searchInterval
	}
	a.grantedRenewals.Add(1)
	a.lastGrant = now
	if duration > 0 && !a.options.Gateway.Draining {
		a.leaseTerm = grant.Term
		a.publishExpiry(now)
	}
	received, err := a.applyGrantTransfer(grant)
	if err != nil {
		a.recordFailure(address, FailureInvalidTransfer)
		a.logger.Error("registry transfer failed", "error", err)
		return searchInterval
	}
	activated := a.activate(grant.ActivationSerial)
	if received || activated {
		return 0 // the primary waits until this gateway reports the new serial
	}
	return a.options.LeaseConfig.RenewalInterval
}

// observeGrant passes a grant to the holder of the lease. A draining gateway has released
// its lease and accepts no other one, but follows the registry until it ends. The caller
// holds the mutex.
func (a *Agent) observeGrant(now, sent time.Duration, grant *peer.Grant, duration time.Duration) error {
	if a.options.Gateway.Draining {
		return a.holder.Observe(grant.Term, grant.Cluster)
	}
	return a.holder.HandleGrant(now, sent, grant.Term, grant.Cluster, duration)
}

// publishExpiry stores the end of the lease for Valid and Remaining, which do not
// lock. The caller holds the mutex.
func (a *Agent) publishExpiry(now time.Duration) {
	if remaining := a.holder.Remaining(now); remaining > 0 {
		a.leaseExpiry.Store(int64(now + remaining))
	}
}

// ReleaseLease releases the lease for good: Valid reports false from then on. It then
// notifies the primary, if the primary can be reached, with a renewal that marks the
// gateway as draining. Run goes on following the registry, by which the requests that are
// still in flight are decided.
func (a *Agent) ReleaseLease(ctx context.Context) {
	a.mutex.Lock()
	a.holder.Release()
	a.leaseExpiry.Store(0)
	a.options.Gateway.Draining = true
	a.mutex.Unlock()
	address, request, _ := a.nextRenewal()
	if address == "" {
		return
	}
	callContext, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	var grant peer.Grant
	if err := a.options.Network.Call(callContext, address, peer.KindRenew, &request, &grant); err != nil {
		a.logger.Warn("the lease release was not acknowledged", "address", address, "error", err)
	}
}
