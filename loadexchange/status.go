package loadexchange

import "time"

// Counts holds totals since the start.
type Counts struct {
	// ReportsSent and DigestsSent count messages sent to other gateways.
	ReportsSent uint64
	DigestsSent uint64
	// ReportsReceived and DigestsReceived count messages received from other gateways.
	ReportsReceived uint64
	DigestsReceived uint64
	// Suspicions counts how often an aggregator timed out.
	Suspicions uint64
}

// Status is the status of one gateway in the exchange.
type Status struct {
	// Aggregator is the gateway that this one reports to, "" before the first report.
	Aggregator string
	// SinceLastContact is the time since the aggregator was chosen or last sent a
	// digest. It is 0 at the aggregator itself.
	SinceLastContact time.Duration
	// Members is the number of gateways that report to this one, itself included. It is 0
	// if this gateway does not aggregate.
	Members int
	Counts  Counts
}

// Status returns the gateway's status in the exchange at the given time.
func (e *Exchange) Status(now time.Time) Status {
	status := Status{Aggregator: e.reporter.aggregator, Members: len(e.aggregator.members), Counts: e.counts}
	if status.Aggregator != "" && status.Aggregator != e.name {
		status.SinceLastContact = now.Sub(e.reporter.lastContact)
	}
	return status
}

// countSent counts messages that were sent.
func (c *Counts) countSent(messages []Outgoing) {
	for i := range messages {
		if messages[i].Report != nil {
			c.ReportsSent++
			continue
		}
		c.DigestsSent++
	}
}
