package api

// PathHTTPReplicas is served by gateways on the operator port: GET, answered by
// HTTPReplicasAnswer.
const PathHTTPReplicas = "/v1/http/replicas"

// HTTPReplicasAnswer lists the replicas of services that are routed by host and
// path, as one gateway sees them.
type HTTPReplicasAnswer struct {
	Gateway  string              `json:"gateway"`
	Replicas []HTTPReplicaStatus `json:"replicas"`
}

// HTTPReplicaState reports whether a replica gets new requests from a gateway and, if
// not, the reason.
type HTTPReplicaState string

// States of replicas. If several apply, the first one in this order is reported.
const (
	HTTPReplicaReplaced  HTTPReplicaState = "replaced"  // another replica responded on its address
	HTTPReplicaEvacuated HTTPReplicaState = "evacuated" // operators evacuated its zone
	HTTPReplicaDraining  HTTPReplicaState = "draining"  // it is about to stop
	HTTPReplicaEjected   HTTPReplicaState = "ejected"   // too many of its answers failed
	HTTPReplicaAvoided   HTTPReplicaState = "avoided"   // it was recently unreachable, or it does not respond
	HTTPReplicaFull      HTTPReplicaState = "full"      // it reported that it accepts no more requests
	HTTPReplicaCold      HTTPReplicaState = "cold"      // it is warming up
	HTTPReplicaUsable    HTTPReplicaState = "usable"    // it gets new requests
)

// HTTPReplicaStatus is the state of a replica as a gateway sees it.
type HTTPReplicaStatus struct {
	ID      string           `json:"id"`
	Service string           `json:"service"`
	Zone    string           `json:"zone"`
	Region  string           `json:"region"`
	Address string           `json:"address"`
	State   HTTPReplicaState `json:"state"`
	// Requests is the number of this gateway's attempts in flight.
	Requests int `json:"requests"`
	// PrefillMS is the pending prefill work of all gateways' requests, in milliseconds.
	PrefillMS int64 `json:"reading_ms"`
	// Slowness is the ratio of the replica's measured to its expected prefill time.
	Slowness float64 `json:"slowness"`
}
