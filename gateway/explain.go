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

// defaultExplainRequestID is used if the request to explain has no id. Which requests
// are spilled depends on their ids, so the explanation needs one.
const defaultExplainRequestID = "explained"

// explanation collects the steps of the routing decision for one request.
type explanation struct {
	gateway *Gateway
	active  *catalog.State
	request *api.GenerateRequest
	answer  *api.ExplainAnswer
}

// serveExplain handles api.PathExplain: it answers where a request would run and why. It
// changes no state.
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

// explain makes the same routing decisions as for a real request, but reserves no
// capacity and sends nothing.
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

// refuse records why the request would be refused. Only the first refusal is recorded,
// since a real request would get that one.
func (e *explanation) refuse(failure *api.Error) {
	if e.answer.Error == nil {
		e.answer.Error = failure
	}
}

// lease explains whether the gateway has a lease and a copy of the registry, without
// which it places no requests.
func (e *explanation) lease() {
	if failure := e.gateway.checkServing(); failure != nil {
		e.step("lease", "refused", "%s", failure.Message)
		e.refuse(failure)
		return
	}
	remainingMS := e.gateway.agent.Remaining().Milliseconds()
	e.step("lease", "valid", "%d ms left; requests are placed by configuration version %d, registry serial %d", remainingMS, e.active.Version(), e.active.Serial())
}

// route explains the route, service and class of the request.
func (e *explanation) route(resolved *routing.Request) {
	route, known := e.active.Route(e.request.Model)
	if !known {
		e.step("route", "none", "no route for model %q", e.request.Model)
		return
	}
	e.step("route", e.request.Model, "the configuration has a route for this model")
	service, known := e.active.Service(route.Service)
	if !known {
		e.step("service", "none", "the route refers to service %q, which is not configured", route.Service)
		return
	}
	e.step("service", route.Service, "the service of the route; its kind is %s", service.Kind)
	e.step("class", string(resolved.Class), "%s", classReason(e.request, route))
}

// classReason describes what determined the class of the request.
func classReason(request *api.GenerateRequest, route catalog.Route) string {
	switch {
	case request.Class != "":
		return "set by the request"
	case route.Class != "":
		return "set by the route"
	default:
		return "derived from the kind of the service and from whether the answer is streamed"
	}
}

// home explains which home rules apply to the request and which regions satisfy all of
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
		e.step("home", "any region", "neither the request, the route nor the tenant has a home rule")
		return
	}
	remaining := strings.Join(resolved.Home, ", ")
	if remaining == "" {
		remaining = "no region"
	}
	e.step("home", remaining, "the regions that these rules have in common: %s", strings.Join(rules, "; "))
}

// client explains which region the client of the request is assigned to.
func (e *explanation) client() {
	own := e.answer.Region
	if e.request.Client == "" {
		e.step("client region", own, "the request names no client, so the region of this gateway is used")
		return
	}
	client, known := e.active.Client(e.request.Client)
	if !known {
		e.step("client region", own, "client %q is not configured, so the region of this gateway is used", e.request.Client)
		return
	}
	e.step("client region", client.Region, "the configured region of client %q", e.request.Client)
}

// ticket explains whether the request needs a ticket.
func (e *explanation) ticket() {
	if e.request.Repeatable {
		e.step("ticket", "not needed", "the request is repeatable")
		return
	}
	e.step("ticket", "needed", "the request must not run twice: send it to the gateway that %s returns, which is chosen by the same steps", api.PathWhere)
}

// regions explains the order in which the regions are tried, and the choice of a replica
// in this gateway's region.
func (e *explanation) regions(resolved *routing.Request) {
	order := e.gateway.router.Regions(*resolved)
	service := e.service(resolved.Service)
	for _, region := range service.Regions {
		e.answer.Regions = append(e.answer.Regions, api.ExplainRegion{
			Region:        region.Name,
			Rank:          slices.Index(order, region.Name) + 1,
			Load:          region.Load,
			LoadFreshness: freshnessName(region.LoadFreshness),
			Usable:        region.Usable,
			AcceptsSpill:  region.AcceptsSpill,
		})
	}
	if len(order) == 0 {
		failure := e.gateway.router.Rejection(*resolved)
		e.step("regions", "none", "%s", failure.Message)
		e.refuse(failure)
	} else {
		e.step("regions", strings.Join(order, ", "), "the order in which they are tried; %.0f%% of this region's own requests are currently sent to other regions", 100*spillFraction(&service))
	}
	e.replicas(resolved, &service, order)
}

// service returns the status of a service, or the zero value if the router does not know
// it.
func (e *explanation) service(name string) routing.ServiceStatus {
	for _, service := range e.gateway.router.Status().Services {
		if service.Service == name {
			return service
		}
	}
	return routing.ServiceStatus{}
}

// replicas lists the replicas of this gateway's region and explains how one of them is
// chosen.
func (e *explanation) replicas(resolved *routing.Request, service *routing.ServiceStatus, order []string) {
	tokens := float64(resolved.PromptTokens)
	for _, prefix := range resolved.Prefixes {
		tokens += float64(prefix.Tokens)
	}
	for _, member := range service.ReplicaStatuses {
		expected := member.Candidate.TimeToFirstToken(tokens)
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
		e.step("replica", "chosen there", "a gateway of region %s chooses the replica; the replicas listed here are those of region %s", order[0], e.answer.Region)
		return
	}
	e.step("replica", fmt.Sprintf("one of %d usable", service.Usable), "the one with the lowest cost: the expected time to the first token, plus the delay that the prefill of an uncached prefix causes for other requests on the replica; %d requests are queued", service.Queued)
}

// replicaState describes whether this gateway sends new requests to a replica. If it
// does not for several reasons, the most permanent one is given.
func replicaState(member *routing.ReplicaStatus) string {
	switch {
	case member.Draining:
		return "draining"
	case member.StateUnknown:
		return "unknown: the last poll was not answered"
	case member.Ejected:
		return "ejected: its requests fail more often than those of other replicas"
	case member.WarmingUp && !member.Usable:
		return "cold: another gateway serves it during its warm-up"
	case member.WarmingUp:
		return "usable, cold: this gateway serves it during its warm-up"
	case !member.Usable:
		return "closed: it is suspected to have failed, its zone is evacuated, or its condition is not up"
	default:
		return "usable"
	}
}

// freshnessName returns the API's name for the freshness of a region's load.
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

// spillController is the name of the feedback controller whose output is the fraction of
// a service's requests in this region that are spilled to other regions.
const spillController = "utilization"

// spillFraction returns the fraction of a service's requests in this region that are
// spilled to other regions.
func spillFraction(service *routing.ServiceStatus) float64 {
	for _, controller := range service.Controllers {
		if controller.Name == spillController {
			return controller.Output
		}
	}
	return 0
}
