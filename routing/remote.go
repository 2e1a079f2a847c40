package routing

import "time"

const (
	// A region's load is stale after minLoadTimeout without a report, or after
	// loadTimeoutIntervals report intervals if that is longer.
	minLoadTimeout       = 3 * time.Second
	loadTimeoutIntervals = 4
	// loadSmoothing is the weight of one report in a region's load.
	loadSmoothing = 0.5
	// recoveryDuration is the time in which a recovering region gets back to its full
	// traffic.
	recoveryDuration = 5 * time.Second
	// minRecoveryFraction is the fraction of its traffic that it gets at once.
	minRecoveryFraction = 0.1
)

// remoteLoads holds what the gateways of other regions report, by region.
type remoteLoads map[string]*remoteRegion

// record records a report of a region's load by service.
func (l remoteLoads) record(region string, load map[string]float64, at time.Time) {
	known := l[region]
	if known == nil {
		known = &remoteRegion{loads: make(map[string]float64)}
		l[region] = known
	}
	known.recordReport(at)
	for name, value := range load {
		before, had := known.loads[name]
		if had && before < warmupElsewhereUtilization && value < warmupElsewhereUtilization {
			value = before + loadSmoothing*(value-before)
		}
		known.loads[name] = value
	}
}

// remoteRegion holds what the gateways of another region report.
type remoteRegion struct {
	lastReport      time.Time
	interval        time.Duration      // between reports, smoothed
	recoveringSince time.Time          // first report after a stale load; zero if none
	loads           map[string]float64 // utilization by service
}

// stale reports whether the reports have stopped.
func (r *remoteRegion) stale(now time.Time) bool {
	return !r.lastReport.IsZero() && now.Sub(r.lastReport) >= max(minLoadTimeout, loadTimeoutIntervals*r.interval)
}

// recordReport records the time of a report.
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

// Load returns the utilization of each service in the local region, to be reported
// to other regions; 1 is full.
func (r *Router) Load() map[string]float64 {
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

// SetRemoteLoad records the utilization of the services of another region, as one of
// its gateways reports it.
func (r *Router) SetRemoteLoad(region string, load map[string]float64, at time.Time) {
	if region == r.config.Region {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.remote.record(region, load, at)
}
