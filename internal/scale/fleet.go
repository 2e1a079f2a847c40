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
	readyWait    = 60 * time.Second
	pollEvery    = 20 * time.Millisecond
)

// group is three control processes with a configuration and replicas.
type group struct {
	folder    string
	key       []byte
	peers     []string
	operators []string
	processes []*process // nil once killed
	client    *client.Client
	version   uint64
	step      int
}

// startGroup starts the control processes and hands them a configuration and a
// list of replicas.
func startGroup(ctx context.Context, replicas api.ReplicaList) (*group, error) {
	folder, err := os.MkdirTemp("", "deckpulley-scale-")
	if err != nil {
		return nil, err
	}
	g := &group{folder: folder, key: make([]byte, keyBytes)}
	rand.Read(g.key) // never fails, see the package
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
		started, err := startProcess(ctx, setup{
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
	ctx, cancel := context.WithTimeout(ctx, readyWait)
	defer cancel()
	if _, err := g.client.ReplaceReplicas(ctx, replicas); err != nil {
		return fmt.Errorf("replicas: %w", err)
	}
	return nil
}

func controlName(index int) string { return fmt.Sprintf("control-%d", index+1) }

// change hands over the next configuration and returns how long it took to be
// acknowledged as in force everywhere.
func (g *group) change(ctx context.Context) (time.Duration, error) {
	g.step++
	text, err := documentText(g.step)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, readyWait)
	defer cancel()
	sent := time.Now()
	answer, err := g.client.Apply(ctx, &api.ConfigurationOperation{BaseVersion: g.version, Author: "scale", Document: text})
	if err != nil {
		return 0, err
	}
	g.version = answer.Version
	return time.Since(sent), nil
}

// primary returns the index of the primary.
func (g *group) primary(ctx context.Context) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, readyWait)
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
		time.Sleep(pollEvery)
	}
	return 0, errors.New("no primary in time")
}

// killPrimary ends the primary as a lost machine would and returns how long it
// took until the next configuration was acknowledged.
func (g *group) killPrimary(ctx context.Context, index int) (time.Duration, error) {
	killed := time.Now()
	g.processes[index].kill()
	g.processes[index] = nil
	if _, err := g.change(ctx); err != nil {
		return 0, err
	}
	return time.Since(killed), nil
}

func (g *group) stop() {
	for _, child := range g.processes {
		if child != nil {
			child.stop()
		}
	}
	_ = os.RemoveAll(g.folder)
}

// startHollow starts a process of hollow gateways and waits for their leases.
func (g *group) startHollow(ctx context.Context, count int) (*process, error) {
	child, err := startProcess(ctx, setup{Role: roleGateways, Name: "gateway", Seeds: g.peers, Key: g.key, Gateways: count})
	if err != nil {
		return nil, err
	}
	if err := awaitLeases(ctx, child, count); err != nil {
		child.stop()
		return nil, err
	}
	return child, nil
}

func awaitLeases(ctx context.Context, child *process, count int) error {
	deadline := time.Now().Add(readyWait)
	for ctx.Err() == nil && time.Now().Before(deadline) {
		report, err := child.ask(order{})
		if err != nil {
			return err
		}
		if report.Leases == count {
			return nil
		}
		time.Sleep(pollEvery)
	}
	return fmt.Errorf("%d gateways have no lease in time", count)
}
