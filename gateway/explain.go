package gateway

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/placement"
	"github.com/deckpulley/deckpulley/routing"
)

// defaultExplainRequestID is the id of a request without one. The id decides which
// requests are spilled, so it is part of the explanation.
const defaultExplainRequestID = "explained"

// explanation collects the steps of one decision.
type explanation struct {
	gateway *Gateway
	active  *catalog.State
	request *api.GenerateRequest
	answer  *api.ExplainAnswer
}

// serveExplain answers where a request would run. It only reads the state that
// decides.
func (g *Gateway) serveExplain(w http.ResponseWriter, r *http.Request) {
	var request api.GenerateRequest
	if failure := g.readRequest(w, r, &request); failure != nil {
		writeError(w, failure)
		return
	}
	if request.RequestID == "" {
		request.RequestID = defaultExplainRequestID
	}
	if failure := checkGenerate(&request); failure != nil {
		writeError(w, failure)
		return
	}
	active := g.agent.Active()
	if active == nil {
		writeError(w, newRetryableError(api.CodeNotReady, "the gateway has no copy of the registry yet"))
		return
	}
	writeJSON(w, http.StatusOK, g.explain(active, &request))
}

// explain makes the same decisions as for the request itself, without reserving
// anything.
func (g *Gateway) explain(active *catalog.State, request *api.GenerateRequest) *api.ExplainAnswer {
	explanation := &explanation{
		gateway: g,
		active:  active,
		request: request,
		answer: &api.ExplainAnswer{
			Gateway:              g.options.Info.Name,
			Region:               g.options.Info.Region,
			ConfigurationVersion: active.Version(),
			Serial:               active.Serial(),
			Regions:              []api.ExplainRegion{},
			Replicas:             []api.ExplainReplica{},
		},
	}
	resolved, failure := g.router.Resolve(*request, time.Now())
	explanation.lease()
	explanation.route(&resolved)
	explanation.home(&resolved)
	explanation.client()
	explanation.ticket()
	if failure != nil {
		explanation.refuse(failure)
		return explanation.answer
	}
	explanation.regions(&resolved)
	return explanation.answer
}

// step appends a step of the decision.
func (e *explanation) step(step, result, reason string, arguments ...any) {
	e.answer.Steps = append(e.answer.Steps, api.ExplainStep{Step: step, Result: result, Reason: fmt.Sprintf(reason, arguments...)})
}

// refuse records the first refusal, which is the one that the request would get.
func (e *explanation) refuse(failure *api.Error) {
	if e.answer.Error == nil {
		e.answer.Error = failure
	}
}

// lease explains whether the gateway may place requests.
func (e *explanation) lease() {
	if failure := e.gateway.checkServing(); failure != nil {
		e.step("lease", "refused", "%s", failure.Message)
		e.refuse(failure)
		return
	}
	remainingMS := e.gateway.agent.Remaining().Milliseconds()
	e.step("lease", "valid", "%d ms left; configuration version %d, serial %d decide", remainingMS, e.active.Version(), e.active.Serial())
}

// route explains the route, service and class of the request.
func (e *explanation) route(resolved *routing.Request) {
	route, known := e.active.Route(e.request.Model)
	if !known {
		e.step("route", "none", "no route for model %q", e.request.Model)
		return
	}
	e.step("route", e.request.Model, "route of the configuration")
	service, known := e.active.Service(route.Service)
	if !known {
		e.step("service", "none", "the route names service %q, which is not configured", route.Service)
		return
	}
	e.step("service", route.Service, "named by the route; kind %s", service.Kind)
	e.step("class", string(resolved.Class), "%s", classReason(e.request, route))
}

// classReason says what determined the class of the request.
func classReason(request *api.GenerateRequest, route catalog.Route) string {
	switch {
	case request.Class != "":
		return "named by the request"
	case route.Class != "":
		return "named by the route"
	default:
		return "by the kind of service and whether the answer is streamed"
	}
}

// home explains the home rules of the request and the regions that satisfy all of
// them.
func (e *explanation) home(resolved *routing.Request) {
	var rules []string
	add := func(source, name string) {
		if name == "" {
			return
		}
		home, _ := e.active.Home(name)
		rules = append(rules, fmt.Sprintf("%s: %s = %s", source, name, strings.Join(home.Regions, ", ")))
	}
	route, _ := e.active.Route(e.request.Model)
	tenant, _ := e.active.Tenant(e.request.Tenant)
	add("request", e.request.Home)
	add("route", route.Home)
	add("tenant "+e.request.Tenant, tenant.Home)
	if len(rules) == 0 {
		e.step("home", "any region", "neither request, route nor tenant names a home rule")
		return
	}
	remaining := strings.Join(resolved.Home, ", ")
	if remaining == "" {
		remaining = "no region"
	}
	e.step("home", remaining, "regions in common of %s", strings.Join(rules, "; "))
}

// client explains the region of the client.
func (e *explanation) client() {
	own := e.answer.Region
	if e.request.Client == "" {
		e.step("client region", own, "the request names no client: the region of this gateway")
		return
	}
	client, known := e.active.Client(e.request.Client)
	if !known {
		e.step("client region", own, "client %q is not configured: the region of this gateway", e.request.Client)
		return
	}
	e.step("client region", client.Region, "client %q is served there", e.request.Client)
}

// ticket explains whether the request needs a ticket.
func (e *explanation) ticket() {
	if e.request.Repeatable {
		e.step("ticket", "not needed", "the request is repeatable")
		return
	}
	e.step("ticket", "needed", "the request must not run twice: it goes where %s sends it, by the same steps", api.PathWhere)
}

// regions explains the order of the regions, and the replicas of the own one.
func (e *explanation) regions(resolved *routing.Request) {
	order := e.gateway.router.Regions(*resolved)
	service := e.service(resolved.Service)
	for _, region := range service.Regions {
		e.answer.Regions = append(e.answer.Regions, api.ExplainRegion{
			Region:     region.Name,
			Rank:       slices.Index(order, region.Name) + 1,
			Load:       region.Load,
			Knowledge:  freshnessName(region.LoadFreshness),
			Usable:     region.Usable,
			TakesSpill: region.AcceptsSpill,
		})
	}
	if len(order) == 0 {
		failure := e.gateway.router.Rejection(*resolved)
		e.step("regions", "none", "%s", failure.Message)
		e.refuse(failure)
	} else {
		e.step("regions", strings.Join(order, ", "), "order of attempts; %.0f%% of this region's own requests are sent elsewhere now", 100*spillFraction(&service))
	}
	e.replicas(resolved, &service, order)
}

// service returns the status of a service; its zero value if there is none.
func (e *explanation) service(name string) routing.ServiceStatus {
	for _, service := range e.gateway.router.Status().Services {
		if service.Service == name {
			return service
		}
	}
	return routing.ServiceStatus{}
}

// replicas explains the choice of the replica.
func (e *explanation) replicas(resolved *routing.Request, service *routing.ServiceStatus, order []string) {
	tokens := float64(resolved.PromptTokens)
	for _, prefix := range resolved.Prefixes {
		tokens += float64(prefix.Tokens)
	}
	for _, member := range service.Members {
		expected := member.Expected.FirstToken(tokens)
		e.answer.Replicas = append(e.answer.Replicas, api.ExplainReplica{
			Replica:      member.Replica,
			State:        replicaState(&member),
			InFlight:     member.InFlight,
			Others:       member.InFlightElsewhere,
			Limit:        member.Limit,
			FirstTokenMS: time.Duration(expected * float64(time.Second)).Milliseconds(),
		})
	}
	if len(order) == 0 {
		return
	}
	if order[0] != e.answer.Region {
		e.step("replica", "chosen there", "a gateway of region %s is asked for a slot; the replicas below are those of region %s", order[0], e.answer.Region)
		return
	}
	e.step("replica", fmt.Sprintf("one of %d usable", service.Usable), "least expected first token, and what the prefix costs elsewhere; %d wait in the queue", service.Queued)
}

// replicaState says why a replica gets no new requests from this gateway, the most
// permanent reason first.
func replicaState(member *routing.ReplicaStatus) string {
	switch {
	case member.Draining:
		return "draining"
	case member.StateUnknown:
		return "unknown: the last poll was not answered"
	case member.Ejected:
		return "ejected: it fails more than the others"
	case member.WarmingUp && !member.Usable:
		return "cold: another gateway feeds it"
	case member.WarmingUp:
		return "usable, cold: fed by this gateway"
	case !member.Usable:
		return "closed: suspected, evacuated, or its condition is not up"
	default:
		return "usable"
	}
}

// freshnessName is the name of a freshness in the API.
func freshnessName(freshness placement.LoadFreshness) string {
	switch freshness {
	case placement.Fresh:
		return "fresh"
	case placement.Stale:
		return "stale"
	default:
		return "unheard"
	}
}

// spillController is the controller of a service whose output is the fraction of the
// region's own requests that are spilled.
const spillController = "utilization"

// spillFraction returns the fraction of a service's own requests that are spilled.
func spillFraction(service *routing.ServiceStatus) float64 {
	for _, controller := range service.Controllers {
		if controller.Name == spillController {
			return controller.Output
		}
	}
	return 0
}
