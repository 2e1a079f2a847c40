package fleet

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/deckpulley/deckpulley/api"
)

// healthTimeout bounds one look at a process.
const healthTimeout = time.Second

var healthClient = &http.Client{Timeout: healthTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// errEnded means that a process is gone that should run.
var errEnded = errors.New("it runs no longer")

// get expects status 200.
func get(ctx context.Context, address, path string) error {
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

// WaitReplicas waits until every replica that runs answers its report.
func (f *Fleet) WaitReplicas(ctx context.Context) error {
	for _, replica := range f.Replicas() {
		err := waitFor(ctx, func() error { return get(ctx, replica.Address, api.PathReplicaReport) })
		if err != nil {
			return fmt.Errorf("replica %s is not up: %w\n%s", replica.ID, err, f.tail(replica.ID))
		}
	}
	return nil
}

// WaitLive waits until every node answers.
func (f *Fleet) WaitLive(ctx context.Context) error { return f.waitNodes(ctx, api.PathLive) }

// WaitReady waits until every node may do its work.
func (f *Fleet) WaitReady(ctx context.Context) error { return f.waitNodes(ctx, api.PathReady) }

func (f *Fleet) waitNodes(ctx context.Context, path string) error {
	for _, node := range append(f.Controls(), f.Gateways()...) {
		if err := f.waitNode(ctx, node, path); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) waitNode(ctx context.Context, node *Node, path string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	err := waitFor(ctx, func() error {
		if !node.Running() {
			cancel()
			return fmt.Errorf("process ended: %w", errors.Join(errEnded, node.process.ExitError()))
		}
		return get(ctx, node.HealthAddress(), path)
	})
	if err != nil {
		return fmt.Errorf("%s (%s): %w\n%s", node.Name, path, err, f.tail(node.Name))
	}
	return nil
}

// WaitNodeReady waits until one node may do its work.
func (f *Fleet) WaitNodeReady(ctx context.Context, node *Node) error {
	return f.waitNode(ctx, node, api.PathReady)
}

// CheckReady looks once whether every running node may do its work.
func (f *Fleet) CheckReady(ctx context.Context) error {
	for _, node := range append(f.Controls(), f.Gateways()...) {
		if !node.Running() {
			continue
		}
		if err := get(ctx, node.HealthAddress(), api.PathReady); err != nil {
			return fmt.Errorf("%s: %w", node.Name, err)
		}
	}
	return nil
}
