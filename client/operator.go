package client

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"github.com/deckpulley/deckpulley/api"
)

// Apply hands over a whole configuration and waits until it is in force. An
// empty order id is filled in with a new one, and every resend carries the same.
// After an error with outcome unknown, call again with the same order.
func (c *Client) Apply(ctx context.Context, order *api.ConfigurationOperation) (*api.OperationResult, error) {
	fillOrderID(&order.OperationID)
	return c.order(ctx, http.MethodPut, api.PathConfiguration, order)
}

// Patch changes named items of the configuration and waits until that is in
// force. Order ids are kept as in Apply.
func (c *Client) Patch(ctx context.Context, order *api.ConfigurationPatchOperation) (*api.OperationResult, error) {
	fillOrderID(&order.OperationID)
	return c.order(ctx, http.MethodPatch, api.PathConfiguration, order)
}

// Evacuate empties a zone, or withdraws that, and waits until it is in force.
// Order ids are kept as in Apply.
func (c *Client) Evacuate(ctx context.Context, order *api.EvacuationOperation) (*api.OperationResult, error) {
	fillOrderID(&order.OperationID)
	return c.order(ctx, http.MethodPost, api.PathEvacuations, order)
}

// ReplaceReplicas hands over the platform's whole list of replicas.
func (c *Client) ReplaceReplicas(ctx context.Context, list api.ReplicaList) (*api.OperationResult, error) {
	return c.order(ctx, http.MethodPut, api.PathReplicas, list)
}

func fillOrderID(id *string) {
	if *id == "" {
		*id = NewOperationID()
	}
}

func (c *Client) order(ctx context.Context, method, path string, order any) (*api.OperationResult, error) {
	body, err := json.Marshal(order)
	if err != nil {
		return nil, &api.Error{Code: api.CodeInvalid, Outcome: api.OutcomeRefused, Message: fmt.Sprintf("encoding the order: %v", err)}
	}
	var answer api.OperationResult
	if err := c.do(ctx, call{method: method, path: path, body: body, waits: true}, &answer); err != nil {
		return nil, err
	}
	return &answer, nil
}

// Configuration reads the configuration back. linearizable asks for one that no
// earlier acknowledged order is missing from.
func (c *Client) Configuration(ctx context.Context, linearizable bool) (*api.ConfigurationAnswer, error) {
	query := url.Values{}
	if linearizable {
		query.Set("linearizable", "true")
	}
	return read[api.ConfigurationAnswer](ctx, c, api.PathConfiguration, query)
}

// Zones lists the zones and whether they are evacuated.
func (c *Client) Zones(ctx context.Context) (*api.ZonesAnswer, error) {
	return read[api.ZonesAnswer](ctx, c, api.PathZones, nil)
}

// Status describes the control plane as the answering node sees it.
func (c *Client) Status(ctx context.Context) (*api.StatusAnswer, error) {
	return read[api.StatusAnswer](ctx, c, api.PathStatus, nil)
}

// Members lists the fleet's own nodes.
func (c *Client) Members(ctx context.Context) (*api.MembersAnswer, error) {
	return read[api.MembersAnswer](ctx, c, api.PathMembers, nil)
}

// Replicas lists the replicas with what the registry holds of them.
func (c *Client) Replicas(ctx context.Context) (*api.ReplicasAnswer, error) {
	return read[api.ReplicasAnswer](ctx, c, api.PathReplicas, nil)
}

// HTTPReplicas lists the replicas of services that are reached by host and path, as
// the gateway asked holds them.
func (c *Client) HTTPReplicas(ctx context.Context) (*api.HTTPReplicasAnswer, error) {
	return read[api.HTTPReplicasAnswer](ctx, c, api.PathHTTPReplicas, nil)
}

// Operations lists the newest kept answers to orders, limit of them at the most; 0 is
// the server's own limit.
func (c *Client) Operations(ctx context.Context, limit int) (*api.OperationsAnswer, error) {
	query := url.Values{}
	if limit > 0 {
		query.Set("limit", strconv.Itoa(limit))
	}
	return read[api.OperationsAnswer](ctx, c, api.PathOperations, query)
}

// Explain asks a gateway's operators' port where a request would go and why.
// The request itself is not run.
func (c *Client) Explain(ctx context.Context, request *api.GenerateRequest) (*api.ExplainAnswer, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, &api.Error{Code: api.CodeInvalid, Outcome: api.OutcomeRefused, Message: fmt.Sprintf("encoding the request: %v", err)}
	}
	var answer api.ExplainAnswer
	if err := c.do(ctx, call{method: http.MethodPost, path: api.PathExplain, body: body}, &answer); err != nil {
		return nil, err
	}
	return &answer, nil
}

func read[T any](ctx context.Context, c *Client, path string, query url.Values) (*T, error) {
	var answer T
	if err := c.do(ctx, call{method: http.MethodGet, path: path, query: query}, &answer); err != nil {
		return nil, err
	}
	return &answer, nil
}
