package control

import (
	"sync"
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/lease"
	"github.com/deckpulley/deckpulley/storage"
)

// stallingDisk is a store whose Save blocks until a given time.
type stallingDisk struct {
	storage.Store

	mutex sync.Mutex
	until time.Time
}

func (d *stallingDisk) stall(length time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.until = time.Now().Add(length)
}

// Save implements storage.Store.
func (d *stallingDisk) Save(state *consensus.HardState, entries []consensus.Entry) error {
	d.mutex.Lock()
	wait := time.Until(d.until)
	d.mutex.Unlock()
	time.Sleep(wait)
	return d.Store.Save(state, entries)
}

// TestStalledDiskLosesLeadership checks that a primary whose disk blocks is replaced as
// soon as it has to write, that its successor executes a pending operation exactly once,
// and that the old primary becomes a follower once its disk responds again.
func TestStalledDiskLosesLeadership(t *testing.T) {
	const stall = 8 * time.Second
	inFleet(t, func(f *fleet) {
		t := f.t
		f.stores = make(map[string]*stallingDisk)
		for _, name := range controlNames {
			f.stores[name] = &stallingDisk{Store: f.disks[name]}
		}
		f.start(controlNames...)
		f.mustSend(f.primary(), "order-1", 0)
		old, through := f.primary(), f.follower()
		f.stores[old.options.Name].stall(stall)
		started := time.Now()
		f.mustSend(through, "order-2", 1)
		if took := time.Since(started); took > lease.DefaultConfig().GracePeriod()+2*time.Second {
			t.Errorf("an operation took %v while the primary's disk was stalled", took)
		}
		if successor := f.primary(old.options.Name); successor == old {
			t.Error("the node with the stalled disk is still the primary")
		}
		time.Sleep(stall)
		f.await("the stalled node to become a follower", func() bool {
			o := old.engine.Observe()
			return o.Status.Role == consensus.Follower && o.Catalog.Version() == 2
		})
		_, again := f.send(old, "order-2", 1, document(t))
		if !again.Accepted || again.Version != 2 {
			t.Errorf("resending the operation to the formerly stalled node returned %+v, want version 2 accepted", again)
		}
	})
}
