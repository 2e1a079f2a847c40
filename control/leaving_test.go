package control

import (
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/registry"
)

// leave makes a gateway release its lease and follow the registry until it ends.
func (g *testGateway) leave() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.leaving = true
}

// TestLeavingGatewayFollowsWithoutBeingAwaited guards against a primary that tells a leaving
// gateway nothing, and against an acknowledgement that waits longer because a gateway
// leaves.
func TestLeavingGatewayFollowsWithoutBeingAwaited(t *testing.T) {
	const (
		// maxDelay bounds the time until a leaving gateway has the state that a gateway
		// which stays has at the acknowledgement.
		maxDelay = 500 * time.Millisecond
		// maxAcknowledgement is far below the duration of a lease, which would be awaited
		// if the leaving gateway were.
		maxAcknowledgement = 500 * time.Millisecond
	)
	inFleet(t, func(f *fleet) {
		f.start(controlNames...)
		f.startGateway("stays")
		leaving := f.startGateway("leaves")
		f.mustSend(f.primary(), "order-1", 0)
		f.await("leases", func() bool { return leaving.valid() && f.gateways["stays"].valid() })
		leaving.leave()
		f.await("the record of the leaving gateway to say so", func() bool {
			return !f.primary().engine.Observe().Catalog.Gateways()["leaves"].Up
		})
		sent := time.Now()
		answer := f.mustSend(f.primary(), "order-2", 1)
		if took := time.Since(sent); took > maxAcknowledgement {
			f.t.Errorf("the acknowledgement took %v, want at most %v", took, maxAcknowledgement)
		}
		time.Sleep(maxDelay)
		if active := leaving.activeSerial(); registry.SerialLess(active, answer.Serial) {
			f.t.Errorf("the leaving gateway has serial %d active %v after serial %d was acknowledged", active, maxDelay, answer.Serial)
		}
	})
}
