// Package simulation is a deterministic simulator of groups of control nodes in
// virtual time: the real consensus.Node over storage.Memory, a replicated table that
// holds the answers to operations, operators that retry, and gateways under leases. A
// seed determines everything that happens in a history, so that a history with a
// violation can be reproduced.
//
// A history is one simulated run. A step is one message, timer or fault at one machine.
// After each step the checks verify that the machines have not violated a rule. They read
// the disks, logs and tables directly and do not rely on what a machine reports about
// itself.
//
// Any change to the number or order of random draws changes every history, and with it
// the seeds that are recorded as examples.
package simulation
