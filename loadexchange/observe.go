package loadexchange

import (
	"slices"

	"github.com/deckpulley/deckpulley/peer"
)

// maxPrefillMS bounds the prefill time of one entry of a digest, in milliseconds in
// either direction. A longer one is clamped.
const maxPrefillMS = 10_000

// observe adds a digest to what the own gateway has learned. The digest itself is not
// changed, as it may also be in flight to other gateways.
func observe(digest *peer.LoadDigest, effects *Effects) {
	for i := range digest.Regions {
		part := digest.Regions[i]
		part.PrefillTotals = clampPrefills(part.PrefillTotals, func(total *peer.PrefillTotal) *int { return &total.PrefillMS })
		part.PlacedPrompts = clampPrefills(part.PlacedPrompts, func(prompt *peer.PlacedPrompt) *int { return &prompt.PrefillMS })
		effects.Observed = append(effects.Observed, part)
	}
}

// clampPrefills returns the list with each prefill time within the bounds. The list is
// copied only if a time is out of bounds.
func clampPrefills[Item any](list []Item, prefillMS func(*Item) *int) []Item {
	outOfBounds := func(item Item) bool {
		value := *prefillMS(&item)
		return value < -maxPrefillMS || value > maxPrefillMS
	}
	if !slices.ContainsFunc(list, outOfBounds) {
		return list
	}
	list = slices.Clone(list)
	for i := range list {
		value := prefillMS(&list[i])
		*value = min(max(*value, -maxPrefillMS), maxPrefillMS)
	}
	return list
}
