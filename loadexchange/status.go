package loadexchange

import "time"

// Counts are totals since the start.
type Counts struct {
	// ReportsSent and DigestsSent count messages to other gateways.
	ReportsSent uint64
	DigestsSent uint64
	// ReportsReceived and DigestsTaken count messages of other gateways.
	ReportsReceived uint64
	DigestsReceived uint64
	// Suspicions counts aggregators that fell silent.
	Suspicions uint64
}

// Status is one gateway's part in the exchange.
type Status struct {
	// Aggregator is the gateway that this one reports to, "" before the first report.
	Aggregator string
	// SinceLastContact is the time since the aggregator was heard or chosen. It is 0 at the
	// aggregator itself.
	SinceLastContact time.Duration
	// Members counts the gateways that report to this one, itself included; 0 says
	// that it does not aggregate.
	Members int
	Counts  Counts
}

// Status returns the gateway's part at a time.
func (x *Exchange) Status(now time.Time) Status {
	status := Status{Aggregator: x.own.aggregator, Members: len(x.sum.members), Counts: x.counts}
	if status.Aggregator != "" && status.Aggregator != x.name {
		status.SinceLastContact = now.Sub(x.own.heardAt)
	}
	return status
}

// count adds messages that were sent to the totals.
func (c *Counts) count(sent []Outgoing) {
	for i := range sent {
		if sent[i].Report != nil {
			c.ReportsSent++
			continue
		}
		c.DigestsSent++
	}
}
