package experiment

import (
	"github.com/deckpulley/deckpulley/internal/workload"
	"github.com/deckpulley/deckpulley/placement"
)

// trustSmoothing is the weight of one answer in the trust in expected caches.
const trustSmoothing = 0.1

// CacheAware is the gateways' own placement: the earliest expected first token,
// by what was sent to each replica and what the replicas report.
type CacheAware struct {
	index      *placement.Index
	hashes     []uint64
	trust      []float64
	cached     []int
	candidates []placement.Candidate
}

// NewCacheAware returns the policy of one gateway for its region's replicas.
func NewCacheAware(replicas []string) *CacheAware {
	policy := &CacheAware{
		index:  placement.NewIndex(len(replicas)),
		hashes: make([]uint64, len(replicas)),
		trust:  make([]float64, len(replicas)),
		cached: make([]int, len(replicas)),
	}
	for index, name := range replicas {
		policy.hashes[index] = placement.Hash(name)
		policy.trust[index] = 1
	}
	return policy
}

// Pick implements Policy.
func (p *CacheAware) Pick(request *workload.Request, views []*View) (target, cached int) {
	chain := placement.Chain(request.Generate.Prefixes)
	work := placement.Work{Tokens: promptTokens(request)}
	if link, found := placement.Affinity(chain); found {
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

func (p *CacheAware) candidate(index int, view *View) placement.Candidate {
	return placement.Candidate{
		Number:         index,
		Hash:           p.hashes[index],
		PendingTokens:  float64(view.Report.PendingPrefillTokens) + view.SentTokens,
		PrefillRate:    view.Report.PrefillTokensPerSecond,
		ActiveRequests: float64(view.Busy()),
		Slots:          float64(max(1, view.Report.Slots)),
		ServiceTime:    view.Hold,
		CachedTokens:   float64(p.cached[index]) * p.trust[index],
	}
}

// Answered implements Policy.
func (p *CacheAware) Answered(target, expected, found int) {
	if expected <= 0 {
		return
	}
	share := min(1, float64(found)/float64(expected))
	p.trust[target] += trustSmoothing * (share - p.trust[target])
	p.index.Correct(target, expected, found)
}

// Evicted implements Policy.
func (p *CacheAware) Evicted(target, count int) {
	p.index.Evicted(target, count)
}
