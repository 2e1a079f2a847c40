package loadexchange

import "time"

// Counts are totals since the start.
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

// Status is one gateway's part in the exchange.
type Status struct {
	// Aggregator is the gateway that this one reports to, "" before the first report.
	Aggregator string
	// SinceLastContact is the time since the aggregator was chosen or last sent a
	// digest. It is 0 at the aggregator itself.
	SinceLastContact time.Duration
	// Members counts the gateways that report to this one, itself included. It is 0 at
	// a gateway that does not aggregate.
	Members int
	Counts  Counts
}

// Status returns the gateway's part in the exchange at a time.
func (x *Exchange) Status(now time.Time) Status {
	status := Status{Aggregator: x.reporter.aggregator, Members: len(x.aggregator.members), Counts: x.counts}
	if status.Aggregator != "" && status.Aggregator != x.name {
		status.SinceLastContact = now.Sub(x.reporter.lastContact)
	}
	return status
}

// countSent adds messages that were sent to the totals.
func (c *Counts) countSent(messages []Outgoing) {
	for i := range messages {
		if messages[i].Report != nil {
			c.ReportsSent++
			continue
		}
		c.DigestsSent++
	}
}
