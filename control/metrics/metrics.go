// Package metrics defines the Prometheus metrics of a control node.
package metrics

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// Metrics are the metrics of one node. Each node has its own Prometheus registry, so that
// many nodes can run in one process. The help texts in New describe each metric.
type Metrics struct {
	Registry *prometheus.Registry

	Term             prometheus.Gauge
	Primary          prometheus.Gauge
	CommitIndex      prometheus.Gauge
	AppliedIndex     prometheus.Gauge
	Serial           prometheus.Gauge
	InForceSerial    prometheus.Gauge
	Version          prometheus.Gauge
	Elections        prometheus.Counter
	Snapshots        prometheus.Counter
	Updates          *prometheus.CounterVec
	Renewals         *prometheus.CounterVec
	Operations       *prometheus.CounterVec
	Lookups          *prometheus.CounterVec
	SyncSeconds      prometheus.Histogram
	InForceSeconds   prometheus.Histogram
	DroppedMessages  prometheus.Counter
	ForeignMessages  prometheus.Counter
	UnknownAddresses prometheus.Counter
	DiskFull         prometheus.Gauge
}

const namespace = "deckpulley_control"

// New returns the metrics of one node, all zero.
func New() *Metrics {
	m := &Metrics{Registry: prometheus.NewRegistry()}
	m.Registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	gauge := func(name, help string) prometheus.Gauge {
		created := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
		m.Registry.MustRegister(created)
		return created
	}
	counter := func(name, help string) prometheus.Counter {
		created := prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
		m.Registry.MustRegister(created)
		return created
	}
	labeled := func(name, help, label string) *prometheus.CounterVec {
		created := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, []string{label})
		m.Registry.MustRegister(created)
		return created
	}
	histogram := func(name, help string, buckets []float64) prometheus.Histogram {
		created := prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets})
		m.Registry.MustRegister(created)
		return created
	}
	m.Term = gauge("term", "Term of the replicated log that this node knows.")
	m.Primary = gauge("primary", "1 while this node is the primary and may answer.")
	m.CommitIndex = gauge("commit_index", "Newest committed index of the log that this node knows.")
	m.AppliedIndex = gauge("applied_index", "Newest index that is in this node's table.")
	m.Serial = gauge("serial", "Serial of this node's table.")
	m.InForceSerial = gauge("in_force_serial", "Newest serial known to be active at every lease holder; 0 if unknown or not primary.")
	m.Version = gauge("configuration_version", "Configuration version in this node's table.")
	m.Elections = counter("elections_won_total", "Elections that this node has won.")
	m.Snapshots = counter("snapshots_total", "Snapshots that this node has taken.")
	m.Updates = labeled("updates_total", "Updates applied, by response code.", "code")
	m.Renewals = labeled("renewals_total", "Lease renewals decided, by decision.", "decision")
	m.Lookups = labeled("lookups_total", "Lookups of gateways for clients, by result.", "result")
	m.Operations = labeled("orders_total", "Orders answered at this node, by answer.", "answer")
	m.SyncSeconds = histogram("sync_seconds", "Time of one synced write to the disk, in seconds.", prometheus.ExponentialBuckets(0.0001, 2, 16))
	m.InForceSeconds = histogram("in_force_seconds", "Time from the commit of an order until it was in force everywhere, in seconds.", prometheus.ExponentialBuckets(0.001, 2, 14))
	m.DroppedMessages = counter("dropped_messages_total", "Messages of the log dropped because the event queue was full.")
	m.ForeignMessages = counter("foreign_messages_total", "Messages of the log dropped because they belong to another group.")
	m.UnknownAddresses = counter("unknown_addresses_total", "Messages of the log not sent for want of the member's address.")
	m.DiskFull = gauge("disk_full", "1 while this node does not participate because its disk is full.")
	return m
}
