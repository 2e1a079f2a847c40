// Package workload generates the requests of the callers of a deployment:
// seeded, deterministic and without I/O. Equal profiles, scenarios and seeds
// give equal requests.
package workload

import (
	"fmt"
	"time"

	"github.com/deckpulley/deckpulley/api"
)

// Range is a closed range of whole numbers, drawn evenly.
type Range struct {
	Minimum, Maximum int
}

// Region is one region of a deployment with what stands in it.
type Region struct {
	Name string
	Zone string
	// ModelReplicas and WebReplicas count the replicas of each service.
	ModelReplicas int
	WebReplicas   int
	// ClientShare is the share of the clients that ask from here; the shares of a
	// profile need not add up to 1.
	ClientShare float64
}

// Home is a home rule and the only regions that it permits.
type Home struct {
	Name    string
	Regions []string
}

// Tenant is one tenant of a population.
type Tenant struct {
	Name string
	// Share is the part of the population's requests; shares add up to 1.
	Share float64
	// Home is the home rule that the configuration binds the tenant to, if any.
	Home string
	// Documents is the number of its documents (repositories, dossiers).
	Documents int
}

// Population describes tenants and the documents that their requests share.
type Population struct {
	Tenants []Tenant
	// Skew is the exponent of the Zipf law over a tenant's documents; 0 is even.
	Skew float64
	// SystemTokens is the length of the prefix that all requests of a model share.
	SystemTokens int
	// DocumentTokens and SectionTokens are the lengths of the prefixes below it.
	DocumentTokens Range
	SectionTokens  Range
	// Sections is the number of sections per document.
	Sections int
}

// Mix is one kind of request.
type Mix struct {
	Class api.Class
	// Model is the route that the callers name, Service what it points to.
	Model   string
	Service string
	// Rate is the arrival rate in requests per second.
	Rate float64
	// Population draws tenant and prefixes.
	Population *Population
	// PromptTokens is the length of the prompt after the prefixes.
	PromptTokens Range
	AnswerTokens Range
	Stream       bool
	// WaitMS is how long the caller will wait, in milliseconds.
	WaitMS Range
	// NonRepeatableShare is the share of requests that must run at most once.
	NonRepeatableShare float64
	// Home is the home rule that a HomeShare of the requests names by itself,
	// beside those whose tenant has one.
	Home      string
	HomeShare float64
}

// Profile is the traffic of one deployment.
type Profile struct {
	Name    string
	Regions []Region
	Homes   []Home
	// Clients is the prefix of the client groups' names: "<prefix><region>".
	Clients string
	Mixes   []Mix
}

// Rate is the arrival rate of all kinds together, in requests per second.
func (p *Profile) Rate() float64 {
	total := 0.0
	for _, mix := range p.Mixes {
		total += mix.Rate
	}
	return total
}

// home lists the regions of a home rule; nil if there is no such rule.
func (p *Profile) home(name string) []string {
	for _, home := range p.Homes {
		if home.Name == name {
			return home.Regions
		}
	}
	return nil
}

// Scale multiplies the arrival rate of every kind.
func (p *Profile) Scale(factor float64) *Profile {
	scaled := *p
	scaled.Mixes = append([]Mix(nil), p.Mixes...)
	for index := range scaled.Mixes {
		scaled.Mixes[index].Rate *= factor
	}
	return &scaled
}

// ByName returns the profile of a deployment: "kodovka", "georgia" or "skewed".
func ByName(name string) (*Profile, error) {
	switch name {
	case "kodovka":
		return Kodovka(), nil
	case "georgia":
		return Georgia(), nil
	case "skewed":
		return Skewed(), nil
	}
	return nil, fmt.Errorf("workload: unknown deployment %q", name)
}

// Kodovka is the traffic of a banking integrator's developers: long streamed
// repository explanations, inline lookups and snippet fetches. Names are those of
// examples/kodovka.yaml.
func Kodovka() *Profile {
	repositories := &Population{
		Tenants: []Tenant{
			{Name: "integrator", Share: 0.92, Documents: 50},
			{Name: "bank", Share: 0.08, Home: "bank-home", Documents: 10},
		},
		Skew:           0.7,
		SystemTokens:   400,
		DocumentTokens: Range{2000, 4000},
		SectionTokens:  Range{300, 900},
		Sections:       4,
	}
	snippets := &Population{Tenants: []Tenant{
		{Name: "integrator", Share: 0.92},
		{Name: "bank", Share: 0.08, Home: "bank-home"},
	}}
	return &Profile{
		Name:    "kodovka",
		Regions: regions(5, 4, 3),
		Homes:   []Home{{Name: "bank-home", Regions: []string{"north"}}},
		Clients: "developers-",
		Mixes: []Mix{
			{
				Class: api.ClassQuick, Model: "explain-quick", Service: "explain", Rate: 52.0 * 2 / 3,
				Population: repositories, PromptTokens: Range{60, 240}, AnswerTokens: Range{8, 32},
				WaitMS: Range{8000, 12000}, NonRepeatableShare: 0.1, Home: "bank-home", HomeShare: 0.02,
			},
			{
				Class: api.ClassLong, Model: "explain-long", Service: "explain", Rate: 52.0 / 3, Stream: true,
				Population: repositories, PromptTokens: Range{200, 800}, AnswerTokens: Range{60, 200},
				WaitMS: Range{25000, 40000}, NonRepeatableShare: 0.3, Home: "bank-home", HomeShare: 0.02,
			},
			{
				Class: api.ClassFetch, Model: "snippet", Service: "snippets", Rate: 13,
				Population: snippets, PromptTokens: Range{1, 4}, AnswerTokens: Range{4, 16},
				WaitMS: Range{4000, 6000},
			},
		},
	}
}

// regions are the three regions of a deployment with their model replicas.
func regions(north, central, south int) []Region {
	return []Region{
		{Name: "north", Zone: "north-1", ModelReplicas: north, WebReplicas: 1, ClientShare: 1},
		{Name: "central", Zone: "central-1", ModelReplicas: central, WebReplicas: 1, ClientShare: 1},
		{Name: "south", Zone: "south-1", ModelReplicas: south, WebReplicas: 1, ClientShare: 1},
	}
}

// Georgia is the traffic of a tariff authority: rebate reviews over household
// dossiers, contractors' tariff questions and a portal's sheet fetches. Names are
// those of examples/georgia.yaml.
func Georgia() *Profile {
	dossiers := &Population{
		Tenants: []Tenant{
			{Name: "caseworkers", Share: 0.35, Home: "dossier-home", Documents: 14},
			{Name: "reviewers", Share: 0.65, Documents: 22},
		},
		Skew:           0.7,
		SystemTokens:   600,
		DocumentTokens: Range{2500, 4500},
		SectionTokens:  Range{300, 900},
		Sections:       3,
	}
	tariffs := &Population{
		Tenants:        []Tenant{{Name: "contractors", Share: 1, Documents: 16}},
		Skew:           0.7,
		SystemTokens:   600,
		DocumentTokens: Range{1200, 2400},
		SectionTokens:  Range{200, 600},
		Sections:       5,
	}
	sheets := &Population{Tenants: []Tenant{{Name: "public-portal", Share: 1}}}
	return &Profile{
		Name:    "georgia",
		Regions: regions(4, 3, 2),
		Homes: []Home{
			{Name: "dossier-home", Regions: []string{"north", "central"}},
			{Name: "field-home", Regions: []string{"south"}},
		},
		Clients: "offices-",
		Mixes: []Mix{
			{
				Class: api.ClassQuick, Model: "tariff-question", Service: "tariff-model", Rate: 38.0 * 2 / 3,
				Population: tariffs, PromptTokens: Range{60, 240}, AnswerTokens: Range{8, 32},
				WaitMS: Range{8000, 12000}, NonRepeatableShare: 0.1, Home: "field-home", HomeShare: 0.02,
			},
			{
				Class: api.ClassLong, Model: "rebate-review", Service: "tariff-model", Rate: 38.0 / 3, Stream: true,
				Population: dossiers, PromptTokens: Range{200, 800}, AnswerTokens: Range{60, 200},
				WaitMS: Range{25000, 40000}, NonRepeatableShare: 0.4, Home: "dossier-home", HomeShare: 0.05,
			},
			{
				Class: api.ClassFetch, Model: "tariff-sheet", Service: "portal", Rate: 10,
				Population: sheets, PromptTokens: Range{1, 4}, AnswerTokens: Range{4, 16},
				WaitMS: Range{4000, 6000},
			},
		},
	}
}

// Skewed is Kodovka with a few very hot repositories and most clients in the
// smallest region.
func Skewed() *Profile {
	profile := Kodovka()
	profile.Name = "skewed"
	hot := *profile.Mixes[0].Population
	hot.Skew = 1.4
	for index := range profile.Mixes {
		if profile.Mixes[index].Class != api.ClassFetch {
			profile.Mixes[index].Population = &hot
		}
	}
	for index, share := range []float64{1, 1.5, 2.5} {
		profile.Regions[index].ClientShare = share
	}
	return profile
}

// Phase changes the traffic between Start and End. Factors of phases that
// overlap multiply; 0 means unchanged.
type Phase struct {
	Start, End time.Duration
	// RateFactor multiplies the arrival rate.
	RateFactor float64
	// PromptFactor and AnswerFactor multiply lengths in tokens.
	PromptFactor float64
	AnswerFactor float64
	// LongFactor multiplies the rate of long requests alone.
	LongFactor float64
	// ClientShares replaces the client shares of the named regions.
	ClientShares map[string]float64
}

// Scenario is a list of phases over the profile's steady traffic.
type Scenario []Phase

// Step multiplies the rate by factor from start to the end of the run.
func Step(start time.Duration, factor float64) Scenario {
	return Scenario{{Start: start, End: forever, RateFactor: factor}}
}

// Crowd multiplies the rate by factor for a while.
func Crowd(start, length time.Duration, factor float64) Scenario {
	return Scenario{{Start: start, End: start + length, RateFactor: factor}}
}

// Swing alternates between long prompts with short answers and short prompts
// with long answers, each for half a period, until end.
func Swing(start, period, end time.Duration, factor float64) Scenario {
	var scenario Scenario
	half := period / 2
	for at := start; at < end; at += period {
		scenario = append(scenario,
			Phase{Start: at, End: min(at+half, end), PromptFactor: factor, AnswerFactor: 1 / factor},
			Phase{Start: min(at+half, end), End: min(at+period, end), PromptFactor: 1 / factor, AnswerFactor: factor},
		)
	}
	return scenario
}

// Move sends all clients of one region to another for a while.
func Move(start, end time.Duration, profile *Profile, from, to string) Scenario {
	shares := map[string]float64{from: 0}
	for _, region := range profile.Regions {
		if region.Name == from {
			shares[to] += region.ClientShare
		}
		if region.Name == to {
			shares[to] += region.ClientShare
		}
	}
	return Scenario{{Start: start, End: end, ClientShares: shares}}
}

// forever ends a phase that lasts as long as the run.
const forever = 1 << 62
