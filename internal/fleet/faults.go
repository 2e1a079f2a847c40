package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/deckpulley/deckpulley/internal/eventlog"
)

// ReplicaFault describes a fault to inject into a replica. Its fields match those of the
// replica stand-in's fault endpoint.
type ReplicaFault struct {
	Kind string `json:"kind" yaml:"kind"`
	// Count is the number of affected requests.
	Count int `json:"count,omitempty" yaml:"count,omitempty"`
	// Probability is the probability, 0 to 1, that a request is affected.
	Probability float64 `json:"probability,omitempty" yaml:"probability,omitempty"`
	// AfterEvents is the number of stream events sent before the fault occurs.
	AfterEvents int   `json:"after_events,omitempty" yaml:"after_events,omitempty"`
	DelayMS     int64 `json:"delay_ms,omitempty" yaml:"delay_ms,omitempty"`
}

// Paths of the stand-ins' fault endpoints.
const (
	pathFault = "/control/fault"
	pathDrain = "/control/drain"
)

// InjectReplicaFault activates a fault in a replica.
func (f *Fleet) InjectReplicaFault(ctx context.Context, replica *Replica, fault ReplicaFault) error {
	return post(ctx, replica.Address, pathFault, fault)
}

// SetReplicaDraining sets whether the replica itself reports that it is draining.
func (f *Fleet) SetReplicaDraining(ctx context.Context, replica *Replica, draining bool) error {
	return post(ctx, replica.Address, pathDrain, map[string]bool{"draining": draining})
}

// SetListedDraining sets whether the platform lists the replica as draining. It returns
// once the control nodes have acknowledged the change.
func (f *Fleet) SetListedDraining(ctx context.Context, replica *Replica, draining bool) error {
	listing := struct {
		Replica  string `json:"replica"`
		Draining bool   `json:"draining"`
	}{replica.ID, draining}
	return post(ctx, f.platformAddress, pathDrain, listing)
}

var faultClient = &http.Client{}

// post sends a body as JSON. It fails if the response status is 400 or higher.
func post(ctx context.Context, address, path string, body any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("sending a fault request to %s: %w", address, err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(text))
	if err != nil {
		return fmt.Errorf("sending a fault request to %s: %w", address, err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := faultClient.Do(request)
	if err != nil {
		return fmt.Errorf("sending a fault request to %s: %w", address, err)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("sending a fault request to %s%s: status %d", address, path, response.StatusCode)
	}
	return nil
}

// LogFault records the start or the end of a fault of a target in the event log.
func (f *Fleet) LogFault(detail, class, target, region string) {
	f.Log.Write(eventlog.Event{Kind: eventlog.FaultInjected, Detail: detail, Class: class, Target: target, Region: region})
}
