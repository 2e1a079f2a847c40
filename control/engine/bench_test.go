package engine

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/control/metrics"
	"github.com/deckpulley/deckpulley/control/statemachine"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/storage"
	"github.com/deckpulley/deckpulley/transport"
)

// newSingleNode returns the event loop's state of the only node of a group. The test
// calls its methods directly: no goroutine runs and no message is sent.
func newSingleNode(tb testing.TB) *machine {
	tb.Helper()
	return newSingleNodeOn(tb, storage.NewMemory("disk-1"))
}

// newSingleNodeOn starts a group's only node from a disk. If the disk is empty, the node
// bootstraps the group.
func newSingleNodeOn(tb testing.TB, store *storage.Memory) *machine {
	tb.Helper()
	config := Config{
		Name:        "control-1",
		PeerAddress: "control-1:1",
		Network:     transport.NewMemory().Node("control-1", "control-1:1"),
		Store:       store,
		Logger:      slog.New(slog.DiscardHandler),
	}.withDefaults()
	m, err := newMachine(config, metrics.New(), 0)
	if err != nil {
		tb.Fatal(err)
	}
	if m.driver.Consensus() != nil {
		return m
	}
	snapshot, err := statemachine.InitialSnapshot("cluster", config.Name, []consensus.Member{{ID: "disk-1", Name: config.Name, Address: config.PeerAddress}})
	if err != nil || !m.driver.EnterGroup(0, "cluster", snapshot) {
		tb.Fatal("the group was not bootstrapped: ", err)
	}
	return m
}

// advance advances the time by length, in ticks.
func (m *machine) advance(tb testing.TB, now *time.Duration, length time.Duration) {
	tb.Helper()
	for end := *now + length; *now < end; *now += DefaultTickInterval {
		m.tick(*now)
		if err := m.process(*now); err != nil {
			tb.Fatal(err)
		}
	}
}

// BenchmarkRenewal measures the whole work of the event loop for one lease renewal while
// all other gateways hold leases too.
func BenchmarkRenewal(b *testing.B) {
	for _, gateways := range []int{8, 50, 200, 400} {
		b.Run(fmt.Sprintf("gateways=%d", gateways), func(b *testing.B) {
			m := newSingleNode(b)
			now := time.Duration(0)
			m.advance(b, &now, 5*time.Second)
			renewals := m.renewedGateways(b, &now, gateways)
			interval := 300 * time.Millisecond / time.Duration(gateways)
			for i := 0; b.Loop(); i++ {
				now += interval
				if err := m.renewAndProcess(now, &renewals[i%gateways]); err != nil {
					b.Fatal(err)
				}
			}
			leases := m.leadership.leases.Holders(now)
			b.ReportMetric(float64(len(leases)), "leases")
		})
	}
}

// renewAndProcess handles one renewal as the event loop does, and updates it to the
// gateway's next renewal.
func (m *machine) renewAndProcess(now time.Duration, renewal *peer.Renew) error {
	m.tick(now)
	grant := m.renew(now, *renewal)
	renewal.Term = grant.Term
	transfer, err := grant.UnpackTransfer()
	if err != nil {
		return err
	}
	if transfer != nil {
		renewal.ReceivedSerial = transfer.To
	}
	renewal.ActiveSerial = grant.ActivationSerial
	if err := m.process(now); err != nil {
		return err
	}
	m.observe(now)
	return nil
}

// renewedGateways renews until count gateways have leases, and returns their next
// renewals.
func (m *machine) renewedGateways(tb testing.TB, now *time.Duration, count int) []peer.Renew {
	tb.Helper()
	renewals := make([]peer.Renew, count)
	for i := range renewals {
		name := fmt.Sprintf("gateway-%d", i)
		renewals[i].Gateway = peer.GatewayInfo{Name: name, Incarnation: "1", PeerAddress: name + ":1"}
	}
	for round := range 4 {
		for i := range renewals {
			if err := m.renewAndProcess(*now, &renewals[i]); err != nil {
				tb.Fatal(err)
			}
		}
		m.advance(tb, now, time.Duration(round+1)*100*time.Millisecond)
	}
	return renewals
}
