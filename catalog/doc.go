// Package catalog is the typed catalog over the registry: it defines the objects
// that deckpulley stores there, the registry name and record type under which each
// is stored, and the encoding of its data. It translates between records and Go
// types and contains no policy.
//
// A kind (see kinds.go) declares how one type of object is stored. State is the typed
// form of one registry view.
package catalog

import "github.com/deckpulley/deckpulley/registry"

// Apex is the name of a fleet's only registry table.
const Apex registry.Name = "places."
