// Package experiment runs emulated replicas and generated traffic together with the
// packages that place requests. It serves to compare and tune placement policies and
// control loops without a deployment.
//
// RunPlacement compares placement policies in virtual time; equal inputs give equal
// results. RunResponse runs the production routers in real time through a disturbance
// of the load or of the replicas.
package experiment
