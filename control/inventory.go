package control

import (
	"context"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/peer"
)

// Inventory is where the list of all replicas comes from.
type Inventory interface {
	// Replicas returns the whole list as it is now.
	Replicas(ctx context.Context) (*api.ReplicaList, error)
}

// inventoryTimeout bounds one reading of the list, and its way into the registry.
const inventoryTimeout = 2 * time.Second

// runInventory brings the list of replicas into the registry while this node is
// the primary: one reader for the whole fleet.
func (n *Node) runInventory(ctx context.Context) {
	ticker := time.NewTicker(n.options.InventoryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		// Two readings never begin closer to one another than the interval, also
		// after a slow one: the list bounds the calls a second.
		ticker.Reset(n.options.InventoryInterval)
		observed := n.observe()
		if observed.primary && observed.contents != nil && observed.contents.Version() > 0 {
			n.readInventory(ctx)
		}
	}
}

func (n *Node) readInventory(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, inventoryTimeout)
	defer cancel()
	list, err := n.options.Inventory.Replicas(ctx)
	if err != nil {
		n.log.Warn("list of replicas not read", "error", err)
		return
	}
	reply := n.order(ctx, peer.OperationRequest{Replicas: list})
	if reply.Error != nil {
		n.log.Warn("list of replicas not taken", "error", reply.Error)
	}
}
