package dispatch

import (
	"time"

	"github.com/deckpulley/deckpulley/peer"
)

// loadAge is how long another gateway's report counts.
const loadAge = time.Second

// loadBoard keeps what the other gateways report.
type loadBoard struct {
	reports map[string]loadReport
}

type loadReport struct {
	at    time.Time
	loads map[string]peer.Load
}

func newLoadBoard() loadBoard { return loadBoard{reports: make(map[string]loadReport)} }

// others is what all other gateways have under way at a replica.
func (b *loadBoard) others(id string, now time.Time) peer.Load {
	var sum peer.Load
	for gateway, report := range b.reports {
		if now.Sub(report.at) > loadAge {
			delete(b.reports, gateway)
			continue
		}
		load := report.loads[id]
		sum.Requests += load.Requests
		sum.Pending += load.Pending
		sum.Held += load.Held
	}
	return sum
}

// Observe takes another gateway's report of its own load.
func (d *Dispatcher) Observe(gateway string, loads map[string]peer.Load) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.loads.reports[gateway] = loadReport{at: time.Now(), loads: loads}
}

// Loads returns this gateway's own load on the replicas of a region.
func (d *Dispatcher) Loads(region string) map[string]peer.Load {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var loads map[string]peer.Load
	for id, r := range d.replicas {
		if r.inFlight == 0 || r.region != region {
			continue
		}
		if loads == nil {
			loads = make(map[string]peer.Load)
		}
		loads[id] = peer.Load{Requests: r.inFlight, Pending: r.pending, Held: r.held}
	}
	return loads
}
