package dispatch

import (
	"time"

	"github.com/deckpulley/deckpulley/peer"
)

// loadReportTTL is how long a report of other gateways' loads is used.
const loadReportTTL = 2500 * time.Millisecond

// loadTable holds the load that all other gateways have placed on each replica.
type loadTable struct {
	// reports holds the last report of each aggregator, by its name.
	reports map[string]loadReport
	// sums is the total of the reports by replica. It is valid until expiry, when the
	// first of the reports expires.
	sums   map[peer.ReplicaKey]peer.Load
	expiry time.Time
}

type loadReport struct {
	receivedAt time.Time
	loads      map[peer.ReplicaKey]peer.Load
}

func newLoadTable() loadTable { return loadTable{reports: make(map[string]loadReport)} }

// update replaces the report of one aggregator.
func (t *loadTable) update(now time.Time, aggregator string, loads map[peer.ReplicaKey]peer.Load) {
	t.reports[aggregator] = loadReport{receivedAt: now, loads: loads}
	t.sum(now)
}

// sum removes expired reports and adds up the others.
func (t *loadTable) sum(now time.Time) {
	t.sums = make(map[peer.ReplicaKey]peer.Load)
	t.expiry = now.Add(loadReportTTL)
	for aggregator, report := range t.reports {
		expiry := report.receivedAt.Add(loadReportTTL)
		if now.After(expiry) {
			delete(t.reports, aggregator)
			continue
		}
		if expiry.Before(t.expiry) {
			t.expiry = expiry
		}
		for replica, load := range report.loads {
			t.sums[replica] = t.sums[replica].Add(load)
		}
	}
}

// at returns the load that all other gateways have in flight at a replica.
func (t *loadTable) at(replica peer.ReplicaKey, now time.Time) peer.Load {
	if now.After(t.expiry) {
		t.sum(now)
	}
	return t.sums[replica]
}

// HandleRegionLoads processes a message about the other gateways of the region: their
// requests in flight, the prompts that they placed, and the prefill times that they
// measured. Their prompts are added to this gateway's copy of the backlogs, and their
// measurements are used like its own.
func (d *Dispatcher) HandleRegionLoads(loads *peer.RegionLoads) {
	now := time.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if loads.Complete {
		d.loads.update(now, loads.Aggregator, loads.Loads)
	}
	for _, total := range loads.PrefillTotals {
		if r, known := d.byKey[total.Replica]; known {
			r.addPrompt(now, time.Duration(total.PrefillMS)*time.Millisecond)
		}
	}
	for _, prompt := range loads.PlacedPrompts {
		if r, known := d.byKey[prompt.Replica]; known {
			prefill := time.Duration(prompt.PrefillMS) * time.Millisecond
			r.addPrompt(now, prefill)
			r.addAnnouncedPrompt(now, prompt.Gateway, prefill)
			d.recordPrefixes(r, prompt.Prefixes)
		}
	}
	for _, sample := range loads.PrefillSamples {
		if r, known := d.byKey[sample.Replica]; known {
			d.observePrefill(r, secondsOf(sample.ReferenceUS), secondsOf(sample.MeasuredUS))
		}
	}
}

// microsecondsPerSecond converts between microseconds and seconds.
const microsecondsPerSecond = 1e6

// secondsOf converts microseconds to seconds.
func secondsOf(microseconds uint32) float64 { return float64(microseconds) / microsecondsPerSecond }

// microsecondsOf converts seconds to microseconds.
func microsecondsOf(seconds float64) uint32 { return uint32(microsecondsPerSecond * seconds) }

// recordPrefixes records that a replica will have shared prefixes in its cache.
func (d *Dispatcher) recordPrefixes(r *replica, prefixes []uint64) {
	if service, found := d.services[r.service]; found && len(prefixes) > 0 {
		service.index.RecordHashes(r.number, prefixes)
	}
}

// observePrefill updates the prefill model of the service and the slowdown of the replica
// with a sample of any gateway: the time of a prefill during which the replica prefilled
// no other prompt. work is in seconds of the reference replica, took in seconds.
func (d *Dispatcher) observePrefill(r *replica, work, took float64) {
	service, found := d.services[r.service]
	if !found || work <= 0 {
		return
	}
	service.prefill.observe(work, took)
	model := service.prefill.model
	r.observeSlowdown((took - model.overhead) / (model.factor * work))
}

// Loads returns the load that this gateway has in flight, by replica.
func (d *Dispatcher) Loads() map[peer.ReplicaKey]peer.Load {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	loads := make(map[peer.ReplicaKey]peer.Load)
	for key, r := range d.byKey {
		if r.inFlight > 0 {
			loads[key] = peer.Load{Requests: r.inFlight, Tokens: int(r.inFlightTokens)}
		}
	}
	return loads
}

// RegionOf returns the region of a replica, or "" if the replica is not known.
func (d *Dispatcher) RegionOf(replica peer.ReplicaKey) string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if r, known := d.byKey[replica]; known {
		return r.region
	}
	return ""
}
