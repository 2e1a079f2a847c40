package control

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/consensus"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/storage"
	"github.com/deckpulley/deckpulley/transport"
)

// loneMachine is the loop's state of a group of one that is a primary, driven by
// hand: no goroutine and no network takes part.
func loneMachine(b testing.TB) *machine {
	b.Helper()
	return loneMachineOn(b, storage.NewMemory("disk-1"))
}

// loneMachineOn starts a group's only node on a disk, which is empty at first.
func loneMachineOn(b testing.TB, store *storage.Memory) *machine {
	b.Helper()
	options := Options{
		Name:        "control-1",
		PeerAddress: "control-1:1",
		Network:     transport.NewMemory().Node("control-1", "control-1:1"),
		Store:       store,
		Logger:      slog.New(slog.DiscardHandler),
	}.withDefaults()
	m, err := newMachine(options, options.Logger, newMetrics(), 0)
	if err != nil {
		b.Fatal(err)
	}
	if m.group != nil {
		return m
	}
	snapshot, err := firstSnapshot("cluster", options.Name, []consensus.Member{{ID: "disk-1", Name: options.Name, Address: options.PeerAddress}})
	if err != nil || !m.adopt(0, "cluster", snapshot) {
		b.Fatal("no group was formed: ", err)
	}
	return m
}

// advance lets the time pass in ticks.
func (m *machine) advance(b testing.TB, now *time.Duration, length time.Duration) {
	b.Helper()
	for end := *now + length; *now < end; *now += defaultTickInterval {
		m.tick(*now)
		if err := m.settle(*now); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkRenewal is the loop's whole work for one lease renewal, the other
// gateways holding leases meanwhile.
func BenchmarkRenewal(b *testing.B) {
	for _, gateways := range []int{8, 50, 200, 400} {
		b.Run(fmt.Sprintf("gateways=%d", gateways), func(b *testing.B) {
			m := loneMachine(b)
			now := time.Duration(0)
			m.advance(b, &now, 5*time.Second)
			renewals := make([]peer.Renew, gateways)
			for i := range renewals {
				name := fmt.Sprintf("gateway-%d", i)
				renewals[i].Gateway = peer.GatewayInfo{Name: name, Incarnation: "1", PeerAddress: name + ":1"}
			}
			renew := func(i int) {
				m.tick(now)
				grant := m.renew(now, renewals[i])
				renewals[i].Term = grant.Term
				if transfer, err := grant.UnpackTransfer(); err != nil {
					b.Fatal(err)
				} else if transfer != nil {
					renewals[i].ReceivedSerial = transfer.To
				}
				renewals[i].ActiveSerial = grant.ActivationSerial
				if err := m.settle(now); err != nil {
					b.Fatal(err)
				}
				m.observe(now, nil)
			}
			for round := range 4 {
				for i := range renewals {
					renew(i)
				}
				m.advance(b, &now, time.Duration(round+1)*100*time.Millisecond)
			}
			interval := 300 * time.Millisecond / time.Duration(gateways)
			for i := 0; b.Loop(); i++ {
				now += interval
				renew(i % gateways)
			}
			_, leases := m.gatewayMembers(now)
			b.ReportMetric(float64(leases), "leases")
		})
	}
}
