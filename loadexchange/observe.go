package loadexchange

import (
	"slices"

	"github.com/deckpulley/deckpulley/peer"
)

// maxPrefillMS is the largest absolute value of the prefill time of one entry of a digest,
// in milliseconds. Values outside this range are clamped.
const maxPrefillMS = 10_000

// addObserved adds the contents of a digest to the observed loads. It does not modify the
// digest, which may also be queued for other gateways.
func addObserved(digest *peer.LoadDigest, effects *Effects) {
	for i := range digest.Regions {
		part := digest.Regions[i]
		part.PrefillTotals = clampPrefills(part.PrefillTotals, func(total *peer.PrefillTotal) *int { return &total.PrefillMS })
		part.PlacedPrompts = clampPrefills(part.PlacedPrompts, func(prompt *peer.PlacedPrompt) *int { return &prompt.PrefillMS })
		effects.Observed = append(effects.Observed, part)
	}
}

// clampPrefills returns the list with each prefill time clamped to the bounds. It copies the
// list only if a time is out of bounds.
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
