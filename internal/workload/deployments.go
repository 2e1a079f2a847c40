package workload

import (
	"fmt"

	"github.com/deckpulley/deckpulley/api"
)

// ByName returns the profile of a deployment: "kodovka", "georgia" or "skewed". Any
// other name is an error.
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

// Kodovka returns the traffic of a banking integrator's developers: long streamed
// repository explanations, inline lookups and snippet fetches. The names match
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
		Name:         "kodovka",
		Regions:      threeRegions(5, 4, 3),
		Homes:        []Home{{Name: "bank-home", Regions: []string{"north"}}},
		ClientPrefix: "developers-",
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

// threeRegions returns the regions of the example deployments with the given
// numbers of model replicas and equally many clients in each.
func threeRegions(north, central, south int) []Region {
	return []Region{
		{Name: "north", Zone: "north-1", ModelReplicas: north, WebReplicas: 1, ClientShare: 1},
		{Name: "central", Zone: "central-1", ModelReplicas: central, WebReplicas: 1, ClientShare: 1},
		{Name: "south", Zone: "south-1", ModelReplicas: south, WebReplicas: 1, ClientShare: 1},
	}
}

// Georgia returns the traffic of a tariff authority: rebate reviews over household
// dossiers, contractors' tariff questions and a portal's sheet fetches. The names
// match examples/georgia.yaml.
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
		Regions: threeRegions(4, 3, 2),
		Homes: []Home{
			{Name: "dossier-home", Regions: []string{"north", "central"}},
			{Name: "field-home", Regions: []string{"south"}},
		},
		ClientPrefix: "offices-",
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

// Skewed returns Kodovka with a few very popular repositories and most clients in
// the smallest region.
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
