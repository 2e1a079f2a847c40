package gateway

import (
	"context"
	"net/http"
	"net/http/pprof"
	"slices"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/catalog"
	"github.com/deckpulley/deckpulley/peer"
)

const (
	// operationTimeout bounds the wait for the primary's reply to an operation.
	operationTimeout = 10 * time.Second
	// operatorWriteTimeout bounds the time to write a response, and leaves enough time for
	// the 30 s of a CPU profile.
	operatorWriteTimeout = time.Minute
	// maxOperatorConnections bounds the open connections of the operators' port.
	maxOperatorConnections = 256
)

// OperatorsServer returns the HTTP server for operators and the platform. It has no
// listener yet: whoever calls this method serves and closes it.
func (g *Gateway) OperatorsServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc(api.PathStatus, requireMethod(http.MethodGet, g.serveStatus))
	mux.HandleFunc(api.PathReplicas, g.serveReplicas)
	mux.HandleFunc(api.PathExplain, requireMethod(http.MethodPost, g.serveExplain))
	mux.HandleFunc(api.PathHTTPReplicas, requireMethod(http.MethodGet, g.serveHTTPReplicas))
	mux.Handle(api.PathMetrics, promhttp.HandlerFor(g.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/cmdline", pprof.Cmdline)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
	mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	g.addHealth(mux)
	return g.newServer(withWriteDeadline(mux), maxOperatorConnections)
}

// withWriteDeadline sets the write deadline of each response. Otherwise the shorter
// deadline that writeJSON sets would still apply to the next response on the same
// connection.
func withWriteDeadline(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		deadline := time.Now().Add(operatorWriteTimeout)
		if err := http.NewResponseController(w).SetWriteDeadline(deadline); err != nil {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// serveStatus handles api.PathStatus: it answers the state of this gateway and what it
// knows of the control plane.
func (g *Gateway) serveStatus(w http.ResponseWriter, _ *http.Request) {
	status := g.agent.Status()
	info := g.options.Info
	answer := api.StatusAnswer{
		Node:     info.Name,
		Primary:  status.Primary, // its peer address, since gateways don't know its name
		Term:     status.Term,
		Serial:   status.ReceivedSerial,
		Version:  status.ActiveVersion,
		Members:  []api.MemberStatus{g.ownStatus()},
		Degraded: g.degradedReasons(),
		Services: g.serviceLoads(),
	}
	if status.LeaseRemaining > 0 {
		answer.Leases = 1
	}
	writeJSON(w, http.StatusOK, answer)
}

// ownStatus returns the status of this gateway in the form for members of the fleet.
func (g *Gateway) ownStatus() api.MemberStatus {
	status := g.agent.Status()
	info := g.options.Info
	return api.MemberStatus{
		Name:           info.Name,
		Role:           "gateway",
		Zone:           info.Zone,
		Region:         info.Region,
		Incarnation:    info.Incarnation,
		PeerAddress:    info.PeerAddress,
		HTTPAddress:    info.HTTPAddress,
		Up:             !g.draining.Load(),
		LeaseMS:        status.LeaseRemaining.Milliseconds(),
		ReceivedSerial: status.ReceivedSerial,
		ActiveSerial:   status.ActiveSerial,
		ActiveVersion:  status.ActiveVersion,
	}
}

// serviceLoads returns the load of each service in this gateway's region.
func (g *Gateway) serviceLoads() []api.ServiceLoad {
	var loads []api.ServiceLoad
	for _, service := range g.router.Status().Services {
		load := api.ServiceLoad{
			Service:     service.Service,
			Region:      g.options.Info.Region,
			Utilization: service.Utilization,
			Spill:       spillFraction(&service),
			Limit:       service.Limit,
			InFlight:    service.InFlight,
			Queued:      service.Queued,
			Replicas:    service.Replicas,
			Usable:      service.Usable,
			WarmingUp:   service.WarmingUp,
			Draining:    service.Draining,
			Ejected:     service.Ejected,
		}
		for _, controller := range service.Controllers {
			if controller.Name == spillController {
				load.SetPoint = controller.SetPoint
			}
		}
		loads = append(loads, load)
	}
	return loads
}

// serveReplicas handles api.PathReplicas: GET lists the replicas, PUT forwards a new list
// of replicas to the primary.
func (g *Gateway) serveReplicas(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
		g.listReplicas(w)
	case http.MethodPut:
		g.forwardReplicas(w, r)
	default:
		w.Header().Set("Allow", "GET, PUT")
		writeJSON(w, http.StatusMethodNotAllowed, api.ErrorBody{Error: newInvalidError("method", "must be GET or PUT")})
	}
}

// serveHTTPReplicas handles api.PathHTTPReplicas: it lists the replicas to which the HTTP
// proxy forwards requests.
func (g *Gateway) serveHTTPReplicas(w http.ResponseWriter, _ *http.Request) {
	if g.options.HTTPProxy == nil {
		writeError(w, newError(api.CodeNotFound, api.OutcomeRefused, "this gateway has no HTTP proxy"))
		return
	}
	writeJSON(w, http.StatusOK, api.HTTPReplicasAnswer{Gateway: g.options.Info.Name, Replicas: g.options.HTTPProxy.Replicas()})
}

// listReplicas responds with the replicas in the active state of the registry.
func (g *Gateway) listReplicas(w http.ResponseWriter) {
	active := g.agent.Active()
	if active == nil {
		writeError(w, newRetryableError(api.CodeNotReady, "the gateway has no copy of the registry yet"))
		return
	}
	answer := api.ReplicasAnswer{Serial: active.Serial(), Replicas: []api.ReplicaStatus{}}
	for id, replica := range active.Replicas() {
		answer.Replicas = append(answer.Replicas, replicaStatus(active, id, replica))
	}
	slices.SortFunc(answer.Replicas, func(a, b api.ReplicaStatus) int { return strings.Compare(a.ID, b.ID) })
	writeJSON(w, http.StatusOK, answer)
}

// replicaStatus returns the status of a replica according to the active state of the
// registry.
func replicaStatus(active *catalog.State, id string, replica catalog.Replica) api.ReplicaStatus {
	status := api.ReplicaStatus{
		ReplicaEntry: api.ReplicaEntry{
			ID:       id,
			Service:  replica.Service,
			Zone:     replica.Zone,
			Address:  replica.Address,
			Draining: active.IsDraining(id),
		},
		Region: replica.Region,
	}
	if condition, known := active.Condition(id); known {
		status.Condition = string(condition.State)
		status.WarmupGateway = condition.WarmupGateway
	}
	return status
}

// forwardReplicas submits the platform's list of replicas to the primary as an operation.
func (g *Gateway) forwardReplicas(w http.ResponseWriter, r *http.Request) {
	if _, ok := g.authenticate(r); !ok {
		writeError(w, newError(api.CodeUnauthorized, api.OutcomeRefused, "the token is missing or invalid"))
		return
	}
	var list api.ReplicaList
	if failure := g.readRequest(w, r, &list); failure != nil {
		writeError(w, failure)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), operationTimeout)
	defer cancel()
	reply, err := g.agent.SubmitOperation(ctx, peer.OperationRequest{Replicas: &list, WaitMS: operationTimeout.Milliseconds()})
	if err != nil {
		failure := newRetryableError(api.CodeNoPrimary, "no primary can be reached")
		failure.Outcome = api.OutcomeUnknown
		writeError(w, failure)
		return
	}
	writeOperationReply(w, &reply)
}

// writeOperationReply writes the primary's reply to an operation as the response.
func writeOperationReply(w http.ResponseWriter, reply *peer.OperationReply) {
	switch {
	case reply.Error != nil:
		writeError(w, reply.Error)
	case reply.Answer == nil:
		writeError(w, newError(api.CodeInternal, api.OutcomeUnknown, "the control node sent no answer"))
	case reply.Answer.Error != nil:
		writeError(w, reply.Answer.Error)
	default:
		writeJSON(w, http.StatusOK, reply.Answer)
	}
}

// authenticate returns the name that belongs to the token of a request, and whether the
// token is valid. Without Options.Tokens every request is accepted.
func (g *Gateway) authenticate(r *http.Request) (string, bool) {
	if g.options.Tokens == nil {
		return "", true
	}
	return g.options.Tokens().Authenticate(r.Header.Get("Authorization"))
}
