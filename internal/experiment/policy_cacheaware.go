package experiment

import (
	"github.com/deckpulley/deckpulley/internal/workload"
	"github.com/deckpulley/deckpulley/placement"
)

// cacheTrustSmoothing is the weight of one answer in the moving average cacheTrust.
const cacheTrustSmoothing = 0.1

// CacheAware is the placement policy that gateways use in production. It picks the replica
// with the earliest expected first token, estimated from the requests that the gateway
// sent to each replica and from the replicas' reports.
type CacheAware struct {
	index  *placement.Index
	hashes []uint64
	// cacheTrust is, for each replica, the moving average of the fraction of the expected
	// cached tokens that the replica found in its cache.
	cacheTrust []float64
	cached     []int
	candidates []placement.Candidate
}

// NewCacheAware returns the policy of one gateway for the replicas of its region.
func NewCacheAware(replicas []string) *CacheAware {
	policy := &CacheAware{
		index:      placement.NewIndex(len(replicas)),
		hashes:     make([]uint64, len(replicas)),
		cacheTrust: make([]float64, len(replicas)),
		cached:     make([]int, len(replicas)),
	}
	for index, name := range replicas {
		policy.hashes[index] = placement.Hash(name)
		policy.cacheTrust[index] = 1
	}
	return policy
}

// Pick implements Policy.
func (p *CacheAware) Pick(request *workload.Request, views []*View) (target, cached int) {
	chain := placement.Chain(request.Generate.Prefixes)
	work := placement.Work{Tokens: promptTokens(request)}
	if link, found := placement.AffinityLink(chain); found {
		work.AffinityHash = link.Hash
		work.AffinityTokens = float64(link.Tokens)
	}
	clear(p.cached)
	p.index.Cached(chain, func(replica, tokens int) { p.cached[replica] = tokens })
	p.candidates = p.candidates[:0]
	for index, view := range views {
		p.candidates = append(p.candidates, p.candidate(index, view))
	}
	target, _ = placement.Choose(p.candidates, work)
	p.index.Record(target, chain)
	return target, p.cached[target]
}

// candidate converts a view to the input of package placement.
func (p *CacheAware) candidate(index int, view *View) placement.Candidate {
	return placement.Candidate{
		Number:         index,
		Hash:           p.hashes[index],
		PendingTokens:  float64(view.Report.PendingPrefillTokens) + view.SentTokens,
		PrefillRate:    view.Report.PrefillTokensPerSecond,
		ActiveRequests: float64(view.ActiveRequests()),
		Slots:          float64(max(1, view.Report.Slots)),
		ServiceTime:    view.ServiceTime,
		CachedTokens:   float64(p.cached[index]) * p.cacheTrust[index],
	}
}

// RecordAnswer implements Policy.
func (p *CacheAware) RecordAnswer(target, expected, found int) {
	if expected <= 0 {
		return
	}
	fraction := min(1, float64(found)/float64(expected))
	p.cacheTrust[target] += cacheTrustSmoothing * (fraction - p.cacheTrust[target])
	p.index.RecordMiss(target, expected, found)
}

// RecordEvictions implements Policy.
func (p *CacheAware) RecordEvictions(target, count int) {
	p.index.Evicted(target, count)
}
