package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"

	"github.com/deckpulley/deckpulley/internal/eventlog"
	"github.com/deckpulley/deckpulley/settings"
)

// StartNode starts a node that was killed.
func (f *Fleet) StartNode(node *Node) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.closed {
		return os.ErrProcessDone
	}
	if node.Running() {
		return fmt.Errorf("%s runs already", node.Name)
	}
	return f.startNode(node)
}

// KillNode ends a node at once.
func (f *Fleet) KillNode(node *Node) error { return node.process.Kill() }

// FreezeNode stops a node without its notice.
func (f *Fleet) FreezeNode(node *Node) error { return node.process.Freeze() }

// ThawNode lets a frozen node go on.
func (f *Fleet) ThawNode(node *Node) error { return node.process.Thaw() }

// StopNode asks a node to leave.
func (f *Fleet) StopNode(node *Node) error {
	_, err := node.process.Stop(stopPatience)
	return err
}

// WipeNode kills a control node and empties its data folder, as a disk does that
// comes back new.
func (f *Fleet) WipeNode(node *Node) error {
	if err := node.process.Kill(); err != nil {
		return err
	}
	entries, err := os.ReadDir(node.DataFolder)
	if err != nil {
		return fmt.Errorf("wiping %s: %w", node.Name, err)
	}
	for _, entry := range entries {
		if err := os.RemoveAll(filepath.Join(node.DataFolder, entry.Name())); err != nil {
			return fmt.Errorf("wiping %s: %w", node.Name, err)
		}
	}
	return nil
}

// ReplaceControl kills a control node for good and starts a new one in its zone,
// with a new name, address and disk.
func (f *Fleet) ReplaceControl(node *Node) (*Node, error) {
	if err := node.process.Kill(); err != nil {
		return nil, err
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	plan := RegionPlan{Name: node.Region, Zone: node.Zone}
	successor, err := f.newNode(node.Name+"-b", settings.RoleControl, plan)
	if err != nil {
		return nil, err
	}
	for i, other := range f.nodes {
		if other == node {
			f.nodes[i] = successor
		}
	}
	if err := f.writeSettings(successor); err != nil {
		return nil, err
	}
	f.noteControl(successor)
	return successor, f.startNode(successor)
}

// StartReplica starts a replica that was killed.
func (f *Fleet) StartReplica(replica *Replica, cold bool) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.closed {
		return os.ErrProcessDone
	}
	if replica.Running() {
		return fmt.Errorf("%s runs already", replica.ID)
	}
	replica.Cold = cold
	return f.startReplica(replica)
}

// KillReplica ends a replica at once.
func (f *Fleet) KillReplica(replica *Replica) error { return replica.process.Kill() }

// ReplicaFault is told to a replica; its fields are those of the stand-in.
type ReplicaFault struct {
	Kind        string  `json:"kind" yaml:"kind"`
	Count       int     `json:"count,omitempty" yaml:"count,omitempty"`
	Probability float64 `json:"probability,omitempty" yaml:"probability,omitempty"`
	AfterEvents int     `json:"after_events,omitempty" yaml:"after_events,omitempty"`
	DelayMS     int64   `json:"delay_ms,omitempty" yaml:"delay_ms,omitempty"`
}

// Paths by which the stand-ins are told how to behave.
const (
	pathFault = "/control/fault"
	pathDrain = "/control/drain"
)

// TellReplica makes a replica misbehave.
func (f *Fleet) TellReplica(ctx context.Context, replica *Replica, fault ReplicaFault) error {
	return post(ctx, replica.Address, pathFault, fault)
}

// DrainReplica makes the replica report that it drains, or no longer.
func (f *Fleet) DrainReplica(ctx context.Context, replica *Replica, draining bool) error {
	return post(ctx, replica.Address, pathDrain, map[string]bool{"draining": draining})
}

// ListDraining makes the platform list the replica as draining, or no longer,
// and returns once that was acknowledged.
func (f *Fleet) ListDraining(ctx context.Context, replica *Replica, draining bool) error {
	order := struct {
		Replica  string `json:"replica"`
		Draining bool   `json:"draining"`
	}{replica.ID, draining}
	return post(ctx, f.platformAddress, pathDrain, order)
}

var controlClient = &http.Client{}

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
	response, err := controlClient.Do(request)
	if err != nil {
		return fmt.Errorf("telling %s: %w", address, err)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("telling %s%s: status %d", address, path, response.StatusCode)
	}
	return nil
}

// NoteFault logs a fault of a target.
func (f *Fleet) NoteFault(detail, class, target, region string) {
	f.Log.Write(eventlog.Event{Kind: eventlog.FaultInjected, Detail: detail, Class: class, Target: target, Region: region})
}
