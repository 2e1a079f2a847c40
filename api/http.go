package api

// PathHTTPReplicas of a gateway's operators' port: GET HTTPReplicasAnswer.
const PathHTTPReplicas = "/v1/http/replicas"

// HTTPReplicasAnswer lists the replicas of services that are reached by host and
// path, as one gateway holds them.
type HTTPReplicasAnswer struct {
	Gateway  string              `json:"gateway"`
	Replicas []HTTPReplicaStatus `json:"replicas"`
}

// HTTPReplicaState says whether a replica gets new requests from a gateway, and
// why not.
type HTTPReplicaState string

// States of replicas, the first that holds.
const (
	HTTPReplicaReplaced  HTTPReplicaState = "replaced"  // another replica answered at its address
	HTTPReplicaEvacuated HTTPReplicaState = "evacuated" // operators evacuated its zone
	HTTPReplicaDraining  HTTPReplicaState = "draining"  // it is about to leave
	HTTPReplicaEjected   HTTPReplicaState = "ejected"   // too many of its answers failed
	HTTPReplicaAvoided   HTTPReplicaState = "avoided"   // it could not be reached lately, or is silent
	HTTPReplicaFull      HTTPReplicaState = "full"      // it said that it takes no more
	HTTPReplicaCold      HTTPReplicaState = "cold"      // it has started and bears little
	HTTPReplicaUsable    HTTPReplicaState = "usable"
)

// HTTPReplicaStatus is what a gateway holds of one replica.
type HTTPReplicaStatus struct {
	ID      string           `json:"id"`
	Service string           `json:"service"`
	Zone    string           `json:"zone"`
	Region  string           `json:"region"`
	Address string           `json:"address"`
	State   HTTPReplicaState `json:"state"`
	// Requests are the gateway's own attempts under way.
	Requests int `json:"requests"`
	// PrefillMS is the reading of prompts that it has before it, by all gateways.
	PrefillMS int64 `json:"reading_ms"`
	// Slowness is its measured time to read over the expected one.
	Slowness float64 `json:"slowness"`
}
