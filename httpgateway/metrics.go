package httpgateway

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/dispatch"
	"github.com/deckpulley/deckpulley/loadexchange"
)

// metricsNamespace is the prefix of all metric names of this package.
const metricsNamespace = "deckpulley_http"

// codeServed is the value of the label code for requests whose complete response was
// relayed. For other requests the label is their dispatch.Code.
const codeServed = "served"

// metricsSource provides the values that a collector exports. Proxy implements it.
type metricsSource interface {
	Counts() dispatch.Counts
	Replicas() []api.HTTPReplicaStatus
	RetryBudgets() map[string]dispatch.RetryBudget
	LoadExchangeStatus() loadexchange.Status
}

// collector implements prometheus.Collector for a Proxy.
type collector struct {
	source   metricsSource
	requests *prometheus.Desc
	attempts *prometheus.Desc
	failures *prometheus.Desc
	retries  *prometheus.Desc
	resumed  *prometheus.Desc
	replicas *prometheus.Desc
	running  *prometheus.Desc
	budget   *prometheus.Desc
	used     *prometheus.Desc
	exchange loadExchangeDescriptions
}

func newCollector(source metricsSource) *collector {
	describe := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc(prometheus.BuildFQName(metricsNamespace, "", name), help, labels, nil)
	}
	return &collector{
		source:   source,
		requests: describe("requests_total", "Requests answered: served, or why not.", "code"),
		attempts: describe("attempts_total", "Attempts at replicas, retries included."),
		failures: describe("attempt_failures_total", "Attempts without a complete response, by failure.", "failure"),
		retries:  describe("retries_total", "Attempts after a first one that reached a replica."),
		resumed:  describe("resumed_total", "Streams that went on at another replica."),
		replicas: describe("replicas", "Replicas by service and state.", "service", "state"),
		running:  describe("running_requests", "Attempts of this gateway under way, by service.", "service"),
		budget:   describe("retry_budget_ratio", "Most retries for each first attempt in ten seconds, by service.", "service"),
		used:     describe("retry_ratio", "Retries for each first attempt in the last ten seconds, by service.", "service"),
		exchange: newLoadExchangeDescriptions(describe),
	}
}

// descriptions returns the descriptions of all metrics of the collector.
func (c *collector) descriptions() []*prometheus.Desc {
	own := []*prometheus.Desc{c.requests, c.attempts, c.failures, c.retries, c.resumed, c.replicas, c.running, c.budget, c.used}
	return append(own, c.exchange.all()...)
}

// Describe implements prometheus.Collector.
func (c *collector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, description := range c.descriptions() {
		descriptions <- description
	}
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(metrics chan<- prometheus.Metric) {
	counts := c.source.Counts()
	count := func(description *prometheus.Desc, value uint64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(description, prometheus.CounterValue, float64(value), labels...)
	}
	count(c.requests, counts.Served, codeServed)
	for code, value := range counts.Failed {
		count(c.requests, value, string(code))
	}
	for reason, value := range counts.FailedAttempts {
		count(c.failures, value, string(reason))
	}
	count(c.attempts, counts.Attempts)
	count(c.retries, counts.Retries)
	count(c.resumed, counts.Resumed)
	c.collectReplicas(metrics)
	c.collectBudgets(metrics)
	c.exchange.collect(c.source.LoadExchangeStatus(), metrics)
}

// collectBudgets sends the retry budget of each service and how much of it was used.
func (c *collector) collectBudgets(metrics chan<- prometheus.Metric) {
	for service, budget := range c.source.RetryBudgets() {
		metrics <- prometheus.MustNewConstMetric(c.budget, prometheus.GaugeValue, budget.Ratio, service)
		metrics <- prometheus.MustNewConstMetric(c.used, prometheus.GaugeValue, budget.Used, service)
	}
}

// collectReplicas sends the number of replicas by service and state, and the number of
// running requests by service.
func (c *collector) collectReplicas(metrics chan<- prometheus.Metric) {
	type group struct {
		service string
		state   api.HTTPReplicaState
	}
	states := make(map[group]int)
	running := make(map[string]int)
	for _, replica := range c.source.Replicas() {
		states[group{replica.Service, replica.State}]++
		running[replica.Service] += replica.Requests
	}
	for group, number := range states {
		metrics <- prometheus.MustNewConstMetric(c.replicas, prometheus.GaugeValue, float64(number), group.service, string(group.state))
	}
	for service, number := range running {
		metrics <- prometheus.MustNewConstMetric(c.running, prometheus.GaugeValue, float64(number), service)
	}
}
