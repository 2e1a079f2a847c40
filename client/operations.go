package client

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"github.com/deckpulley/deckpulley/api"
)

// Apply replaces the configuration and waits until the new one is in force. It
// sets an empty operation ID to a new one, and every resend carries the same ID.
// After an error with outcome unknown, call Apply again with the same operation.
func (c *Client) Apply(ctx context.Context, operation *api.ConfigurationOperation) (*api.OperationResult, error) {
	ensureOperationID(&operation.OperationID)
	return c.submit(ctx, http.MethodPut, api.PathConfiguration, operation)
}

// Patch changes named items of the configuration and waits until the change is
// in force. It handles operation IDs as Apply does.
func (c *Client) Patch(ctx context.Context, operation *api.ConfigurationPatchOperation) (*api.OperationResult, error) {
	ensureOperationID(&operation.OperationID)
	return c.submit(ctx, http.MethodPatch, api.PathConfiguration, operation)
}

// Evacuate evacuates a zone, or withdraws an evacuation, and waits until the change
// is in force. It handles operation IDs as Apply does.
func (c *Client) Evacuate(ctx context.Context, operation *api.EvacuationOperation) (*api.OperationResult, error) {
	ensureOperationID(&operation.OperationID)
	return c.submit(ctx, http.MethodPost, api.PathEvacuations, operation)
}

// ReplaceReplicas replaces the platform's list of replicas.
func (c *Client) ReplaceReplicas(ctx context.Context, list api.ReplicaList) (*api.OperationResult, error) {
	return c.submit(ctx, http.MethodPut, api.PathReplicas, list)
}

func ensureOperationID(id *string) {
	if *id == "" {
		*id = NewOperationID()
	}
}

func (c *Client) submit(ctx context.Context, method, path string, operation any) (*api.OperationResult, error) {
	request, err := newCall(method, path, "operation", operation)
	if err != nil {
		return nil, err
	}
	request.awaitsCompletion = true
	return do[api.OperationResult](ctx, c, request)
}

// Configuration reads the configuration. A linearizable read reflects every
// operation that was acknowledged before it.
func (c *Client) Configuration(ctx context.Context, linearizable bool) (*api.ConfigurationAnswer, error) {
	query := url.Values{}
	if linearizable {
		query.Set("linearizable", "true")
	}
	return get[api.ConfigurationAnswer](ctx, c, api.PathConfiguration, query)
}

// Zones lists the zones and whether they are evacuated.
func (c *Client) Zones(ctx context.Context) (*api.ZonesAnswer, error) {
	return get[api.ZonesAnswer](ctx, c, api.PathZones, nil)
}

// Status describes the control plane as the responding node sees it.
func (c *Client) Status(ctx context.Context) (*api.StatusAnswer, error) {
	return get[api.StatusAnswer](ctx, c, api.PathStatus, nil)
}

// Members lists deckpulley's own nodes.
func (c *Client) Members(ctx context.Context) (*api.MembersAnswer, error) {
	return get[api.MembersAnswer](ctx, c, api.PathMembers, nil)
}

// Replicas lists the replicas with their entries in the registry.
func (c *Client) Replicas(ctx context.Context) (*api.ReplicasAnswer, error) {
	return get[api.ReplicasAnswer](ctx, c, api.PathReplicas, nil)
}

// HTTPReplicas lists the replicas of services that are routed by host and path,
// as the responding gateway sees them.
func (c *Client) HTTPReplicas(ctx context.Context) (*api.HTTPReplicasAnswer, error) {
	return get[api.HTTPReplicasAnswer](ctx, c, api.PathHTTPReplicas, nil)
}

// Operations lists the newest retained operation results, at most limit of them. Zero
// selects the server's own limit.
func (c *Client) Operations(ctx context.Context, limit int) (*api.OperationsAnswer, error) {
	query := url.Values{}
	if limit > 0 {
		query.Set("limit", strconv.Itoa(limit))
	}
	return get[api.OperationsAnswer](ctx, c, api.PathOperations, query)
}

// Explain asks a gateway, on its operator port, where a request would be sent and
// why. The request is not run.
func (c *Client) Explain(ctx context.Context, request *api.GenerateRequest) (*api.ExplainAnswer, error) {
	explain, err := newCall(http.MethodPost, api.PathExplain, "request", request)
	if err != nil {
		return nil, err
	}
	return do[api.ExplainAnswer](ctx, c, explain)
}

func get[T any](ctx context.Context, c *Client, path string, query url.Values) (*T, error) {
	return do[T](ctx, c, call{method: http.MethodGet, path: path, query: query})
}
