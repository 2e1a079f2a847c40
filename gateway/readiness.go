package gateway

import (
	"errors"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/routing"
)

// checkAccepting is why the gateway may not take anything new; nil if it may.
func (g *Gateway) checkAccepting() *api.Error {
	if g.draining.Load() {
		return newRetryableError(api.CodeNotReady, "the gateway is leaving")
	}
	return g.checkServing()
}

// checkServing is why the gateway may not place a request now; nil if it may.
func (g *Gateway) checkServing() *api.Error {
	if !g.agent.Valid() {
		return newRetryableError(api.CodeNoLease, "the gateway has no lease from the primary")
	}
	if g.agent.Active() == nil {
		return newRetryableError(api.CodeNotReady, "the gateway has no copy of the registry yet")
	}
	return nil
}

// Reasons to hold back the first byte to a replica.
var (
	errLeaseLost   = errors.New("the lease ran out before the request was sent")
	errPlanChanged = errors.New("the placement was decided by a copy that is no longer active")
)

// checkSend is asked immediately before the first byte goes to a replica, whose
// stamp names the version.
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
