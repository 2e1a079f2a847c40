package control

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// metrics are the node's own; each node has a registry of its own, so that many
// nodes can run in one process.
type metrics struct {
	registry *prometheus.Registry

	term             prometheus.Gauge
	primary          prometheus.Gauge
	commitIndex      prometheus.Gauge
	appliedIndex     prometheus.Gauge
	serial           prometheus.Gauge
	inForceSerial    prometheus.Gauge
	version          prometheus.Gauge
	elections        prometheus.Counter
	snapshots        prometheus.Counter
	updates          *prometheus.CounterVec
	renewals         *prometheus.CounterVec
	orders           *prometheus.CounterVec
	syncSeconds      prometheus.Histogram
	inForceSeconds   prometheus.Histogram
	droppedMessages  prometheus.Counter
	foreignMessages  prometheus.Counter
	unknownAddresses prometheus.Counter
}

const metricsNamespace = "deckpulley_control"

func newMetrics() *metrics {
	m := &metrics{registry: prometheus.NewRegistry()}
	m.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	gauge := func(name, help string) prometheus.Gauge {
		created := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: metricsNamespace, Name: name, Help: help})
		m.registry.MustRegister(created)
		return created
	}
	counter := func(name, help string) prometheus.Counter {
		created := prometheus.NewCounter(prometheus.CounterOpts{Namespace: metricsNamespace, Name: name, Help: help})
		m.registry.MustRegister(created)
		return created
	}
	labeled := func(name, help, label string) *prometheus.CounterVec {
		created := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: metricsNamespace, Name: name, Help: help}, []string{label})
		m.registry.MustRegister(created)
		return created
	}
	histogram := func(name, help string, buckets []float64) prometheus.Histogram {
		created := prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: metricsNamespace, Name: name, Help: help, Buckets: buckets})
		m.registry.MustRegister(created)
		return created
	}
	m.term = gauge("term", "Term of the replicated log that this node knows.")
	m.primary = gauge("primary", "1 while this node is the primary and may answer.")
	m.commitIndex = gauge("commit_index", "Newest committed index of the log that this node knows.")
	m.appliedIndex = gauge("applied_index", "Newest index that is in this node's table.")
	m.serial = gauge("serial", "Serial of this node's table.")
	m.inForceSerial = gauge("in_force_serial", "Newest serial known to be active at every lease holder; 0 if unknown or not primary.")
	m.version = gauge("configuration_version", "Configuration version in this node's table.")
	m.elections = counter("elections_won_total", "Elections that this node has won.")
	m.snapshots = counter("snapshots_total", "Snapshots that this node has taken.")
	m.updates = labeled("updates_total", "Updates applied, by response code.", "code")
	m.renewals = labeled("renewals_total", "Lease renewals decided, by decision.", "decision")
	m.orders = labeled("orders_total", "Orders answered at this node, by answer.", "answer")
	m.syncSeconds = histogram("sync_seconds", "Time of one synced write to the disk, in seconds.", prometheus.ExponentialBuckets(0.0001, 2, 16))
	m.inForceSeconds = histogram("in_force_seconds", "Time from the commit of an order until it was in force everywhere, in seconds.", prometheus.ExponentialBuckets(0.001, 2, 14))
	m.droppedMessages = counter("dropped_messages_total", "Messages of the log dropped because the event queue was full.")
	m.foreignMessages = counter("foreign_messages_total", "Messages of the log dropped because they belong to another group.")
	m.unknownAddresses = counter("unknown_addresses_total", "Messages of the log not sent for want of the member's address.")
	return m
}

// observe copies an observation into the gauges.
func (m *metrics) observe(o *observation) {
	m.term.Set(float64(o.status.Term))
	m.commitIndex.Set(float64(o.status.Commit))
	m.appliedIndex.Set(float64(o.applied))
	m.serial.Set(float64(o.serial))
	m.inForceSerial.Set(float64(o.inForce))
	primary := 0.0
	if o.primary {
		primary = 1
	}
	m.primary.Set(primary)
	if o.contents != nil {
		m.version.Set(float64(o.contents.Version()))
	}
}
