package httpgateway

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/deckpulley/deckpulley/loadexchange"
)

// loadExchangeDescriptions holds the descriptions of the metrics about the exchange of
// loads between gateways.
type loadExchangeDescriptions struct {
	members          *prometheus.Desc
	aggregator       *prometheus.Desc
	sinceLastContact *prometheus.Desc
	messages         *prometheus.Desc
	suspicions       *prometheus.Desc
}

// newLoadExchangeDescriptions creates the descriptions with describe, which adds the
// prefix of the metric names.
func newLoadExchangeDescriptions(describe func(name, help string, labels ...string) *prometheus.Desc) loadExchangeDescriptions {
	return loadExchangeDescriptions{
		members:          describe("exchange_members", "Gateways whose loads this one aggregates; 0 is none."),
		aggregator:       describe("exchange_aggregator", "The gateway that this one reports its loads to.", "aggregator"),
		sinceLastContact: describe("exchange_silence_seconds", "Time since the aggregator was heard; 0 at the aggregator."),
		messages:         describe("exchange_messages_total", "Messages of the exchange of loads.", "kind", "direction"),
		suspicions:       describe("exchange_suspicions_total", "Times that an aggregator timed out and was suspected to have failed."),
	}
}

func (d *loadExchangeDescriptions) all() []*prometheus.Desc {
	return []*prometheus.Desc{d.members, d.aggregator, d.sinceLastContact, d.messages, d.suspicions}
}

// collect sends the samples for a status of the load exchange to metrics.
func (d *loadExchangeDescriptions) collect(status loadexchange.Status, metrics chan<- prometheus.Metric) {
	gauge := func(description *prometheus.Desc, value float64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(description, prometheus.GaugeValue, value, labels...)
	}
	count := func(description *prometheus.Desc, value uint64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(description, prometheus.CounterValue, float64(value), labels...)
	}
	gauge(d.members, float64(status.Members))
	if status.Aggregator != "" {
		gauge(d.aggregator, 1, status.Aggregator)
	}
	gauge(d.sinceLastContact, status.SinceLastContact.Seconds())
	count(d.messages, status.Counts.ReportsSent, "report", "sent")
	count(d.messages, status.Counts.DigestsSent, "digest", "sent")
	count(d.messages, status.Counts.ReportsReceived, "report", "taken")
	count(d.messages, status.Counts.DigestsReceived, "digest", "taken")
	count(d.suspicions, status.Counts.Suspicions)
}
