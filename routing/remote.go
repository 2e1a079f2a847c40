package routing

import "time"

const (
	// A region's load is stale if no report arrived for minLoadTimeout or for
	// loadTimeoutIntervals report intervals, whichever is longer.
	minLoadTimeout       = 3 * time.Second
	loadTimeoutIntervals = 4
	// loadSmoothing is the weight of one report in the smoothed load of a region.
	loadSmoothing = 0.5
	// recoveryDuration is the time over which the traffic of a recovering region is
	// restored to its full amount.
	recoveryDuration = 5 * time.Second
	// minRecoveryFraction is the fraction of its traffic that a recovering region gets
	// initially.
	minRecoveryFraction = 0.1
)

// remoteLoads holds the loads that gateways of other regions report, by region.
type remoteLoads map[string]*remoteRegion

// record records one report of a region's load, which is given by service.
func (l remoteLoads) record(region string, load map[string]float64, at time.Time) {
	known := l[region]
	if known == nil {
		known = &remoteRegion{loads: make(map[string]float64)}
		l[region] = known
	}
	known.recordReport(at)
	for name, value := range load {
		previous, reported := known.loads[name]
		if reported && previous < warmupElsewhereUtilization && value < warmupElsewhereUtilization {
			value = previous + loadSmoothing*(value-previous)
		}
		known.loads[name] = value
	}
}

// remoteRegion holds the load that the gateways of one other region report.
type remoteRegion struct {
	lastReport      time.Time
	interval        time.Duration      // between reports, smoothed
	recoveringSince time.Time          // first report after the load was stale; zero if it never was
	loads           map[string]float64 // utilization by service
}

// stale reports whether the last report is too old to be used.
func (r *remoteRegion) stale(now time.Time) bool {
	return !r.lastReport.IsZero() && now.Sub(r.lastReport) >= max(minLoadTimeout, loadTimeoutIntervals*r.interval)
}

// recordReport records the arrival of a report. If the previous loads were stale, it
// discards them and starts the recovery of the region.
func (r *remoteRegion) recordReport(at time.Time) {
	if r.stale(at) {
		r.recoveringSince = at
		clear(r.loads)
	}
	if elapsed := at.Sub(r.lastReport); !r.lastReport.IsZero() && elapsed > 0 {
		sample := min(elapsed, minLoadTimeout)
		r.interval += time.Duration(serviceTimeSmoothing * float64(sample-r.interval))
	}
	r.lastReport = latest(r.lastReport, at)
}

// Utilization returns the utilization of each service in the local region, for reports to
// other regions. A utilization of 1 means that all capacity is in use.
func (r *Router) Utilization() map[string]float64 {
	now := time.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.tick(now)
	load := make(map[string]float64, len(r.services))
	for name, service := range r.services {
		if len(service.replicas) > 0 {
			load[name] = service.regionLoad()
		}
	}
	return load
}

// RecordRemoteUtilization records the utilization of each service in another region, as
// reported by one of that region's gateways.
func (r *Router) RecordRemoteUtilization(region string, load map[string]float64, at time.Time) {
	if region == r.config.Region {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.remote.record(region, load, at)
}
