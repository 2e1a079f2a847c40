package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/ticket"
)

// metricsNamespace is the prefix of the names of all metrics.
const metricsNamespace = "deckpulley_gateway"

// codeNone is the value of the label "code" for requests without an error.
const codeNone = "none"

// latencyBuckets, in seconds, range from cached answers to the longest requests, such as
// reviews.
var latencyBuckets = []float64{.005, .01, .02, .05, .1, .2, .35, .5, .7, .92, 1.5, 2.5, 5, 10, 20, 40, 80}

// metrics holds the counters and histograms of a gateway.
type metrics struct {
	requests   *prometheus.CounterVec
	where      *prometheus.CounterVec
	latency    *prometheus.HistogramVec
	firstEvent *prometheus.HistogramVec
	attempts   prometheus.Counter
	failures   *prometheus.CounterVec
	retries    *prometheus.CounterVec
	spills     *prometheus.CounterVec
	tickets    *prometheus.CounterVec
	polls      *prometheus.CounterVec
	updates    *prometheus.CounterVec
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: metricsNamespace, Name: name, Help: help}, labels)
}

func histogram(name, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: metricsNamespace, Name: name, Help: help, Buckets: latencyBuckets}, labels)
}

// newMetrics creates the gateway's metrics registry and registers all metrics in it.
func (g *Gateway) newMetrics() {
	m := &metrics{
		requests:   counter("requests_total", "Requests by class, outcome and error code.", "class", "outcome", "code"),
		where:      counter("where_total", "Questions where to go, by error code.", "code"),
		latency:    histogram("request_seconds", "Time until the complete response of a successful request, in seconds.", "class"),
		firstEvent: histogram("first_event_seconds", "Time to the first event of a stream.", "class"),
		attempts: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: metricsNamespace, Name: "attempts_total", Help: "Requests sent to replicas, retries included.",
		}),
		failures: counter("attempt_failures_total", "Attempts without an answer, by error code and outcome.", "code", "outcome"),
		retries:  counter("retries_total", "Retries that the budget allowed or denied.", "decision"),
		spills:   counter("spills_total", "Offers to other regions, by how they ended.", "end"),
		tickets:  counter("tickets_total", "Tickets issued and presented, by what became of them.", "event"),
		polls:    counter("polls_total", "Polls of replicas' reports.", "result"),
		updates:  counter("condition_updates_total", "Conditional updates about replicas, by response code.", "code"),
	}
	g.metrics = m
	g.registry = prometheus.NewRegistry()
	g.registry.MustRegister(
		m.requests, m.where, m.latency, m.firstEvent, m.attempts, m.failures, m.retries, m.spills, m.tickets, m.polls, m.updates,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	g.registry.MustRegister(newRouterCollector(g.router))
	if g.options.HTTPProxy != nil {
		g.registry.MustRegister(g.options.HTTPProxy.Collector())
	}
	g.registerGauges()
	g.registerRenewals()
}

// registerGauges registers the gauges, whose values are computed at each scrape.
func (g *Gateway) registerGauges() {
	gauges := []struct {
		name, help string
		value      func() float64
	}{
		{"lease_seconds", "Time left of the lease; 0 is none.", func() float64 { return g.agent.Remaining().Seconds() }},
		{"held_serial", "Newest registry serial received from the primary.", func() float64 { return float64(g.agent.Status().ReceivedSerial) }},
		{"active_serial", "Registry serial that decides.", func() float64 { return float64(g.agent.Status().ActiveSerial) }},
		{"active_version", "Configuration version that decides.", func() float64 { return float64(g.agent.Status().ActiveVersion) }},
		{"primary_term", "Newest term seen of a primary.", func() float64 { return float64(g.agent.Status().Term) }},
		{"renewal_age_seconds", "Time since the last granted renewal.", func() float64 { return g.agent.Status().SinceGrant.Seconds() }},
		{"newest_heard_serial", "Newest active serial that another gateway has reported.", func() float64 { return float64(g.agent.Status().NewestHeardSerial) }},
		{"running_requests", "Requests in progress.", func() float64 { return float64(g.activity.current()) }},
		{"ledger_tickets", "Tickets remembered.", func() float64 { return float64(g.tickets.size()) }},
	}
	for _, gauge := range gauges {
		options := prometheus.GaugeOpts{Namespace: metricsNamespace, Name: gauge.name, Help: gauge.help}
		g.registry.MustRegister(prometheus.NewGaugeFunc(options, gauge.value))
	}
}

// registerRenewals registers the counters of lease renewals, which the agent maintains.
func (g *Gateway) registerRenewals() {
	granted := prometheus.CounterOpts{Namespace: metricsNamespace, Name: "renewals_granted_total", Help: "Renewals of the lease that were granted."}
	refused := prometheus.CounterOpts{Namespace: metricsNamespace, Name: "renewals_refused_total", Help: "Renewals of the lease without a grant."}
	g.registry.MustRegister(
		prometheus.NewCounterFunc(granted, func() float64 { return float64(g.agent.Status().GrantedRenewals) }),
		prometheus.NewCounterFunc(refused, func() float64 { return float64(g.agent.Status().RejectedRenewals) }),
	)
	g.registry.MustRegister(newAgentCollector(g.agent))
}

// classLabel returns the value of the label "class" for a request.
func classLabel(class api.Class) string {
	if class == "" {
		return "default"
	}
	return string(class)
}

// observeRequest counts a finished request and, if it succeeded, observes its latency.
func (m *metrics) observeRequest(request *api.GenerateRequest, failure *api.Error, started time.Time) {
	class := classLabel(request.Class)
	if checkClass(request.Class) != nil {
		class = "invalid"
	}
	if failure != nil {
		m.requests.WithLabelValues(class, string(failure.Outcome), string(failure.Code)).Inc()
		return
	}
	m.requests.WithLabelValues(class, string(api.OutcomeSuccess), codeNone).Inc()
	m.latency.WithLabelValues(class).Observe(time.Since(started).Seconds())
}

// observeFirstEvent observes the time until the first event of a streamed response.
func (m *metrics) observeFirstEvent(request *api.GenerateRequest, started time.Time) {
	m.firstEvent.WithLabelValues(classLabel(request.Class)).Observe(time.Since(started).Seconds())
}

// observeWhere counts a lookup of the gateway for a request.
func (m *metrics) observeWhere(failure *api.Error) {
	if failure == nil {
		m.where.WithLabelValues(codeNone).Inc()
		return
	}
	m.where.WithLabelValues(string(failure.Code)).Inc()
}

// observeAttemptFailure counts a failed attempt. All refusals by replicas are counted
// under one code, because replicas could otherwise create any number of series.
func (m *metrics) observeAttemptFailure(failure *api.Error) {
	code := string(failure.Code)
	if failure.Outcome == api.OutcomeRefused {
		code = "replica_refused"
	}
	m.failures.WithLabelValues(code, string(failure.Outcome)).Inc()
}

// observeTicketUse counts the use of a ticket under its result.
func (m *metrics) observeTicketUse(result ticket.UseResult) {
	events := map[ticket.UseResult]string{
		ticket.UseStart:    "run",
		ticket.UseJoin:     "joined",
		ticket.UseExpired:  "expired",
		ticket.UseUnknown:  "forgotten",
		ticket.UseConflict: "conflict",
	}
	m.tickets.WithLabelValues(events[result]).Inc()
}
