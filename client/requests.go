package client

import (
	"context"
	"net/http"

	"github.com/deckpulley/deckpulley/api"
)

// Where asks any gateway where a request should go. It may be called again for
// the same request.
func (c *Client) Where(ctx context.Context, request api.WhereRequest) (*api.WhereAnswer, error) {
	where, err := newCall(http.MethodPost, api.PathWhere, "request", request)
	if err != nil {
		return nil, err
	}
	return do[api.WhereAnswer](ctx, c, where)
}

// Generate sends a request to the gateway that Where named and waits for the
// complete answer. If the connection breaks and the request carries a ticket or
// is idempotent, it is resent to the alternates in turn; the gateway that owns
// the ticket joins a resent request to the run in progress.
func (c *Client) Generate(ctx context.Context, request api.GenerateRequest, gateway string, alternates ...string) (*api.GenerateAnswer, error) {
	request.Stream = false
	generate, err := newCall(http.MethodPost, api.PathRequests, "request", request)
	if err != nil {
		return nil, err
	}
	var answer api.GenerateAnswer
	var failure *attemptError
	mayHaveRun := false // by an earlier attempt
	for _, address := range append([]string{gateway}, alternates...) {
		failure = c.sendOnce(ctx, address, generate, &answer)
		if failure == nil {
			return &answer, nil
		}
		resendable := request.Ticket != "" || request.Repeatable || !failure.sent
		if !failure.retryable || !resendable || ctx.Err() != nil {
			break
		}
		mayHaveRun = mayHaveRun || failure.sent
	}
	// The owner of the ticket knows of every attempt, so that its error is final.
	final := failure.typed && request.Ticket != ""
	return nil, combineOutcome(*failure, mayHaveRun && !final)
}
