package gateway

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/deckpulley/deckpulley/gateway/agent"
)

// agentCollector collects the counters with labels that the agent maintains.
type agentCollector struct {
	agent    *agent.Agent
	failures *prometheus.Desc
	fetches  *prometheus.Desc
}

func newAgentCollector(agent *agent.Agent) *agentCollector {
	description := func(name, help, label string) *prometheus.Desc {
		return prometheus.NewDesc(prometheus.BuildFQName(metricsNamespace, "", name), help, []string{label}, nil)
	}
	return &agentCollector{
		agent:    agent,
		failures: description("renewal_failures_total", "Renewals of the lease without a grant, by reason.", "reason"),
		fetches:  description("state_fetches_total", "Requests to other gateways for their state, by result.", "result"),
	}
}

// Describe implements prometheus.Collector.
func (c *agentCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- c.failures
	descriptions <- c.fetches
}

// Collect implements prometheus.Collector.
func (c *agentCollector) Collect(metrics chan<- prometheus.Metric) {
	status := c.agent.Status()
	for reason, count := range status.RenewalFailures {
		metrics <- prometheus.MustNewConstMetric(c.failures, prometheus.CounterValue, float64(count), string(reason))
	}
	for result, count := range status.Fetches {
		metrics <- prometheus.MustNewConstMetric(c.fetches, prometheus.CounterValue, float64(count), string(result))
	}
}
