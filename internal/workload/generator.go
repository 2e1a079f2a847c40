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

// Request is one arrival.
type Request struct {
	// At is the arrival time since the start of the load.
	At time.Duration
	// Region is where the client asks from.
	Region string
	// Service is what the route points to in the profile's configuration.
	Service string
	// HomeRegions are the only regions that may run it; empty is any.
	HomeRegions []string
	// Generate is the request, without a ticket.
	Generate api.GenerateRequest
}

// Where is the question that precedes the request.
func (r *Request) Where() api.WhereRequest {
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

// Generator draws an open-loop Poisson stream of requests.
type Generator struct {
	profile  *Profile
	scenario Scenario
	prefix   string
	random   *rand.Rand
	now      time.Duration
	count    uint64
	// peak bounds the rate at any time, for thinning.
	peak float64
	// documents are the cumulative popularities of each tenant's documents.
	documents map[*Tenant][]float64
}

// New makes a generator. The prefix begins every request id, so that several
// generators of one run stay apart.
func New(profile *Profile, scenario Scenario, seed uint64, prefix string) *Generator {
	g := &Generator{
		profile:   profile,
		scenario:  scenario,
		prefix:    fmt.Sprintf("%s-%x", prefix, seed),
		random:    rand.New(rand.NewPCG(seed, 0x776f726b6c6f6164)),
		documents: make(map[*Tenant][]float64),
	}
	for _, mix := range profile.Mixes {
		for index := range mix.Population.Tenants {
			tenant := &mix.Population.Tenants[index]
			g.documents[tenant] = zipf(tenant.Documents, mix.Population.Skew)
		}
	}
	g.peak = g.peakRate()
	return g
}

// zipf is the cumulative Zipf distribution over count ranks.
func zipf(count int, exponent float64) []float64 {
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

// peakRate bounds the arrival rate over all times.
func (g *Generator) peakRate() float64 {
	peak := g.rate(g.effect(0))
	for _, edge := range g.scenario {
		peak = max(peak, g.rate(g.effect(edge.Start)), g.rate(g.effect(edge.End)))
	}
	return peak
}

// effect is the product of the phases in force.
func (g *Generator) effect(at time.Duration) Phase {
	effect := Phase{RateFactor: 1, PromptFactor: 1, AnswerFactor: 1, LongFactor: 1}
	for _, phase := range g.scenario {
		if at < phase.Start || at >= phase.End {
			continue
		}
		multiply(&effect.RateFactor, phase.RateFactor)
		multiply(&effect.PromptFactor, phase.PromptFactor)
		multiply(&effect.AnswerFactor, phase.AnswerFactor)
		multiply(&effect.LongFactor, phase.LongFactor)
		if phase.ClientShares != nil {
			effect.ClientShares = phase.ClientShares
		}
	}
	return effect
}

func multiply(product *float64, factor float64) {
	if factor != 0 {
		*product *= factor
	}
}

func (g *Generator) rate(effect Phase) float64 {
	total := 0.0
	for index := range g.profile.Mixes {
		total += mixRate(&g.profile.Mixes[index], effect)
	}
	return total
}

func mixRate(mix *Mix, effect Phase) float64 {
	if mix.Class == api.ClassLong {
		return mix.Rate * effect.RateFactor * effect.LongFactor
	}
	return mix.Rate * effect.RateFactor
}

// Next draws the next arrival.
func (g *Generator) Next() Request {
	for {
		g.now += time.Duration(g.random.ExpFloat64() / g.peak * float64(time.Second))
		effect := g.effect(g.now)
		pick := g.random.Float64() * g.peak
		for index := range g.profile.Mixes {
			mix := &g.profile.Mixes[index]
			pick -= mixRate(mix, effect)
			if pick < 0 {
				return g.draw(mix, effect)
			}
		}
	}
}

// draw fills in one request of a kind.
func (g *Generator) draw(mix *Mix, effect Phase) Request {
	g.count++
	region := g.drawRegion(effect)
	tenant := g.drawTenant(mix.Population)
	request := Request{
		At:      g.now,
		Region:  region,
		Service: mix.Service,
		Generate: api.GenerateRequest{
			RequestID:    fmt.Sprintf("%s-%d", g.prefix, g.count),
			Tenant:       tenant.Name,
			Model:        mix.Model,
			Class:        mix.Class,
			Prefixes:     g.drawPrefixes(mix.Population, mix.Service, tenant),
			PromptTokens: scaled(g.between(mix.PromptTokens), effect.PromptFactor),
			MaxTokens:    scaled(g.between(mix.AnswerTokens), effect.AnswerFactor),
			Stream:       mix.Stream,
			Client:       g.profile.Clients + region,
			WaitMS:       int64(g.between(mix.WaitMS)),
			Repeatable:   g.random.Float64() >= mix.NonRepeatableShare,
		},
	}
	named := g.random.Float64() < mix.HomeShare
	switch {
	case tenant.Home != "":
		request.HomeRegions = g.profile.home(tenant.Home)
	case named:
		request.Generate.Home = mix.Home
		request.HomeRegions = g.profile.home(mix.Home)
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

func (g *Generator) drawRegion(effect Phase) string {
	total := 0.0
	for _, region := range g.profile.Regions {
		total += clientShare(region, effect)
	}
	pick := g.random.Float64() * total
	for _, region := range g.profile.Regions {
		pick -= clientShare(region, effect)
		if pick < 0 {
			return region.Name
		}
	}
	return g.profile.Regions[0].Name
}

func clientShare(region Region, effect Phase) float64 {
	if share, replaced := effect.ClientShares[region.Name]; replaced {
		return share
	}
	return region.ClientShare
}

// drawPrefixes draws a document of the tenant and one of its sections. Lengths
// follow from the names, so that equal ids always mean equal lengths.
func (g *Generator) drawPrefixes(population *Population, service string, tenant *Tenant) []api.Prefix {
	if tenant.Documents == 0 {
		return nil
	}
	document := fmt.Sprintf("%s/%s/document-%d", service, tenant.Name, g.rank(g.documents[tenant]))
	section := fmt.Sprintf("%s/section-%d", document, g.random.IntN(population.Sections))
	return []api.Prefix{
		{ID: service + "/system", Tokens: population.SystemTokens},
		{ID: document, Tokens: lengthOf(document, population.DocumentTokens)},
		{ID: section, Tokens: lengthOf(section, population.SectionTokens)},
	}
}

func lengthOf(id string, bounds Range) int {
	hash := fnv.New64a()
	hash.Write([]byte(id))
	return bounds.Minimum + int(hash.Sum64()%uint64(bounds.Maximum-bounds.Minimum+1))
}

func (g *Generator) rank(cumulative []float64) int {
	pick := g.random.Float64()
	return min(sort.SearchFloat64s(cumulative, pick), len(cumulative)-1)
}

func (g *Generator) between(bounds Range) int {
	return bounds.Minimum + g.random.IntN(bounds.Maximum-bounds.Minimum+1)
}

func scaled(tokens int, factor float64) int {
	return max(1, int(math.Round(float64(tokens)*factor)))
}
