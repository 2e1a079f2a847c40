package gateway

import (
	"errors"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/routing"
)

// checkAccepting returns why the gateway refuses new requests, or nil if it accepts
// them.
func (g *Gateway) checkAccepting() *api.Error {
	if g.draining.Load() {
		return newRetryableError(api.CodeNotReady, "the gateway is leaving")
	}
	return g.checkServing()
}

// checkServing returns why the gateway can't place requests now, or nil if it can. A
// draining gateway still serves the requests that it accepted.
func (g *Gateway) checkServing() *api.Error {
	if !g.agent.Valid() {
		return newRetryableError(api.CodeNoLease, "the gateway has no lease from the primary")
	}
	if g.agent.Active() == nil {
		return newRetryableError(api.CodeNotReady, "the gateway has no copy of the registry yet")
	}
	return nil
}

// Reasons to stop a request before its first byte is sent to a replica.
var (
	errLeaseLost   = errors.New("the lease ran out before the request was sent")
	errPlanChanged = errors.New("the placement was decided by a copy that is no longer active")
)

// checkSend returns an error if a request must not be sent to the replica of its
// reservation. It is called immediately before the first byte is written: the lease
// or the configuration may have changed since the placement. The version is the one
// in the stamp of the request.
func (g *Gateway) checkSend(reservation *routing.Reservation, version uint64) error {
	if !reservation.Usable(time.Now()) || reservation.Version != version {
		return errPlanChanged
	}
	active := g.agent.Active()
	if active == nil || active.Version() != version {
		return errPlanChanged
	}
	if !g.agent.Valid() {
		return errLeaseLost
	}
	return nil
}

// degradedReasons lists, for operators, why the gateway refuses requests or issues no
// tickets.
func (g *Gateway) degradedReasons() []string {
	var reasons []string
	if g.draining.Load() {
		reasons = append(reasons, "the gateway is leaving")
	}
	if !g.agent.Valid() {
		reasons = append(reasons, "no lease from the primary, requests are refused: see that there is a primary and that this machine reaches it")
	}
	if g.agent.Active() == nil {
		reasons = append(reasons, "no copy of the registry yet: see that this machine reaches a control node")
	} else if !g.canOwnTickets() {
		reasons = append(reasons, "the zone is evacuated: no tickets are issued here")
	}
	return reasons
}
