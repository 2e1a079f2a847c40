package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/deckpulley/deckpulley/internal/eventlog"
)

// ReplicaFault describes a fault of a replica. Its fields are those of the replica
// stand-in's own interface.
type ReplicaFault struct {
	Kind string `json:"kind" yaml:"kind"`
	// Count is the number of requests that are affected.
	Count int `json:"count,omitempty" yaml:"count,omitempty"`
	// Probability of each request to be affected, 0 to 1.
	Probability float64 `json:"probability,omitempty" yaml:"probability,omitempty"`
	// AfterEvents is the number of stream events before the fault.
	AfterEvents int   `json:"after_events,omitempty" yaml:"after_events,omitempty"`
	DelayMS     int64 `json:"delay_ms,omitempty" yaml:"delay_ms,omitempty"`
}

// Paths of the stand-ins' interface for faults.
const (
	pathFault = "/control/fault"
	pathDrain = "/control/drain"
)

// InjectReplicaFault makes a replica misbehave.
func (f *Fleet) InjectReplicaFault(ctx context.Context, replica *Replica, fault ReplicaFault) error {
	return post(ctx, replica.Address, pathFault, fault)
}

// SetReplicaDraining makes the replica report that it is draining, or not.
func (f *Fleet) SetReplicaDraining(ctx context.Context, replica *Replica, draining bool) error {
	return post(ctx, replica.Address, pathDrain, map[string]bool{"draining": draining})
}

// SetListedDraining makes the platform list the replica as draining, or not, and
// returns once the control nodes have acknowledged it.
func (f *Fleet) SetListedDraining(ctx context.Context, replica *Replica, draining bool) error {
	listing := struct {
		Replica  string `json:"replica"`
		Draining bool   `json:"draining"`
	}{replica.ID, draining}
	return post(ctx, f.platformAddress, pathDrain, listing)
}

var faultClient = &http.Client{}

// post sends a body as JSON and expects a status below 400.
func post(ctx context.Context, address, path string, body any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("telling %s: %w", address, err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(text))
	if err != nil {
		return fmt.Errorf("telling %s: %w", address, err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := faultClient.Do(request)
	if err != nil {
		return fmt.Errorf("telling %s: %w", address, err)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("telling %s%s: status %d", address, path, response.StatusCode)
	}
	return nil
}

// LogFault writes a fault of a target, or its end, to the event log.
func (f *Fleet) LogFault(detail, class, target, region string) {
	f.Log.Write(eventlog.Event{Kind: eventlog.FaultInjected, Detail: detail, Class: class, Target: target, Region: region})
}
