package client

import (
	"context"
	"net/http"

	"github.com/deckpulley/deckpulley/api"
)

// Where asks any gateway where to send a request. It is safe to call it again for the
// same request.
func (c *Client) Where(ctx context.Context, request api.WhereRequest) (*api.WhereAnswer, error) {
	where, err := newCall(http.MethodPost, api.PathWhere, "request", request)
	if err != nil {
		return nil, err
	}
	return do[api.WhereAnswer](ctx, c, where)
}

// Generate sends a request to the gateway that Where returned and waits for the
// complete answer. If the connection breaks and the request carries a ticket or
// is idempotent, Generate resends it to the alternates in turn. The gateway that owns
// the ticket attaches a resent request to the run in progress.
func (c *Client) Generate(ctx context.Context, request api.GenerateRequest, gateway string, alternates ...string) (*api.GenerateAnswer, error) {
	request.Stream = false
	generate, err := newCall(http.MethodPost, api.PathRequests, "request", request)
	if err != nil {
		return nil, err
	}
	var answer api.GenerateAnswer
	var failure *attemptError
	mayHaveRun := false // in an earlier attempt
	for _, address := range append([]string{gateway}, alternates...) {
		failure = c.sendOnce(ctx, address, generate, &answer)
		if failure == nil {
			return &answer, nil
		}
		resendable := request.Ticket != "" || request.Repeatable || !failure.mayHaveRun
		if !failure.retryable || !resendable || ctx.Err() != nil {
			break
		}
		mayHaveRun = mayHaveRun || failure.mayHaveRun
	}
	// The owner of the ticket has seen every attempt that may have run, so the outcome
	// in its error covers all of them.
	final := failure.reported && request.Ticket != ""
	return nil, combineOutcome(*failure, mayHaveRun && !final)
}
