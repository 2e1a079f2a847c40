// Package configuration defines the configuration document that operators write: its
// types, strict parsing, validation, and translation into changes of the registry.
package configuration

import (
	"iter"
	"maps"
	"slices"
)

// Document is a complete configuration. It is applied entirely or not at all.
type Document struct {
	// Regions are keyed by name.
	Regions map[string]Region `yaml:"regions" json:"regions"`
	// Services are keyed by name.
	Services map[string]Service `yaml:"services" json:"services"`
	// Routes are keyed by the model name that callers use.
	Routes map[string]Route `yaml:"routes" json:"routes"`
	// Clients maps client groups to the region that serves them.
	Clients map[string]string `yaml:"clients,omitempty" json:"clients,omitempty"`
	// Homes are home rules by name: the only regions that may run the requests bound to
	// them.
	Homes map[string][]string `yaml:"homes,omitempty" json:"homes,omitempty"`
	// Tenants are keyed by name. A tenant that is not listed has no home and weight 1.
	Tenants map[string]Tenant `yaml:"tenants,omitempty" json:"tenants,omitempty"`
	// Limits are the set points of the controllers.
	Limits Limits `yaml:"limits,omitempty" json:"limits,omitempty"`
	// HTTP configures services that are reached by host and path.
	HTTP HTTP `yaml:"http,omitempty" json:"http,omitempty"`

	// lines has the line number of each path of a parsed document.
	lines map[string]int
}

// Region lists the zones of a region and defines its placement rule.
type Region struct {
	Zones []string `yaml:"zones" json:"zones" jsonschema:"minItems=1"`
	// Spill lists the regions that serve its overflow, in order of preference.
	Spill []string `yaml:"spill,omitempty" json:"spill,omitempty"`
	// Capacity is the region's weight relative to other regions.
	Capacity int `yaml:"capacity" json:"capacity" jsonschema:"minimum=1,maximum=1000000"`
}

// Service is a set of interchangeable replicas.
type Service struct {
	// Kind is KindModel or KindWeb.
	Kind string `yaml:"kind" json:"kind" jsonschema:"enum=model,enum=web"`
	// MaxConcurrency bounds the requests in flight per replica.
	MaxConcurrency int `yaml:"max_concurrency" json:"max_concurrency" jsonschema:"minimum=1,maximum=10000"`
}

// Route maps a model name to a service.
type Route struct {
	Service string `yaml:"service" json:"service"`
	// Class is the latency class of requests that name none: "quick", "long" or "fetch".
	Class string `yaml:"class,omitempty" json:"class,omitempty" jsonschema:"enum=quick,enum=long,enum=fetch"`
	// Home, if set, is the home rule of every request of the route.
	Home string `yaml:"home,omitempty" json:"home,omitempty"`
	// Weight is the route's relative share of the capacity when it is scarce; zero selects
	// 1.
	Weight int `yaml:"weight,omitempty" json:"weight,omitempty" jsonschema:"minimum=0,maximum=1000"`
}

// Tenant is the home rule and the weight of a tenant.
type Tenant struct {
	// Home, if set, is the home rule of every request of the tenant.
	Home string `yaml:"home,omitempty" json:"home,omitempty"`
	// Weight is the tenant's relative share of the capacity when it is scarce; zero
	// selects 1.
	Weight int `yaml:"weight,omitempty" json:"weight,omitempty" jsonschema:"minimum=0,maximum=1000"`
}

// Limits are the set points. Fields, units and defaults are those of catalog.Limits;
// zero selects the default.
type Limits struct {
	RetryRatio        float64 `yaml:"retry_ratio,omitempty" json:"retry_ratio,omitempty" jsonschema:"minimum=0,maximum=0.2"`
	QueueLength       int     `yaml:"queue_length,omitempty" json:"queue_length,omitempty" jsonschema:"minimum=0,maximum=10000"`
	TargetUtilization float64 `yaml:"target_utilization,omitempty" json:"target_utilization,omitempty" jsonschema:"minimum=0,maximum=1"`
	FirstTokenMS      int     `yaml:"first_token_ms,omitempty" json:"first_token_ms,omitempty" jsonschema:"minimum=0,maximum=60000"`
	WarmupConcurrency int     `yaml:"cold_concurrency,omitempty" json:"cold_concurrency,omitempty" jsonschema:"minimum=0,maximum=64"`
	StreamGapMS       int     `yaml:"stream_gap_ms,omitempty" json:"stream_gap_ms,omitempty" jsonschema:"minimum=0,maximum=600000"`
}

// defaultWeight is the weight of a route or tenant that has none.
const defaultWeight = 1

func weightOrDefault(weight int) int {
	if weight == 0 {
		return defaultWeight
	}
	return weight
}

// sorted iterates over a map in the order of its keys, so that equal documents result in
// equal changes and problems.
func sorted[V any](items map[string]V) iter.Seq2[string, V] {
	return func(yield func(string, V) bool) {
		for _, name := range slices.Sorted(maps.Keys(items)) {
			if !yield(name, items[name]) {
				return
			}
		}
	}
}
