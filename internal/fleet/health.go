package fleet

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/internal/fleet/wait"
)

// healthTimeout bounds one health check.
const healthTimeout = time.Second

var healthClient = &http.Client{Timeout: healthTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// errNotRunning means that a process that should be running has ended.
var errNotRunning = errors.New("no longer running")

// checkHealth requests a path and returns an error unless the status is 200.
func checkHealth(ctx context.Context, address, path string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	response, err := healthClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s%s: status %d", address, path, response.StatusCode)
	}
	return nil
}

// WaitReplicas waits until every replica serves its report.
func (f *Fleet) WaitReplicas(ctx context.Context) error {
	for _, replica := range f.Replicas() {
		err := wait.Poll(ctx, pollInterval, func() error { return checkHealth(ctx, replica.Address, api.PathReplicaReport) })
		if err != nil {
			return fmt.Errorf("replica %s is not up: %w: %w\n%s", replica.ID, ctx.Err(), err, f.logTail(replica.ID))
		}
	}
	return nil
}

// WaitLive waits until every node is live.
func (f *Fleet) WaitLive(ctx context.Context) error { return f.waitNodes(ctx, api.PathLive) }

// WaitReady waits until every node is ready.
func (f *Fleet) WaitReady(ctx context.Context) error { return f.waitNodes(ctx, api.PathReady) }

func (f *Fleet) waitNodes(ctx context.Context, path string) error {
	for _, node := range f.Nodes() {
		if err := f.waitNode(ctx, node, path); err != nil {
			return err
		}
	}
	return nil
}

// waitNode polls a path of a node until it succeeds. It fails as soon as the node's process
// has ended.
func (f *Fleet) waitNode(ctx context.Context, node *Node, path string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	err := wait.Poll(ctx, pollInterval, func() error {
		if !node.Running() {
			cancel()
			return fmt.Errorf("process ended: %w", errors.Join(errNotRunning, node.process.ExitError()))
		}
		return checkHealth(ctx, node.HealthAddress(), path)
	})
	if err != nil {
		return fmt.Errorf("%s (%s): %w: %w\n%s", node.Name, path, ctx.Err(), err, f.logTail(node.Name))
	}
	return nil
}

// WaitNodeReady waits until one node is ready.
func (f *Fleet) WaitNodeReady(ctx context.Context, node *Node) error {
	return f.waitNode(ctx, node, api.PathReady)
}

// CheckReady returns an error if any running node is not ready.
func (f *Fleet) CheckReady(ctx context.Context) error {
	for _, node := range f.Nodes() {
		if !node.Running() {
			continue
		}
		if err := checkHealth(ctx, node.HealthAddress(), api.PathReady); err != nil {
			return fmt.Errorf("%s: %w", node.Name, err)
		}
	}
	return nil
}

// pollInterval is the time between two health checks while waiting.
const pollInterval = 50 * time.Millisecond
