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
	// orderWait bounds the wait for the answer to a forwarded order.
	orderWait = 10 * time.Second
	// operatorWriteTimeout leaves time for a profile of 30 s.
	operatorWriteTimeout = time.Minute
	// maxOperatorConnections bounds the connections of the operators' port.
	maxOperatorConnections = 256
)

// OperatorsServer returns the server of the operators' port.
func (g *Gateway) OperatorsServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc(api.PathStatus, g.only(http.MethodGet, g.serveStatus))
	mux.HandleFunc(api.PathReplicas, g.serveReplicas)
	mux.HandleFunc(api.PathExplain, g.only(http.MethodPost, g.serveExplain))
	mux.HandleFunc(api.PathHTTPReplicas, g.only(http.MethodGet, g.serveHTTPReplicas))
	mux.Handle(api.PathMetrics, promhttp.HandlerFor(g.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/cmdline", pprof.Cmdline)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
	mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	g.addHealth(mux)
	return g.newServer(bounded(mux), maxOperatorConnections)
}

// bounded gives each answer a time of its own. Writing a document sets a shorter
// one, which would otherwise last into the connection's next request.
func bounded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		deadline := time.Now().Add(operatorWriteTimeout)
		if err := http.NewResponseController(w).SetWriteDeadline(deadline); err != nil {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// serveStatus answers what this gateway knows of the control plane and itself.
func (g *Gateway) serveStatus(w http.ResponseWriter, _ *http.Request) {
	status := g.agent.Status()
	info := g.options.Info
	answer := api.StatusAnswer{
		Node:     info.Name,
		Primary:  status.Primary, // known by its peers' address here
		Term:     status.Term,
		Serial:   status.ReceivedSerial,
		Version:  status.ActiveVersion,
		Members:  []api.MemberStatus{g.ownStatus()},
		Degraded: g.degraded(),
		Services: g.serviceLoads(),
	}
	if status.LeaseRemaining > 0 {
		answer.Leases = 1
	}
	writeJSON(w, http.StatusOK, answer)
}

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

func (g *Gateway) degraded() []string {
	var reasons []string
	if g.draining.Load() {
		reasons = append(reasons, "the gateway is leaving")
	}
	if !g.agent.Valid() {
		reasons = append(reasons, "no lease from the primary, requests are refused: see that there is a primary and that this machine reaches it")
	}
	if g.agent.Active() == nil {
		reasons = append(reasons, "no copy of the registry yet: see that this machine reaches a control node")
	} else if !g.mayOwn() {
		reasons = append(reasons, "the zone is evacuated: no tickets are issued here")
	}
	return reasons
}

func (g *Gateway) serveReplicas(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
		g.listReplicas(w)
	case http.MethodPut:
		g.forwardReplicas(w, r)
	default:
		w.Header().Set("Allow", "GET, PUT")
		writeJSON(w, http.StatusMethodNotAllowed, api.ErrorBody{Error: invalid("method", "must be GET or PUT")})
	}
}

// serveHTTPReplicas answers how this gateway holds the replicas behind its HTTP
// address.
func (g *Gateway) serveHTTPReplicas(w http.ResponseWriter, _ *http.Request) {
	if g.options.HTTPProxy == nil {
		writeError(w, failed(api.CodeNotFound, api.OutcomeRefused, "this gateway has no HTTP address"))
		return
	}
	writeJSON(w, http.StatusOK, api.HTTPReplicasAnswer{Gateway: g.options.Info.Name, Replicas: g.options.HTTPProxy.Replicas()})
}

// listReplicas reads the replicas back from the active copy.
func (g *Gateway) listReplicas(w http.ResponseWriter) {
	active := g.agent.Active()
	if active == nil {
		writeError(w, refusedLater(api.CodeNotReady, "the gateway has no copy of the registry yet"))
		return
	}
	answer := api.ReplicasAnswer{Serial: active.Serial(), Replicas: []api.ReplicaStatus{}}
	for id, replica := range active.Replicas() {
		answer.Replicas = append(answer.Replicas, replicaStatus(active, id, replica))
	}
	slices.SortFunc(answer.Replicas, func(a, b api.ReplicaStatus) int { return strings.Compare(a.ID, b.ID) })
	writeJSON(w, http.StatusOK, answer)
}

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
		status.Feeder = condition.WarmupGateway
	}
	return status
}

// forwardReplicas passes the platform's list to a control node.
func (g *Gateway) forwardReplicas(w http.ResponseWriter, r *http.Request) {
	if _, ok := g.authenticate(r); !ok {
		writeError(w, failed(api.CodeUnauthorized, api.OutcomeRefused, "the token is missing or wrong"))
		return
	}
	var list api.ReplicaList
	if failure := g.readRequest(w, r, &list); failure != nil {
		writeError(w, failure)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), orderWait)
	defer cancel()
	reply, err := g.agent.SubmitOperation(ctx, peer.OperationRequest{Replicas: &list, WaitMS: orderWait.Milliseconds()})
	if err != nil {
		failure := refusedLater(api.CodeNoPrimary, "no primary can be reached")
		failure.Outcome = api.OutcomeUnknown
		writeError(w, failure)
		return
	}
	writeOrder(w, &reply)
}

func writeOrder(w http.ResponseWriter, reply *peer.OperationReply) {
	switch {
	case reply.Error != nil:
		writeError(w, reply.Error)
	case reply.Answer == nil:
		writeError(w, failed(api.CodeInternal, api.OutcomeUnknown, "the control node sent no answer"))
	case reply.Answer.Error != nil:
		writeError(w, reply.Answer.Error)
	default:
		writeJSON(w, http.StatusOK, reply.Answer)
	}
}

func (g *Gateway) authenticate(r *http.Request) (string, bool) {
	if g.options.Tokens == nil {
		return "", true
	}
	return g.options.Tokens().Authenticate(r.Header.Get("Authorization"))
}
