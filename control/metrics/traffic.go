package metrics

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/deckpulley/deckpulley/control/message"
	"github.com/deckpulley/deckpulley/peer"
	"github.com/deckpulley/deckpulley/transport"
)

// kindNames are the label values of the kinds of messages that a control node sends or
// receives.
var kindNames = map[transport.Kind]string{
	0:                     "transport",
	peer.KindConsensus:    "consensus",
	peer.KindHello:        "hello",
	peer.KindBootstrap:    "form",
	peer.KindJoin:         "join",
	peer.KindRenew:        "renew",
	peer.KindNotify:       "notify",
	peer.KindUpdate:       "update",
	peer.KindOperation:    "order",
	message.KindDescribe:  "describe",
	message.KindReadIndex: "read_index",
	message.KindOverview:  "overview",
	peer.KindWhere:        "where",
}

func kindName(kind transport.Kind) string {
	if name, known := kindNames[kind]; known {
		return name
	}
	return strconv.Itoa(int(kind))
}

// countingNetwork is a network that counts its messages, as *transport.Node does.
type countingNetwork interface {
	// Counters returns the totals by kind of message.
	Counters() map[transport.Kind]transport.KindCounters
}

// RegisterTraffic adds the message counters of a network to the metrics, if the network
// has them.
func (m *Metrics) RegisterTraffic(network transport.Network) {
	if counting, counts := network.(countingNetwork); counts {
		m.Registry.MustRegister(newTrafficCollector(counting))
	}
}

// trafficCollector exports the network's message counters as metrics.
type trafficCollector struct {
	network  countingNetwork
	messages *prometheus.Desc
	bytes    *prometheus.Desc
	dropped  *prometheus.Desc
}

func newTrafficCollector(network countingNetwork) *trafficCollector {
	describe := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc(namespace+"_"+name, help, labels, nil)
	}
	return &trafficCollector{
		network:  network,
		messages: describe("peer_messages_total", "Messages between processes of the fleet, by kind and direction.", "kind", "direction"),
		bytes:    describe("peer_bytes_total", "Bytes of these messages with their framing, by kind and direction.", "kind", "direction"),
		dropped:  describe("peer_dropped_messages_total", "Messages given up at this node, by kind.", "kind"),
	}
}

// Describe implements prometheus.Collector.
func (c *trafficCollector) Describe(into chan<- *prometheus.Desc) {
	into <- c.messages
	into <- c.bytes
	into <- c.dropped
}

// Collect implements prometheus.Collector.
func (c *trafficCollector) Collect(into chan<- prometheus.Metric) {
	counter := func(desc *prometheus.Desc, value uint64, labels ...string) {
		into <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, float64(value), labels...)
	}
	for kind, counted := range c.network.Counters() {
		name := kindName(kind)
		counter(c.messages, counted.SentMessages, name, "sent")
		counter(c.messages, counted.ReceivedMessages, name, "received")
		counter(c.bytes, counted.SentBytes, name, "sent")
		counter(c.bytes, counted.ReceivedBytes, name, "received")
		counter(c.dropped, counted.DroppedMessages, name)
	}
}
