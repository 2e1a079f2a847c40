// Package registry implements the update path of DNS UPDATE (the Internet-Draft
// "Dynamic Updates in the Domain Name System", November 1996, which became RFC
// 2136) over record types of the embedder's own. It is pure: no I/O, no clock, no
// goroutine.
//
// Section numbers in comments are the draft's. Where its text and its pseudocode
// disagree, the text decides; docs/UPDATE.md goes through both.
//
// One Table is what the draft calls a zone. The word zone is kept for availability
// zones everywhere else in this module.
package registry
