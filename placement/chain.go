package placement

import "github.com/deckpulley/deckpulley/api"

// Link is one prefix in a chain, in which each prefix extends the one before it.
type Link struct {
	// Hash identifies the chain up to and including this prefix.
	Hash uint64
	// Tokens is the length of the chain up to and including this prefix.
	Tokens int
}

// Chain returns the links for a sequence of prefixes, outermost first. Two requests
// have a link in common if and only if they have all prefixes up to it in common.
func Chain(prefixes []api.Prefix) []Link {
	if len(prefixes) == 0 {
		return nil
	}
	chain := make([]Link, len(prefixes))
	var hash uint64
	tokens := 0
	for index, prefix := range prefixes {
		hash = mix(hash ^ Hash(prefix.ID))
		tokens += prefix.Tokens
		chain[index] = Link{Hash: hash, Tokens: tokens}
	}
	return chain
}

// Hashes returns the hashes of a chain's links, in the same order.
func Hashes(chain []Link) []uint64 {
	hashes := make([]uint64, 0, len(chain))
	for _, link := range chain {
		hashes = append(hashes, link.Hash)
	}
	return hashes
}

// AffinityLink returns the affinity link of a chain: requests with the same affinity link
// are preferably sent to the same replica. It is the outermost link with at least half
// of the chain's tokens. So a short preamble that all requests have in common does not
// send them all to one replica, and a small last file does not spread the requests
// about one repository over many replicas. It reports false for an empty chain.
func AffinityLink(chain []Link) (Link, bool) {
	if len(chain) == 0 {
		return Link{}, false
	}
	total := chain[len(chain)-1].Tokens
	for _, link := range chain {
		if 2*link.Tokens >= total {
			return link, true
		}
	}
	return chain[len(chain)-1], true
}
