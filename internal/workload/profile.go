// Package workload generates the requests that the callers of a deployment send.
// It is seeded, deterministic and performs no I/O: equal profiles, scenarios and
// seeds give equal requests.
package workload

import "github.com/deckpulley/deckpulley/api"

// Range is a closed range of integers from which values are drawn uniformly.
type Range struct {
	Minimum, Maximum int
}

// Region is one region of a deployment with its replicas and clients.
type Region struct {
	Name string
	Zone string
	// ModelReplicas and WebReplicas count the replicas of each service.
	ModelReplicas int
	WebReplicas   int
	// ClientShare is the relative weight of the region's clients; the weights of a
	// profile need not add up to 1.
	ClientShare float64
}

// Home is a home rule: its requests may run only in the listed regions.
type Home struct {
	Name    string
	Regions []string
}

// Tenant is one tenant of a population.
type Tenant struct {
	Name string
	// Share is the fraction of the population's requests; the shares of a population
	// add up to 1.
	Share float64
	// Home is the home rule that the configuration binds the tenant to, if any.
	Home string
	// Documents is the number of the tenant's documents, for example repositories.
	// A tenant without documents sends requests without prefixes.
	Documents int
}

// Population describes tenants and the documents whose prefixes their requests
// share. Lengths are in tokens.
type Population struct {
	Tenants []Tenant
	// Skew is the exponent of the Zipf distribution over a tenant's documents; 0 is
	// uniform.
	Skew float64
	// SystemTokens is the length of the prefix that all requests of a model share.
	SystemTokens int
	// DocumentTokens and SectionTokens are the lengths of the prefixes that follow it.
	DocumentTokens Range
	SectionTokens  Range
	// Sections is the number of sections per document.
	Sections int
}

// Mix describes one kind of request in a profile and how often it arrives.
type Mix struct {
	Class api.Class
	// Model is the route that the callers name, Service the service that it routes to.
	Model   string
	Service string
	// Rate is the arrival rate in requests per second.
	Rate float64
	// Population describes the tenants and prefixes that requests are drawn from.
	Population *Population
	// PromptTokens is the length of the prompt after the prefixes, AnswerTokens that
	// of the answer, both in tokens.
	PromptTokens Range
	AnswerTokens Range
	Stream       bool
	// WaitMS is the time from the arrival to the caller's deadline, in milliseconds.
	WaitMS Range
	// NonRepeatableShare is the fraction of requests that must run at most once.
	NonRepeatableShare float64
	// Home is the home rule that is named by a fraction HomeShare of the requests. The
	// home rule of a tenant takes precedence.
	Home      string
	HomeShare float64
}

// Profile describes the traffic of one deployment.
type Profile struct {
	Name    string
	Regions []Region
	Homes   []Home
	// ClientPrefix is the prefix of the client groups' names: "<prefix><region>".
	ClientPrefix string
	Mixes        []Mix
}

// Rate returns the arrival rate of all mixes together, in requests per second.
func (p *Profile) Rate() float64 {
	total := 0.0
	for _, mix := range p.Mixes {
		total += mix.Rate
	}
	return total
}

// homeRegions returns the regions of a home rule, nil if there is no such rule.
func (p *Profile) homeRegions(name string) []string {
	for _, home := range p.Homes {
		if home.Name == name {
			return home.Regions
		}
	}
	return nil
}

// Scale returns a copy of the profile with every arrival rate multiplied by the
// factor. Populations are shared with the original.
func (p *Profile) Scale(factor float64) *Profile {
	scaled := *p
	scaled.Mixes = append([]Mix(nil), p.Mixes...)
	for index := range scaled.Mixes {
		scaled.Mixes[index].Rate *= factor
	}
	return &scaled
}
