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

// drawUntil returns the requests that arrive within the given length of time.
func drawUntil(generator *Generator, length time.Duration) []Request {
	var requests []Request
	for {
		request := generator.Next()
		if request.At > length {
			return requests
		}
		requests = append(requests, request)
	}
}

// withinTolerance reports whether got differs from want by at most the relative
// tolerance.
func withinTolerance(got, want, tolerance float64) bool {
	return math.Abs(got-want) <= tolerance*want
}

// TestGeneratedTrafficMatchesProfile compares ten minutes of generated traffic with the
// rates and shares of each deployment's profile.
func TestGeneratedTrafficMatchesProfile(t *testing.T) {
	cases := []struct {
		deployment    string
		rate, fetches float64 // per second
	}{
		{"kodovka", 65, 13},
		{"georgia", 48, 10},
		{"skewed", 65, 13},
	}
	const length = 600 * time.Second
	for _, test := range cases {
		t.Run(test.deployment, func(t *testing.T) {
			profile, err := ByName(test.deployment)
			if err != nil {
				t.Fatal(err)
			}
			requests := drawUntil(New(profile, nil, 7, "r"), length)
			if again := drawUntil(New(profile, nil, 7, "r"), length); !reflect.DeepEqual(requests, again) {
				t.Error("equal seeds give different requests")
			}
			if rate := float64(len(requests)) / length.Seconds(); !withinTolerance(rate, test.rate, 0.03) {
				t.Errorf("rate = %.1f requests/s, want %.0f", rate, test.rate)
			}
			checkClasses(t, requests, length, test.fetches)
			checkHomeShare(t, requests)
			checkIdentifiers(t, requests)
			checkClientShares(t, profile, requests)
		})
	}
}

// checkClasses compares the rate of fetches and the ratio of the other two classes
// with those of the deployments.
func checkClasses(t *testing.T, requests []Request, length time.Duration, fetches float64) {
	t.Helper()
	classes := make(map[api.Class]float64)
	for _, request := range requests {
		classes[request.Generate.Class]++
	}
	if rate := classes[api.ClassFetch] / length.Seconds(); !withinTolerance(rate, fetches, 0.05) {
		t.Errorf("rate = %.1f fetches/s, want %.0f", rate, fetches)
	}
	if ratio := classes[api.ClassQuick] / classes[api.ClassLong]; !withinTolerance(ratio, 2, 0.05) {
		t.Errorf("ratio of quick to long requests = %.2f, want 2", ratio)
	}
}

// checkHomeShare checks that about a tenth of the requests is bound to a home.
func checkHomeShare(t *testing.T, requests []Request) {
	t.Helper()
	homes := 0.0
	for _, request := range requests {
		homes += float64(min(len(request.HomeRegions), 1))
	}
	if share := homes / float64(len(requests)); share < 0.08 || share > 0.12 {
		t.Errorf("share of requests bound to a home = %.3f, want 0.08 to 0.12", share)
	}
}

// checkIdentifiers checks that request ids are unique and that a prefix id always
// has the same length.
func checkIdentifiers(t *testing.T, requests []Request) {
	t.Helper()
	ids := make(map[string]bool)
	lengths := make(map[string]int)
	for _, request := range requests {
		ids[request.Generate.RequestID] = true
		for _, prefix := range request.Generate.Prefixes {
			if known := lengths[prefix.ID]; known != 0 && known != prefix.Tokens {
				t.Fatalf("prefix %s has %d and %d tokens", prefix.ID, known, prefix.Tokens)
			}
			lengths[prefix.ID] = prefix.Tokens
		}
	}
	if len(ids) != len(requests) {
		t.Errorf("%d distinct ids for %d requests", len(ids), len(requests))
	}
}

// checkClientShares compares the requests of each region with its client share.
func checkClientShares(t *testing.T, profile *Profile, requests []Request) {
	t.Helper()
	regions := make(map[string]float64)
	for _, request := range requests {
		regions[request.Region]++
	}
	total := 0.0
	for _, region := range profile.Regions {
		total += region.ClientShare
	}
	for _, region := range profile.Regions {
		if share := regions[region.Name] / float64(len(requests)); !withinTolerance(share, region.ClientShare/total, 0.06) {
			t.Errorf("share of requests = %.3f from clients in %s, want %.3f", share, region.Name, region.ClientShare/total)
		}
	}
}

// TestProfilesMatchExampleDocuments checks that each profile has the regions, clients,
// homes, routes and tenants of the deployment's example configuration.
func TestProfilesMatchExampleDocuments(t *testing.T) {
	for _, name := range examples.Deployments() {
		t.Run(name, func(t *testing.T) {
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
			checkRegions(t, profile, document)
			checkHomes(t, profile, document)
			checkRoutes(t, profile, document)
		})
	}
}

func checkRegions(t *testing.T, profile *Profile, document *configuration.Document) {
	t.Helper()
	for _, region := range profile.Regions {
		listed := document.Regions[region.Name]
		if !reflect.DeepEqual(listed.Zones, []string{region.Zone}) || listed.Capacity != region.ModelReplicas {
			t.Errorf("profile has region %+v, example document has %+v", region, listed)
		}
		if client := profile.ClientPrefix + region.Name; document.Clients[client] != region.Name {
			t.Errorf("example document maps client %s to %q", client, document.Clients[client])
		}
	}
}

func checkHomes(t *testing.T, profile *Profile, document *configuration.Document) {
	t.Helper()
	for _, home := range profile.Homes {
		if !reflect.DeepEqual(document.Homes[home.Name], home.Regions) {
			t.Errorf("profile has home %+v, example document has %v", home, document.Homes[home.Name])
		}
	}
}

// checkRoutes compares the routes and the tenants' homes.
func checkRoutes(t *testing.T, profile *Profile, document *configuration.Document) {
	t.Helper()
	for _, mix := range profile.Mixes {
		route := document.Routes[mix.Model]
		if route.Service != mix.Service || route.Class != string(mix.Class) || route.Home != "" {
			t.Errorf("profile has model %s of class %s, example document has route %+v", mix.Model, mix.Class, route)
		}
		for _, tenant := range mix.Population.Tenants {
			if document.Tenants[tenant.Name].Home != tenant.Home {
				t.Errorf("profile has tenant %+v, example document has %+v", tenant, document.Tenants[tenant.Name])
			}
		}
	}
}

// TestScenarios checks that the phases of a scenario change the traffic as specified. It
// measures one quantity in three successive windows of 100 s.
func TestScenarios(t *testing.T) {
	const second = time.Second
	const window = 100 * second
	profile := Kodovka()
	cases := []struct {
		name     string
		scenario Scenario
		measure  func([]Request) float64
		// before, during and after are the values measured over one window each.
		before, during, after float64
	}{
		{"step", Step(100*second, 3), arrivalRate, 65, 195, 195},
		{"crowd", FlashCrowd(100*second, 100*second, 4), arrivalRate, 65, 260, 65},
		{"overlapping phases", append(FlashCrowd(100*second, 100*second, 2), FlashCrowd(100*second, 200*second, 1.5)...), arrivalRate, 65, 195, 97.5},
		{"long answers", Scenario{{Start: 100 * second, End: 200 * second, AnswerFactor: 3}}, meanAnswerTokens, 47.3, 142, 47.3},
		{"swing", AlternateLengths(100*second, 200*second, 300*second, 2), meanAnswerTokens, 47.3, 23.7, 94.7},
		{"move", ShiftClients(100*second, 200*second, profile, "north", "south"), southernShare, 1.0 / 3, 2.0 / 3, 1.0 / 3},
		{"more long requests", Scenario{{Start: 100 * second, End: 200 * second, LongFactor: 4}}, arrivalRate, 65, 65 + 52, 65},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			requests := drawUntil(New(profile, test.scenario, 3, "r"), 3*window)
			for index, want := range []float64{test.before, test.during, test.after} {
				start := time.Duration(index) * window
				if got := test.measure(arrivedBetween(requests, start, start+window)); !withinTolerance(got, want, 0.06) {
					t.Errorf("measured %.2f in the window from %v, want %.2f", got, start, want)
				}
			}
		})
	}
}

// arrivedBetween returns the requests that arrived from start (inclusive) to end
// (exclusive).
func arrivedBetween(requests []Request, start, end time.Duration) []Request {
	var chosen []Request
	for _, request := range requests {
		if request.At >= start && request.At < end {
			chosen = append(chosen, request)
		}
	}
	return chosen
}

// arrivalRate returns the arrival rate, per second, of requests that arrived within
// 100 s.
func arrivalRate(requests []Request) float64 {
	return float64(len(requests)) / 100
}

func meanAnswerTokens(requests []Request) float64 {
	total := 0
	for _, request := range requests {
		total += request.Generate.MaxTokens
	}
	return float64(total) / float64(len(requests))
}

// southernShare returns the fraction of requests from the region south.
func southernShare(requests []Request) float64 {
	count := 0.0
	for _, request := range requests {
		if request.Region == "south" {
			count++
		}
	}
	return count / float64(len(requests))
}
