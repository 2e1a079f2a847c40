// Package experiment runs emulated replicas and generated callers together with the
// packages that place requests, to compare and tune placement and control loops without
// a deployment.
//
// Placement compares policies in virtual time; equal inputs give equal results. Respond
// runs real routers in real time through a disturbance.
package experiment
