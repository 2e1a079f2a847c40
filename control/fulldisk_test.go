package control

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/storage"
)

// fillingDisk is a store whose writes fail, without an effect, while it is full. A failed
// write makes all later ones fail until Recover.
type fillingDisk struct {
	storage.Store

	mutex sync.Mutex
	// failing is the probability that a write fails: 1 while the disk is full, less while
	// it is nearly full.
	failing float64
	random  *rand.Rand
	failed  error
}

var errFull = errors.New("simulated full disk")

func (d *fillingDisk) setFailing(probability float64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.failing = probability
}

// check decides whether a write fails.
func (d *fillingDisk) check(operation string) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.failed == nil && d.random.Float64() < d.failing {
		d.failed = &storage.NoSpaceError{Operation: operation, Err: errFull}
	}
	return d.failed
}

// Save implements storage.Store.
func (d *fillingDisk) Save(state *consensus.HardState, entries []consensus.Entry) error {
	if err := d.check("save"); err != nil {
		return err
	}
	return d.Store.Save(state, entries)
}

// SaveSnapshot implements storage.Store.
func (d *fillingDisk) SaveSnapshot(snapshot consensus.Snapshot, keepFrom uint64) error {
	if err := d.check("save snapshot"); err != nil {
		return err
	}
	return d.Store.SaveSnapshot(snapshot, keepFrom)
}

// SetCluster implements storage.Store.
func (d *fillingDisk) SetCluster(cluster string) error {
	if err := d.check("set cluster"); err != nil {
		return err
	}
	return d.Store.SetCluster(cluster)
}

// Recover implements storage.Store.
func (d *fillingDisk) Recover() error {
	d.mutex.Lock()
	d.failed = nil
	d.mutex.Unlock()
	return d.check("recover")
}

// startFilling starts the control nodes on disks that can fill.
func (f *fleet) startFilling(seed uint64) map[string]*fillingDisk {
	f.t.Helper()
	disks := make(map[string]*fillingDisk)
	for i, name := range controlNames {
		disks[name] = &fillingDisk{Store: f.disks[name], random: rand.New(rand.NewPCG(seed, uint64(i)))}
		f.full[name] = disks[name]
	}
	f.start(controlNames...)
	return disks
}

// checkRunning fails the test if a node has stopped.
func (f *fleet) checkRunning() {
	f.t.Helper()
	for name, node := range f.nodes {
		select {
		case <-node.Done():
			f.t.Errorf("%s has stopped: %v", name, node.Err())
		default:
		}
	}
}

// TestFullDiskDoesNotEndNode guards against a control node that ends when its disk is full,
// and again at every start until there is room.
func TestFullDiskDoesNotEndNode(t *testing.T) {
	inFleet(t, func(f *fleet) {
		disks := f.startFilling(1)
		f.startGateway("gateway-1")
		f.mustSend(f.primary(), "order-1", 0)
		old := f.primary()
		name := old.options.Name
		disks[name].setFailing(1)
		through := f.follower()
		f.mustSend(through, "order-2", 1)
		f.await("the full node to say so", func() bool { return old.engine.Observe().DiskFull })
		if old.engine.Observe().Primary || old.engine.Observe().Ready() == nil {
			f.t.Error("the node with the full disk is primary or ready")
		}
		for _, disk := range disks {
			disk.setFailing(1)
		}
		status, _ := f.send(through, "order-3", 2, document(f.t))
		if status == http.StatusOK {
			f.t.Error("an order was acknowledged while all disks were full")
		}
		for _, disk := range disks {
			disk.setFailing(0)
		}
		f.await("all nodes to participate", func() bool {
			for _, node := range f.nodes {
				if observed := node.engine.Observe(); observed.DiskFull || observed.LeaderAddress() == "" {
					return false
				}
			}
			return true
		})
		version := f.primary().engine.Observe().Catalog.Version()
		f.mustSend(f.primary(), "order-4", version)
		f.await("the node that was full to catch up", func() bool {
			return old.engine.Observe().Catalog.Version() == version+1
		})
		f.checkRunning()
	})
}

// TestNoAcknowledgedOrderIsLostOnFullDisks guards against a failed write that is taken for a
// durable one: writes fail at any point on any of the disks, and nodes are restarted.
func TestNoAcknowledgedOrderIsLostOnFullDisks(t *testing.T) {
	for seed := range uint64(12) {
		inFleet(t, func(f *fleet) { f.fillAndEmptyDisks(seed) })
	}
}

// fillAndEmptyDisks sends orders while disks fill and empty at random, and checks that the
// newest acknowledged version is never lost and that work goes on at the end.
func (f *fleet) fillAndEmptyDisks(seed uint64) {
	f.t.Helper()
	const rounds = 12
	random := rand.New(rand.NewPCG(seed, 99))
	disks := f.startFilling(seed)
	f.primary()
	acknowledged := uint64(0)
	for round := range rounds {
		for _, name := range controlNames {
			disks[name].setFailing([]float64{0, 0, 0.05, 0.3, 1}[random.IntN(5)])
		}
		if random.IntN(4) == 0 {
			name := controlNames[random.IntN(len(controlNames))]
			f.stop(name)
			f.start(name)
		}
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
		node := f.nodes[controlNames[random.IntN(len(controlNames))]]
		if catalog := node.engine.Observe().Catalog; catalog != nil {
			_, answer := f.send(node, fmt.Sprint("order-", seed, "-", round), catalog.Version(), document(f.t))
			if answer.Accepted {
				acknowledged = max(acknowledged, answer.Version)
			}
		}
	}
	for _, disk := range disks {
		disk.setFailing(0)
	}
	time.Sleep(5 * time.Second)
	f.checkRunning()
	catalog := f.primary().engine.Observe().Catalog
	f.t.Logf("seed %d: %d of %d versions acknowledged", seed, acknowledged, catalog.Version())
	if catalog.Version() < acknowledged {
		f.t.Errorf("seed %d: version %d at the end, %d was acknowledged", seed, catalog.Version(), acknowledged)
	}
	f.mustSend(f.primary(), fmt.Sprint("last-", seed), catalog.Version())
}
