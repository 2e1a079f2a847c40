package workload

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/deckpulley/deckpulley/api"
)

// Request is one arrival of the generated traffic.
type Request struct {
	// At is the arrival time since the start of the load.
	At time.Duration
	// Region is the client's region.
	Region string
	// Service is the service that the route leads to in the profile's configuration.
	Service string
	// HomeRegions are the only regions that may run the request; empty means any.
	HomeRegions []string
	// Generate is the request, without a ticket.
	Generate api.GenerateRequest
}

// WhereRequest returns the where-to-go request that precedes the request.
func (r *Request) WhereRequest() api.WhereRequest {
	return api.WhereRequest{
		RequestID:  r.Generate.RequestID,
		Tenant:     r.Generate.Tenant,
		Model:      r.Generate.Model,
		Prefixes:   r.Generate.Prefixes,
		Home:       r.Generate.Home,
		Client:     r.Generate.Client,
		WaitMS:     r.Generate.WaitMS,
		Repeatable: r.Generate.Repeatable,
	}
}

// pcgStream is the second word of the random generator's seed ("workload" in ASCII).
const pcgStream = 0x776f726b6c6f6164

// Generator draws an open-loop Poisson stream of requests. Rates that vary over time
// are realized by thinning: arrivals are drawn at the peak rate and kept with the
// probability rate/peak. It is not safe for concurrent use.
type Generator struct {
	profile  *Profile
	scenario Scenario
	idPrefix string
	random   *rand.Rand
	// elapsed is the arrival time that was drawn last, whether or not thinning kept it.
	elapsed time.Duration
	// drawn counts the generated requests. Request ids contain the count.
	drawn uint64
	// peak is an upper bound of the arrival rate at any time, in requests per second.
	peak float64
	// documentRanks holds the cumulative popularity of each tenant's documents, the most
	// popular one first.
	documentRanks map[*Tenant][]float64
}

// New returns a generator. Every request id begins with the prefix, so that the ids
// of several generators of one run are distinct.
func New(profile *Profile, scenario Scenario, seed uint64, prefix string) *Generator {
	g := &Generator{
		profile:       profile,
		scenario:      scenario,
		idPrefix:      fmt.Sprintf("%s-%x", prefix, seed),
		random:        rand.New(rand.NewPCG(seed, pcgStream)),
		documentRanks: make(map[*Tenant][]float64),
	}
	for _, mix := range profile.Mixes {
		for index := range mix.Population.Tenants {
			tenant := &mix.Population.Tenants[index]
			g.documentRanks[tenant] = zipfCumulative(tenant.Documents, mix.Population.Skew)
		}
	}
	g.peak = g.peakRate()
	return g
}

// zipfCumulative returns the cumulative Zipf distribution over count ranks.
func zipfCumulative(count int, exponent float64) []float64 {
	cumulative := make([]float64, count)
	total := 0.0
	for rank := range cumulative {
		total += math.Pow(float64(rank+1), -exponent)
		cumulative[rank] = total
	}
	for rank := range cumulative {
		cumulative[rank] /= total
	}
	return cumulative
}

// peakRate returns the highest arrival rate over all times. The rate changes only
// where a phase starts or ends, so it suffices to evaluate it there.
func (g *Generator) peakRate() float64 {
	peak := g.totalRate(g.combinedPhase(0))
	for _, edge := range g.scenario {
		peak = max(peak, g.totalRate(g.combinedPhase(edge.Start)), g.totalRate(g.combinedPhase(edge.End)))
	}
	return peak
}

// combinedPhase returns the combination of the phases that apply at a time.
func (g *Generator) combinedPhase(at time.Duration) Phase {
	combined := Phase{RateFactor: 1, PromptFactor: 1, AnswerFactor: 1, LongFactor: 1}
	for _, phase := range g.scenario {
		if at < phase.Start || at >= phase.End {
			continue
		}
		applyFactor(&combined.RateFactor, phase.RateFactor)
		applyFactor(&combined.PromptFactor, phase.PromptFactor)
		applyFactor(&combined.AnswerFactor, phase.AnswerFactor)
		applyFactor(&combined.LongFactor, phase.LongFactor)
		if phase.ClientShares != nil {
			combined.ClientShares = phase.ClientShares
		}
	}
	return combined
}

// applyFactor multiplies the product by the factor unless that is unset (0).
func applyFactor(product *float64, factor float64) {
	if factor != 0 {
		*product *= factor
	}
}

// totalRate returns the arrival rate of all mixes, in requests per second.
func (g *Generator) totalRate(phase Phase) float64 {
	total := 0.0
	for index := range g.profile.Mixes {
		total += mixRate(&g.profile.Mixes[index], phase)
	}
	return total
}

// mixRate returns the arrival rate of one mix, in requests per second.
func mixRate(mix *Mix, phase Phase) float64 {
	if mix.Class == api.ClassLong {
		return mix.Rate * phase.RateFactor * phase.LongFactor
	}
	return mix.Rate * phase.RateFactor
}

// Next draws the next arrival. Arrival times never decrease.
func (g *Generator) Next() Request {
	for {
		g.elapsed += time.Duration(g.random.ExpFloat64() / g.peak * float64(time.Second))
		phase := g.combinedPhase(g.elapsed)
		pick := g.random.Float64() * g.peak
		for index := range g.profile.Mixes {
			mix := &g.profile.Mixes[index]
			pick -= mixRate(mix, phase)
			if pick < 0 {
				return g.drawRequest(mix, phase)
			}
		}
	}
}

// drawRequest draws one request of a mix. A change to the order of the random draws
// changes the traffic that every seed generates.
func (g *Generator) drawRequest(mix *Mix, phase Phase) Request {
	g.drawn++
	region := g.drawRegion(phase)
	tenant := g.drawTenant(mix.Population)
	request := Request{
		At:      g.elapsed,
		Region:  region,
		Service: mix.Service,
		Generate: api.GenerateRequest{
			RequestID:    fmt.Sprintf("%s-%d", g.idPrefix, g.drawn),
			Tenant:       tenant.Name,
			Model:        mix.Model,
			Class:        mix.Class,
			Prefixes:     g.drawPrefixes(mix.Population, mix.Service, tenant),
			PromptTokens: scaleTokens(g.drawInt(mix.PromptTokens), phase.PromptFactor),
			MaxTokens:    scaleTokens(g.drawInt(mix.AnswerTokens), phase.AnswerFactor),
			Stream:       mix.Stream,
			Client:       g.profile.ClientPrefix + region,
			WaitMS:       int64(g.drawInt(mix.WaitMS)),
			Repeatable:   g.random.Float64() >= mix.NonRepeatableShare,
		},
	}
	namesHome := g.random.Float64() < mix.HomeShare
	switch {
	case tenant.Home != "":
		request.HomeRegions = g.profile.homeRegions(tenant.Home)
	case namesHome:
		request.Generate.Home = mix.Home
		request.HomeRegions = g.profile.homeRegions(mix.Home)
	}
	return request
}

func (g *Generator) drawTenant(population *Population) *Tenant {
	pick := g.random.Float64()
	for index := range population.Tenants {
		pick -= population.Tenants[index].Share
		if pick < 0 {
			return &population.Tenants[index]
		}
	}
	return &population.Tenants[0]
}

func (g *Generator) drawRegion(phase Phase) string {
	total := 0.0
	for _, region := range g.profile.Regions {
		total += clientShare(region, phase)
	}
	pick := g.random.Float64() * total
	for _, region := range g.profile.Regions {
		pick -= clientShare(region, phase)
		if pick < 0 {
			return region.Name
		}
	}
	return g.profile.Regions[0].Name
}

func clientShare(region Region, phase Phase) float64 {
	if share, replaced := phase.ClientShares[region.Name]; replaced {
		return share
	}
	return region.ClientShare
}

// drawPrefixes draws a document of the tenant and one of its sections. Lengths are
// derived from the ids, so that equal ids always have equal lengths.
func (g *Generator) drawPrefixes(population *Population, service string, tenant *Tenant) []api.Prefix {
	if tenant.Documents == 0 {
		return nil
	}
	document := fmt.Sprintf("%s/%s/document-%d", service, tenant.Name, g.drawRank(g.documentRanks[tenant]))
	section := fmt.Sprintf("%s/section-%d", document, g.random.IntN(population.Sections))
	return []api.Prefix{
		{ID: service + "/system", Tokens: population.SystemTokens},
		{ID: document, Tokens: prefixLength(document, population.DocumentTokens)},
		{ID: section, Tokens: prefixLength(section, population.SectionTokens)},
	}
}

// prefixLength derives a length within the bounds from a prefix id.
func prefixLength(id string, bounds Range) int {
	hash := fnv.New64a()
	hash.Write([]byte(id))
	return bounds.Minimum + int(hash.Sum64()%uint64(bounds.Maximum-bounds.Minimum+1))
}

// drawRank draws an index from a cumulative distribution.
func (g *Generator) drawRank(cumulative []float64) int {
	pick := g.random.Float64()
	return min(sort.SearchFloat64s(cumulative, pick), len(cumulative)-1)
}

// drawInt draws uniformly from a closed range.
func (g *Generator) drawInt(bounds Range) int {
	return bounds.Minimum + g.random.IntN(bounds.Maximum-bounds.Minimum+1)
}

func scaleTokens(tokens int, factor float64) int {
	return max(1, int(math.Round(float64(tokens)*factor)))
}
