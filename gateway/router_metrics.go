package gateway

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/deckpulley/deckpulley/feedback"
	"github.com/deckpulley/deckpulley/routing"
)

// routerCollector exports the status of the router as metrics: the set point, filtered
// measurement and output of each feedback controller, and the state of each service.
type routerCollector struct {
	router    RouterStatus
	setPoint  *prometheus.Desc
	measured  *prometheus.Desc
	output    *prometheus.Desc
	service   *prometheus.Desc
	replicas  *prometheus.Desc
	suspicion *prometheus.Desc
}

func describe(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(metricsNamespace+"_"+name, help, labels, nil)
}

func newRouterCollector(router RouterStatus) *routerCollector {
	return &routerCollector{
		router:    router,
		setPoint:  describe("controller_set_point", "Set point of a controller.", "controller", "service"),
		measured:  describe("controller_measured", "Measured value of a controller.", "controller", "service"),
		output:    describe("controller_output", "Output of a controller.", "controller", "service"),
		service:   describe("service_requests", "Requests of a service in the own region: limit, in flight, queued.", "service", "kind"),
		replicas:  describe("service_replicas", "Replicas of a service in the own region, by state.", "service", "state"),
		suspicion: describe("replica_suspicion", "Suspicion of the failure detector (phi).", "replica", "service"),
	}
}

// Describe implements prometheus.Collector.
func (c *routerCollector) Describe(into chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{c.setPoint, c.measured, c.output, c.service, c.replicas, c.suspicion} {
		into <- desc
	}
}

// Collect implements prometheus.Collector.
func (c *routerCollector) Collect(into chan<- prometheus.Metric) {
	status := c.router.Status()
	c.collectController(into, status.Retry, "")
	for _, service := range status.Services {
		for _, controller := range service.Controllers {
			c.collectController(into, controller, service.Service)
		}
		c.collectService(into, &service)
	}
}

func gauge(into chan<- prometheus.Metric, desc *prometheus.Desc, value float64, labels ...string) {
	into <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, labels...)
}

func (c *routerCollector) collectController(into chan<- prometheus.Metric, status feedback.Status, service string) {
	gauge(into, c.setPoint, status.SetPoint, status.Name, service)
	gauge(into, c.measured, status.Measured, status.Name, service)
	gauge(into, c.output, status.Output, status.Name, service)
}

func (c *routerCollector) collectService(into chan<- prometheus.Metric, service *routing.ServiceStatus) {
	name := service.Service
	gauge(into, c.service, float64(service.Limit), name, "limit")
	gauge(into, c.service, float64(service.InFlight), name, "in_flight")
	gauge(into, c.service, float64(service.Queued), name, "queued")
	gauge(into, c.replicas, float64(service.Replicas), name, "listed")
	gauge(into, c.replicas, float64(service.Usable), name, "usable")
	gauge(into, c.replicas, float64(service.Ejected), name, "ejected")
	gauge(into, c.replicas, float64(service.WarmingUp), name, "cold")
	gauge(into, c.replicas, float64(service.Draining), name, "draining")
	for _, member := range service.ReplicaStatuses {
		gauge(into, c.suspicion, member.Suspicion, member.Replica, name)
	}
}
