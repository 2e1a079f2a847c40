package routemap

import (
	"errors"
	"testing"
	"time"
)

func validMap() Map {
	return Map{
		Version: 1,
		Services: []Service{
			{Name: "pool", MaxConnections: 100},
			{Name: "web"},
		},
		Routes: []Route{
			{Name: "a", Host: "Example.test", PathPrefix: "/a/", Kind: AtMostOnce, Targets: []Target{{"pool", 3}, {"web", 1}}, Timeout: time.Second},
			{Name: "ab", Host: "example.test", PathPrefix: "/a/b/", Kind: Stream, Targets: []Target{{"web", 1}}, Timeout: time.Second},
		},
	}
}

// TestValidate checks that each invalid field of a map is reported by its path.
func TestValidate(t *testing.T) {
	tests := map[string]struct {
		change func(*Map)
		field  string
	}{
		"version 0":                {func(m *Map) { m.Version = 0 }, "version"},
		"duplicate service":        {func(m *Map) { m.Services[1].Name = "pool" }, "services[1].name"},
		"service without name":     {func(m *Map) { m.Services[0].Name = "" }, "services[0].name"},
		"negative connections":     {func(m *Map) { m.Services[0].MaxConnections = -1 }, "services[0]"},
		"negative slow-start rate": {func(m *Map) { m.Services[0].SlowStartRate = -1 }, "services[0]"},
		"duplicate route":          {func(m *Map) { m.Routes[1].Name = "a" }, "routes[1].name"},
		"same host and prefix":     {func(m *Map) { m.Routes[1].PathPrefix = "/a/" }, "routes[1].path_prefix"},
		"no trailing slash":        {func(m *Map) { m.Routes[0].PathPrefix = "/a" }, "routes[0].path_prefix"},
		"no host":                  {func(m *Map) { m.Routes[0].Host = "" }, "routes[0].host"},
		"unknown kind":             {func(m *Map) { m.Routes[0].Kind = "twice" }, "routes[0].kind"},
		"no timeout":               {func(m *Map) { m.Routes[0].Timeout = 0 }, "routes[0].timeout_ms"},
		"unknown service":          {func(m *Map) { m.Routes[0].Targets[1].Service = "gone" }, "routes[0].targets[1].service"},
		"negative weight":          {func(m *Map) { m.Routes[0].Targets[1].Weight = -1 }, "routes[0].targets[1].weight"},
		"all weights 0":            {func(m *Map) { m.Routes[1].Targets[0].Weight = 0 }, "routes[1].targets"},
		"no targets":               {func(m *Map) { m.Routes[1].Targets = nil }, "routes[1].targets"},
		"negative attempts":        {func(m *Map) { m.Routes[1].MaxAttempts = -1 }, "routes[1]"},
	}
	valid := validMap()
	if err := valid.Validate(); err != nil {
		t.Fatal(err)
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := validMap()
			test.change(&m)
			var invalid *FieldError
			if err := m.Validate(); !errors.As(err, &invalid) || invalid.Field != test.field || invalid.Reason == "" {
				t.Fatalf("error %v, want a FieldError for the field %q", err, test.field)
			}
		})
	}
}

// TestLookupPrefersLongestPrefix checks which route a host and a path match.
func TestLookupPrefersLongestPrefix(t *testing.T) {
	table := NewTable(validMap().Routes)
	tests := map[string]struct{ host, path, want string }{
		"longest":                {"example.test", "/a/b/c", "ab"},
		"shorter":                {"example.test", "/a/x", "a"},
		"case and port":          {"EXAMPLE.test:80", "/a/", "a"},
		"no match within a name": {"example.test", "/ab/", ""},
		"other host":             {"other.test", "/a/", ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := ""
			if route := table.Lookup(test.host, test.path); route != nil {
				got = route.Name
			}
			if got != test.want {
				t.Errorf("route %q, want %q", got, test.want)
			}
		})
	}
}

// TestPickByWeight checks that services are picked in proportion to their weights.
func TestPickByWeight(t *testing.T) {
	route := validMap().Routes[0]
	counts := map[string]int{}
	for i := range 400 {
		counts[route.PickService(float64(i)/400)]++
	}
	if counts["pool"] != 300 || counts["web"] != 100 {
		t.Errorf("requests by service: %v, want 300 for pool and 100 for web", counts)
	}
}

func TestRetryable(t *testing.T) {
	tests := map[string]struct {
		route Route
		want  bool
	}{
		"at most once":     {Route{Kind: AtMostOnce}, false},
		"idempotent":       {Route{Kind: Idempotent}, true},
		"stream":           {Route{Kind: Stream}, false},
		"resumable stream": {Route{Kind: Stream, Resumable: true}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := test.route.Retryable(); got != test.want {
				t.Errorf("Retryable() of %+v = %v", test.route, got)
			}
		})
	}
}
