package fleet

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/deckpulley/deckpulley/settings"
)

// stopTimeout is the time that a node has to shut down gracefully before it is killed.
const stopTimeout = 8 * time.Second

// StartAll starts all replicas and nodes. It does not wait until they are ready.
func (f *Fleet) StartAll() error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, replica := range f.replicas {
		if err := f.startReplica(replica); err != nil {
			return err
		}
	}
	for _, node := range f.nodes {
		if err := f.startNode(node); err != nil {
			return err
		}
	}
	return nil
}

// StartPlatform starts the platform stand-in, which reports the list of replicas to the
// control nodes.
func (f *Fleet) StartPlatform() error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.startPlatform()
}

// StartNode starts a node that is not running.
func (f *Fleet) StartNode(node *Node) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.closed {
		return os.ErrProcessDone
	}
	if node.Running() {
		return fmt.Errorf("%s is already running", node.Name)
	}
	return f.startNode(node)
}

// KillNode kills a node and waits until its process has ended.
func (f *Fleet) KillNode(node *Node) error { return node.process.Kill() }

// FreezeNode suspends a node with SIGSTOP, which the node cannot detect.
func (f *Fleet) FreezeNode(node *Node) error { return node.process.Freeze() }

// ThawNode resumes a frozen node.
func (f *Fleet) ThawNode(node *Node) error { return node.process.Thaw() }

// StopNode shuts a node down gracefully, or kills it if that takes too long.
func (f *Fleet) StopNode(node *Node) error {
	_, err := node.process.Stop(stopTimeout)
	return err
}

// WipeNode kills a control node and deletes the contents of its data folder, to simulate a
// replaced disk.
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

// successorSuffix is appended to the name of a replaced control node to name its successor.
const successorSuffix = "-b"

// ReplaceControl permanently kills a control node and starts a new one in the same zone,
// with a new name, address and data folder.
func (f *Fleet) ReplaceControl(node *Node) (*Node, error) {
	if err := node.process.Kill(); err != nil {
		return nil, err
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	plan := RegionPlan{Name: node.Region, Zone: node.Zone}
	successor, err := f.newNode(node.Name+successorSuffix, settings.RoleControl, plan)
	if err != nil {
		return nil, err
	}
	if index := slices.Index(f.nodes, node); index >= 0 {
		f.nodes[index] = successor
	}
	if err := f.writeSettings(successor); err != nil {
		return nil, err
	}
	f.logControl(successor)
	return successor, f.startNode(successor)
}

// StartReplica starts a replica that is not running. A cold replica warms up first.
func (f *Fleet) StartReplica(replica *Replica, cold bool) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.closed {
		return os.ErrProcessDone
	}
	if replica.Running() {
		return fmt.Errorf("%s is already running", replica.ID)
	}
	replica.Cold = cold
	return f.startReplica(replica)
}

// KillReplica kills a replica and waits until its process has ended.
func (f *Fleet) KillReplica(replica *Replica) error { return replica.process.Kill() }
