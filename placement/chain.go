package placement

import "github.com/deckpulley/deckpulley/api"

// Link is one step of a prefix chain.
type Link struct {
	// Hash names the whole chain up to and including this prefix.
	Hash uint64
	// Tokens is the length of the chain up to here.
	Tokens int
}

// Chain turns a sequence of prefixes, outermost first, into links. Two requests
// share a link exactly if they share all prefixes up to it.
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

// Hashes returns the hashes of a chain's links, in their order.
func Hashes(chain []Link) []uint64 {
	hashes := make([]uint64, 0, len(chain))
	for _, link := range chain {
		hashes = append(hashes, link.Hash)
	}
	return hashes
}

// Affinity is the link that decides which replica a chain belongs to: the
// outermost one that holds at least half of the chain's tokens. A short common
// preamble does not draw everything to one replica, and a small last file does
// not scatter the requests about one repository.
func Affinity(chain []Link) (Link, bool) {
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
