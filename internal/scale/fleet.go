package scale

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/client"
	"github.com/deckpulley/deckpulley/internal/freeport"
)

const (
	controlCount = 3
	keyBytes     = 32
	readyTimeout = 60 * time.Second
	pollInterval = 20 * time.Millisecond
)

// group is a control plane of three control processes, with a configuration and a list
// of replicas.
type group struct {
	folder    string
	key       []byte
	peers     []string   // peer addresses
	operators []string   // operator addresses
	processes []*process // nil once killed
	client    *client.Client
	version   uint64 // configuration version in force
	step      int    // step of the last configuration sent; see configurationText
}

// startGroup starts the control processes and applies a configuration and a list of
// replicas. The caller must stop the group with stop.
func startGroup(ctx context.Context, replicas api.ReplicaList) (*group, error) {
	folder, err := os.MkdirTemp("", "deckpulley-scale-")
	if err != nil {
		return nil, err
	}
	g := &group{folder: folder, key: make([]byte, keyBytes)}
	rand.Read(g.key) // never fails; see package crypto/rand
	if err := g.start(ctx, replicas); err != nil {
		g.stop()
		return nil, err
	}
	return g, nil
}

func (g *group) start(ctx context.Context, replicas api.ReplicaList) error {
	addresses, err := freeport.Addresses(host, 2*controlCount)
	if err != nil {
		return err
	}
	g.peers, g.operators = addresses[:controlCount], addresses[controlCount:]
	initial := make(map[string]string)
	for i, address := range g.peers {
		initial[controlName(i)] = address
	}
	for i := range g.peers {
		data := filepath.Join(g.folder, controlName(i))
		if err := os.Mkdir(data, 0o700); err != nil {
			return err
		}
		started, err := startProcess(ctx, childConfig{
			Role: roleControl, Name: controlName(i), Zone: zoneName(i), Region: regionName(i),
			Peer: g.peers[i], HTTP: g.operators[i], Folder: data, Initial: initial, Seeds: g.peers, Key: g.key,
		})
		if err != nil {
			return err
		}
		g.processes = append(g.processes, started)
	}
	if g.client, err = client.New(client.Config{Addresses: g.operators}); err != nil {
		return err
	}
	if _, err := g.change(ctx); err != nil {
		return fmt.Errorf("first configuration: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if _, err := g.client.ReplaceReplicas(ctx, replicas); err != nil {
		return fmt.Errorf("replicas: %w", err)
	}
	return nil
}

func controlName(index int) string { return fmt.Sprintf("control-%d", index+1) }

// change applies the next configuration and returns the time until it was
// acknowledged, which means that it is in force at every gateway.
func (g *group) change(ctx context.Context) (time.Duration, error) {
	g.step++
	text, err := configurationText(g.step)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	sent := time.Now()
	answer, err := g.client.Apply(ctx, &api.ConfigurationOperation{BaseVersion: g.version, Author: "scale", Document: text})
	if err != nil {
		return 0, err
	}
	g.version = answer.Version
	return time.Since(sent), nil
}

// primary waits until a running process is the primary and returns its index.
func (g *group) primary(ctx context.Context) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for ctx.Err() == nil {
		status, err := g.client.Status(ctx)
		if err != nil {
			return 0, err
		}
		for i := range g.peers {
			if status.Primary == controlName(i) && g.processes[i] != nil {
				return i, nil
			}
		}
		time.Sleep(pollInterval)
	}
	return 0, errors.New("no primary before the timeout")
}

// killPrimary kills the primary without a shutdown, as if its machine had failed, and
// returns the time until the next configuration was acknowledged.
func (g *group) killPrimary(ctx context.Context, index int) (time.Duration, error) {
	killed := time.Now()
	g.processes[index].kill()
	g.processes[index] = nil
	if _, err := g.change(ctx); err != nil {
		return 0, err
	}
	return time.Since(killed), nil
}

// stop stops the processes and removes their data.
func (g *group) stop() {
	for _, child := range g.processes {
		if child != nil {
			child.stop()
		}
	}
	_ = os.RemoveAll(g.folder)
}

// startHollowGateways starts a process that runs count hollow gateways and waits until
// all of them have a valid lease.
func (g *group) startHollowGateways(ctx context.Context, count int) (*process, error) {
	child, err := startProcess(ctx, childConfig{Role: roleHollowGateways, Name: "gateway", Seeds: g.peers, Key: g.key, Gateways: count})
	if err != nil {
		return nil, err
	}
	if err := awaitLeases(ctx, child, count); err != nil {
		child.stop()
		return nil, err
	}
	return child, nil
}

// awaitLeases waits until count gateways of a process have a valid lease.
func awaitLeases(ctx context.Context, child *process, count int) error {
	deadline := time.Now().Add(readyTimeout)
	for ctx.Err() == nil && time.Now().Before(deadline) {
		current, err := child.execute(childCommand{})
		if err != nil {
			return err
		}
		if current.Leases == count {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return fmt.Errorf("not all of %d gateways had a lease before the timeout", count)
}
