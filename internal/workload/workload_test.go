package workload

import (
	"math"
	"reflect"
	"testing"
	"time"

	"github.com/deckpulley/deckpulley/api"
	"github.com/deckpulley/deckpulley/configuration"
	"github.com/deckpulley/deckpulley/examples"
)

// collect draws the requests of a time.
func collect(generator *Generator, length time.Duration) []Request {
	var requests []Request
	for {
		request := generator.Next()
		if request.At > length {
			return requests
		}
		requests = append(requests, request)
	}
}

func near(got, want, tolerance float64) bool {
	return math.Abs(got-want) <= tolerance*want
}

func TestTrafficMatchesTheDeployment(t *testing.T) {
	const length = 600 * time.Second
	for name, want := range map[string]struct{ rate, fetches float64 }{
		"kodovka": {65, 13},
		"georgia": {48, 10},
		"skewed":  {65, 13},
	} {
		profile, err := ByName(name)
		if err != nil {
			t.Fatal(err)
		}
		requests := collect(New(profile, nil, 7, "r"), length)
		if again := collect(New(profile, nil, 7, "r"), length); !reflect.DeepEqual(requests, again) {
			t.Errorf("%s: equal seeds differ", name)
		}
		classes := make(map[api.Class]float64)
		regions := make(map[string]float64)
		ids := make(map[string]bool)
		lengths := make(map[string]int)
		homes := 0.0
		for _, request := range requests {
			classes[request.Generate.Class]++
			regions[request.Region]++
			ids[request.Generate.RequestID] = true
			homes += float64(min(len(request.HomeRegions), 1))
			for _, prefix := range request.Generate.Prefixes {
				if known := lengths[prefix.ID]; known != 0 && known != prefix.Tokens {
					t.Fatalf("%s: prefix %s has %d and %d tokens", name, prefix.ID, known, prefix.Tokens)
				}
				lengths[prefix.ID] = prefix.Tokens
			}
		}
		seconds := length.Seconds()
		if rate := float64(len(requests)) / seconds; !near(rate, want.rate, 0.03) {
			t.Errorf("%s: %.1f requests/s, want %.0f", name, rate, want.rate)
		}
		if rate := classes[api.ClassFetch] / seconds; !near(rate, want.fetches, 0.05) {
			t.Errorf("%s: %.1f fetches/s, want %.0f", name, rate, want.fetches)
		}
		if ratio := classes[api.ClassQuick] / classes[api.ClassLong]; !near(ratio, 2, 0.05) {
			t.Errorf("%s: quick to long %.2f, want 2", name, ratio)
		}
		if share := homes / float64(len(requests)); share < 0.08 || share > 0.12 {
			t.Errorf("%s: %.3f bound to a home, want about a tenth", name, share)
		}
		if len(ids) != len(requests) {
			t.Errorf("%s: %d ids for %d requests", name, len(ids), len(requests))
		}
		total := 0.0
		for _, region := range profile.Regions {
			total += region.ClientShare
		}
		for _, region := range profile.Regions {
			if share := regions[region.Name] / float64(len(requests)); !near(share, region.ClientShare/total, 0.06) {
				t.Errorf("%s: %.3f of the clients in %s", name, share, region.Name)
			}
		}
	}
}

// TestNamesAreThoseOfTheExamples keeps the traffic and the example documents of
// the deployments in step.
func TestNamesAreThoseOfTheExamples(t *testing.T) {
	for _, name := range examples.Deployments() {
		text, err := examples.Configuration(name)
		if err != nil {
			t.Fatal(err)
		}
		document, err := configuration.Parse(text)
		if err != nil {
			t.Fatal(err)
		}
		profile, err := ByName(name)
		if err != nil {
			t.Fatal(err)
		}
		for _, region := range profile.Regions {
			listed := document.Regions[region.Name]
			if !reflect.DeepEqual(listed.Zones, []string{region.Zone}) || listed.Capacity != region.ModelReplicas {
				t.Errorf("%s: region %+v, the document has %+v", name, region, listed)
			}
			if client := profile.Clients + region.Name; document.Clients[client] != region.Name {
				t.Errorf("%s: client %s is mapped to %q", name, client, document.Clients[client])
			}
		}
		for _, home := range profile.Homes {
			if !reflect.DeepEqual(document.Homes[home.Name], home.Regions) {
				t.Errorf("%s: home %+v, the document has %v", name, home, document.Homes[home.Name])
			}
		}
		for _, mix := range profile.Mixes {
			route := document.Routes[mix.Model]
			if route.Service != mix.Service || route.Class != string(mix.Class) || route.Home != "" {
				t.Errorf("%s: model %s of class %s, the document has %+v", name, mix.Model, mix.Class, route)
			}
			for _, tenant := range mix.Population.Tenants {
				if document.Tenants[tenant.Name].Home != tenant.Home {
					t.Errorf("%s: tenant %+v, the document has %+v", name, tenant, document.Tenants[tenant.Name])
				}
			}
		}
	}
}

func TestScenariosChangeTheTraffic(t *testing.T) {
	profile := Kodovka()
	const second = time.Second
	cases := []struct {
		name     string
		scenario Scenario
		measure  func([]Request) float64
		// before, during and after are means over 100 s each.
		before, during, after float64
	}{
		{"step", Step(100*second, 3), rate, 65, 195, 195},
		{"crowd", Crowd(100*second, 100*second, 4), rate, 65, 260, 65},
		{"overlap", append(Crowd(100*second, 100*second, 2), Crowd(100*second, 200*second, 1.5)...), rate, 65, 195, 97.5},
		{"long answers", Scenario{{Start: 100 * second, End: 200 * second, AnswerFactor: 3}}, answerTokens, 47.3, 142, 47.3},
		{"swing", Swing(100*second, 200*second, 300*second, 2), answerTokens, 47.3, 23.7, 94.7},
		{"move", Move(100*second, 200*second, profile, "north", "south"), southern, 1.0 / 3, 2.0 / 3, 1.0 / 3},
		{"more long", Scenario{{Start: 100 * second, End: 200 * second, LongFactor: 4}}, rate, 65, 65 + 52, 65},
	}
	for _, test := range cases {
		requests := collect(New(profile, test.scenario, 3, "r"), 300*second)
		for index, want := range []float64{test.before, test.during, test.after} {
			start := time.Duration(index) * 100 * second
			if got := test.measure(within(requests, start, start+100*second)); !near(got, want, 0.06) {
				t.Errorf("%s: %.2f from %v on, want %.2f", test.name, got, start, want)
			}
		}
	}
}

func within(requests []Request, start, end time.Duration) []Request {
	var chosen []Request
	for _, request := range requests {
		if request.At >= start && request.At < end {
			chosen = append(chosen, request)
		}
	}
	return chosen
}

// rate is in requests per second over 100 s.
func rate(requests []Request) float64 {
	return float64(len(requests)) / 100
}

func answerTokens(requests []Request) float64 {
	total := 0
	for _, request := range requests {
		total += request.Generate.MaxTokens
	}
	return float64(total) / float64(len(requests))
}

func southern(requests []Request) float64 {
	count := 0.0
	for _, request := range requests {
		if request.Region == "south" {
			count++
		}
	}
	return count / float64(len(requests))
}
