// Package simulation runs whole groups of control nodes in virtual time: the
// real consensus.Node over storage.Memory, a replicated table of orders,
// operators that resend, and gateways under leases. A seed decides everything,
// so a history with a violation can be run again and again.
//
// A step is one message, timer or fault at one machine. The checks of checks.go
// run after each. They read what the machines did, never what these say of
// themselves.
package simulation
