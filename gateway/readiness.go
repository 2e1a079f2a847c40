package gateway

import (
	"errors"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/routing"
)

// checkAccepting returns the error for new requests, or nil if the gateway accepts them.
func (g *Gateway) checkAccepting() *api.Error {
	if g.draining.Load() {
		return newRetryableError(api.CodeNotReady, "the gateway is draining")
	}
	return g.checkServing()
}

// checkServing returns the error for all requests, new or already accepted, if the
// gateway can't place any now; nil if it can. A draining gateway still serves the
// requests that it has accepted.
func (g *Gateway) checkServing() *api.Error {
	if !g.agent.Valid() {
		return newRetryableError(api.CodeNoLease, "the gateway has no lease from the primary")
	}
	if g.agent.Active() == nil {
		return newRetryableError(api.CodeNotReady, "the gateway has no copy of the registry yet")
	}
	return nil
}

// Reasons why checkBeforeSend stops an attempt.
var (
	errLeaseLost   = errors.New("the lease expired before the request was sent")
	errPlanChanged = errors.New("the placement is outdated: the registry, the configuration or the state of the replica has changed")
)

// checkBeforeSend returns an error if a request must no longer be sent to the replica of
// its reservation. The sendGuard calls it immediately before the first byte is written,
// since dialing takes time in which the lease may expire or the placement may become
// outdated. version is the configuration version in the stamp of the request, which is
// already encoded.
//
// If the registry serial has changed since the reservation was made, Reservation.Usable
// evaluates the placement again and updates the reservation's version. The request may
// then be sent only if the configuration version is still the one in the stamp.
func (g *Gateway) checkBeforeSend(reservation *routing.Reservation, version uint64) error {
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

// degradedReasons returns, for the status that operators read, why the gateway refuses
// requests or issues no tickets.
func (g *Gateway) degradedReasons() []string {
	var reasons []string
	if g.draining.Load() {
		reasons = append(reasons, "the gateway is draining")
	}
	if !g.agent.Valid() {
		reasons = append(reasons, "no lease from the primary, so requests are refused: check that there is a primary and that this machine can reach it")
	}
	if g.agent.Active() == nil {
		reasons = append(reasons, "no copy of the registry yet: check that this machine can reach a control node")
	} else if !g.canOwnTickets() {
		reasons = append(reasons, "the zone is evacuated: this gateway issues no tickets")
	}
	return reasons
}
