package dispatch

import (
	"time"

	"github.com/deckpulley/deckpulley/peer"
)

// loadAge is how long another gateway's report counts.
const loadAge = 2500 * time.Millisecond

// loadBoard keeps what others report of their loads.
type loadBoard struct {
	reports map[string]loadReport // by who reports
	// sums adds the reports up that are not too old, until one of them is.
	sums  map[peer.ReplicaKey]peer.Load
	until time.Time
}

type loadReport struct {
	at    time.Time
	loads map[peer.ReplicaKey]peer.Load
}

func newLoadBoard() loadBoard { return loadBoard{reports: make(map[string]loadReport)} }

// report takes the loads of one source in.
func (b *loadBoard) report(now time.Time, source string, loads map[peer.ReplicaKey]peer.Load) {
	b.reports[source] = loadReport{at: now, loads: loads}
	b.sum(now)
}

// sum adds the reports up.
func (b *loadBoard) sum(now time.Time) {
	b.sums = make(map[peer.ReplicaKey]peer.Load)
	b.until = now.Add(loadAge)
	for source, report := range b.reports {
		end := report.at.Add(loadAge)
		if now.After(end) {
			delete(b.reports, source)
			continue
		}
		if end.Before(b.until) {
			b.until = end
		}
		for replica, load := range report.loads {
			b.sums[replica] = b.sums[replica].Add(load)
		}
	}
}

// others is what all other gateways have under way at a replica.
func (b *loadBoard) others(replica peer.ReplicaKey, now time.Time) peer.Load {
	if now.After(b.until) {
		b.sum(now)
	}
	return b.sums[replica]
}

// Observe takes in what other gateways have under way, placed and measured. Prompts
// that they placed lengthen the backlogs of their replicas here too, and what they
// measured counts as if it was measured here.
func (d *Dispatcher) Observe(loads *peer.RegionLoads) {
	now := time.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if loads.Complete {
		d.loads.report(now, loads.Aggregator, loads.Loads)
	}
	for _, added := range loads.PrefillTotals {
		if r, known := d.byKey[added.Replica]; known {
			r.give(now, time.Duration(added.PrefillMS)*time.Millisecond)
		}
	}
	for _, placed := range loads.PlacedPrompts {
		if r, known := d.byKey[placed.Replica]; known {
			reading := time.Duration(placed.PrefillMS) * time.Millisecond
			r.give(now, reading)
			r.noteClaim(now, placed.Gateway, reading)
			d.holds(r, placed.Prefixes)
		}
	}
	for _, read := range loads.PrefillSamples {
		if r, known := d.byKey[read.Replica]; known {
			d.learn(r, microseconds(read.ReferenceUS), microseconds(read.MeasuredUS))
		}
	}
}

// microseconds turns a number of them into seconds.
func microseconds(count uint32) float64 { return float64(count) / 1e6 }

// holds notes the shared parts that a replica will hold.
func (d *Dispatcher) holds(r *replica, prefixes []uint64) {
	if known, found := d.services[r.service]; found && len(prefixes) > 0 {
		known.index.RecordHashes(r.number, prefixes)
	}
}

// Loads returns this gateway's own load by replica.
func (d *Dispatcher) Loads() map[peer.ReplicaKey]peer.Load {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	loads := make(map[peer.ReplicaKey]peer.Load)
	for key, r := range d.byKey {
		if r.inFlight > 0 {
			loads[key] = peer.Load{Requests: r.inFlight, Tokens: int(r.held)}
		}
	}
	return loads
}

// RegionOf returns the region of a replica, "" if it is not known.
func (d *Dispatcher) RegionOf(replica peer.ReplicaKey) string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if r, known := d.byKey[replica]; known {
		return r.region
	}
	return ""
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
