package agent

import (
	"context"
	"time"

	"github.com/deckpulley/deckpulley/internal/planted"
	"github.com/deckpulley/deckpulley/peer"
)

// Times and limits of the renewal loop.
const (
	// searchInterval is the time between two renewals while no primary is known.
	searchInterval = 50 * time.Millisecond
	// maxRedirects bounds how many redirects in a row are followed without a wait.
	maxRedirects = 4
	// fullTransferTimeout bounds a renewal that transfers a full table. The timeout
	// starts at searchTimeout and doubles for each node separately, so that one that
	// does not respond is soon left for another. A node without power is left sooner,
	// since dialing it fails. searchTimeout allows for the four round trips of a first
	// renewal at a round-trip time of 100 ms.
	fullTransferTimeout = 3 * time.Second
	searchTimeout       = 450 * time.Millisecond
	// releaseTimeout bounds the message that releases the lease.
	releaseTimeout = time.Second
	// renewalTimeoutDivisor divides the lease duration into the timeout of a renewal.
	renewalTimeoutDivisor = 3
	// maxDoublings bounds the doubling of searchTimeout.
	maxDoublings = 4
)

// Run renews the lease until the context ends.
func (a *Agent) Run(ctx context.Context) {
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

func (a *Agent) sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-a.wake:
	case <-timer.C:
	}
}

// renew sends a renewal to one node. It returns the time to wait before the next
// one, or that there is a redirect to follow at once.
func (a *Agent) renew(ctx context.Context) (wait time.Duration, redirected bool) {
	// The clock is read before the request is made: neither the lease that the request
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
	if err != nil {
		a.handleFailure(now, address, &request, err)
		return searchInterval, false
	}
	if grant.Term < a.holder.Term() {
		grant.Primary, grant.ControlAddresses = "", nil // a node that lags names a former primary
	}
	delete(a.consecutiveFailures, address)
	a.control.setMembers(grant.ControlAddresses)
	redirected = a.control.recordReply(now, address, grant.Granted, grant.Primary)
	if !grant.Granted {
		a.rejectedRenewals.Add(1)
		if err := a.handleRedirect(&grant); err != nil {
			a.logger.Debug("redirect ignored", "address", address, "error", err)
		}
		return searchInterval, redirected
	}
	return a.handleGrant(sent, &grant), false
}

// handleFailure records that a node did not respond to a renewal.
func (a *Agent) handleFailure(now time.Duration, address string, request *peer.Renew, err error) {
	if planted.Active(planted.GiveUpLease) && a.grantedRenewals.Load() > 0 {
		a.holder.Release()
	}
	a.rejectedRenewals.Add(1)
	a.consecutiveFailures[address]++
	a.control.recordFailure(address, now+a.suspicionTime(request))
	a.logger.Debug("renewal failed", "address", address, "error", err)
}

// handleRedirect handles the response of a node that names another one as the
// primary. It observes the term, so that the first renewal at the primary already
// confirms that grants of earlier terms are ignored, which the primary waits for. It
// applies a full transfer, whose serial stays pending until the primary releases it.
func (a *Agent) handleRedirect(grant *peer.Grant) error {
	if grant.Primary == "" || grant.Cluster == "" {
		return nil
	}
	if err := a.holder.Observe(grant.Term, grant.Cluster); err != nil {
		return err
	}
	if a.newest != nil {
		return nil // the primary's incremental transfers continue from it
	}
	_, err := a.applyGrantTransfer(grant)
	return err
}

// setRenewalInProgress records the node that is being called, so that a notification
// of another primary can cancel the call.
func (a *Agent) setRenewalInProgress(address string, cancel context.CancelFunc) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.renewalAddress = address
	a.cancelRenewal = cancel
}

// nextRenewal returns the address, the request and the timeout of the next renewal.
// The address is empty if no control node is known.
func (a *Agent) nextRenewal() (string, peer.Renew, time.Duration) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	request := peer.Renew{
		Cluster:        a.holder.Cluster(),
		Gateway:        a.options.Gateway,
		Term:           a.holder.Term(),
		ReceivedSerial: a.receivedSerialLocked(),
		LeaseValid:     a.Valid(),
	}
	if active := a.active.Load(); active != nil {
		request.ActiveSerial = active.Serial()
		request.ActiveVersion = active.Version()
	}
	address := a.control.next()
	timeout := a.options.LeaseConfig.Duration / renewalTimeoutDivisor
	if request.ReceivedSerial == 0 {
		timeout = min(fullTransferTimeout, searchTimeout<<min(a.consecutiveFailures[address], maxDoublings))
	}
	return address, request, timeout
}

// suspicionTime returns how long redirects to a node that did not respond are
// ignored. It is short while nothing has been received: after a loss of all power the
// nodes come back one after the other, and the first primary may be one that was
// called too early.
func (a *Agent) suspicionTime(request *peer.Renew) time.Duration {
	if request.ReceivedSerial == 0 {
		return searchTimeout / 2
	}
	return a.options.LeaseConfig.Duration / renewalTimeoutDivisor
}

// handleGrant applies a grant and returns the time to wait before the next renewal.
func (a *Agent) handleGrant(sent time.Duration, grant *peer.Grant) time.Duration {
	duration := time.Duration(grant.LeaseMS) * time.Millisecond
	now := a.options.Clock()
	if err := a.holder.HandleGrant(now, sent, grant.Term, grant.Cluster, duration); err != nil {
		a.rejectedRenewals.Add(1)
		a.logger.Warn("lease grant rejected", "term", grant.Term, "error", err)
		a.control.primary = ""
		return searchInterval
	}
	a.grantedRenewals.Add(1)
	if duration > 0 {
		a.leaseTerm = grant.Term
		a.publishExpiry(now)
	}
	received, err := a.applyGrantTransfer(grant)
	if err != nil {
		a.logger.Error("registry copy discarded", "error", err)
		return searchInterval
	}
	activated := a.activate(grant.ActivationSerial)
	if received || activated {
		return 0 // the primary waits for the report of it
	}
	return a.options.LeaseConfig.RenewalInterval
}

// publishExpiry publishes the end of the lease to Valid. The caller holds the mutex.
func (a *Agent) publishExpiry(now time.Duration) {
	if remaining := a.holder.Remaining(now); remaining > 0 {
		a.leaseExpiry.Store(int64(now + remaining))
	}
}

// ReleaseLease releases the lease: from the call on the gateway may not act. It
// notifies the primary if that can be reached.
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
		a.logger.Warn("lease release not acknowledged", "address", address, "error", err)
	}
}
