// Package registry implements the update path of DNS UPDATE (the Internet-Draft
// "Dynamic Updates in the Domain Name System", November 1996, which became RFC
// 2136) for record types that the embedding program declares. It performs no I/O
// and starts no goroutine, and reads no clock except for the timeouts of Requestor and
// Forwarder.
//
// Section numbers in comments refer to the draft. Where its text and its pseudocode
// disagree, this package follows the text; docs/UPDATE.md covers both.
//
// A Table is what the draft calls a zone. Elsewhere in this module, the word zone
// means an availability zone.
package registry
