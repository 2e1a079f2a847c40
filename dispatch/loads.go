package dispatch

import (
	"time"

	"github.com/deckpulley/deckpulley/peer"
)

// loadAge is how long another gateway's report counts.
const loadAge = 1500 * time.Millisecond

// loadBoard keeps what the other gateways report.
type loadBoard struct {
	reports map[string]loadReport
}

type loadReport struct {
	at    time.Time
	loads map[string]peer.Load
}

func newLoadBoard() loadBoard { return loadBoard{reports: make(map[string]loadReport)} }

// others is what all other gateways have under way at a replica, and the most
// that one of them finds it behind.
func (b *loadBoard) others(id string, now time.Time) peer.Load {
	var sum peer.Load
	for gateway, report := range b.reports {
		if now.Sub(report.at) > loadAge {
			delete(b.reports, gateway)
			continue
		}
		load := report.loads[id]
		sum.Requests += load.Requests
		sum.Held += load.Held
		sum.OverdueMS = max(sum.OverdueMS, load.OverdueMS)
	}
	return sum
}

// Observe takes another gateway's report of its own load. Prompts that it has
// placed lengthen the backlogs of their replicas here too, and what it measured
// of their speed counts as if it was measured here.
func (d *Dispatcher) Observe(report peer.ReplicaLoads) {
	now := time.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.loads.reports[report.Gateway] = loadReport{at: now, loads: report.Loads}
	for _, placed := range report.Placed {
		if r, known := d.replicas[placed.Replica]; known {
			reading := time.Duration(placed.ReadingMS) * time.Millisecond
			r.give(now, reading)
			r.noteClaim(now, report.Gateway, reading)
			d.holds(r, placed.Prefixes)
		}
	}
	for _, read := range report.Read {
		if r, known := d.replicas[read.Replica]; known {
			r.learn(read.Slowness)
		}
	}
}

// holds notes the shared parts that a replica will hold.
func (d *Dispatcher) holds(r *replica, prefixes []uint64) {
	if known, found := d.services[r.service]; found && len(prefixes) > 0 {
		known.index.NoteHashes(r.number, prefixes)
	}
}

// Loads returns this gateway's own load on the replicas of a region.
func (d *Dispatcher) Loads(region string) map[string]peer.Load {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := time.Now()
	var loads map[string]peer.Load
	for id, r := range d.replicas {
		if r.inFlight == 0 || r.region != region {
			continue
		}
		if loads == nil {
			loads = make(map[string]peer.Load)
		}
		loads[id] = peer.Load{Requests: r.inFlight, Held: int(r.held), OverdueMS: int(r.overdue(now).Milliseconds())}
	}
	return loads
}

// backlog is the reading that a replica is known to have before it, by all
// gateways together: prompts are read one after another.
type backlog struct {
	until time.Time
}

// add appends the reading of one prompt.
func (b *backlog) add(now time.Time, reading time.Duration) {
	if b.until.Before(now) {
		b.until = now
	}
	b.until = b.until.Add(reading)
}

// left is the reading still to be done.
func (b *backlog) left(now time.Time) time.Duration { return max(0, b.until.Sub(now)) }
