// Package configuration is the operators' whole document: its types, strict
// parsing, validation, and its translation into registry changes.
package configuration

// Document is one whole configuration. It is applied entirely or not at all.
type Document struct {
	// Regions by name.
	Regions map[string]Region `yaml:"regions" json:"regions"`
	// Services by name.
	Services map[string]Service `yaml:"services" json:"services"`
	// Routes by the model name that callers use.
	Routes map[string]Route `yaml:"routes" json:"routes"`
	// Clients maps client groups to the region that serves them.
	Clients map[string]string `yaml:"clients,omitempty" json:"clients,omitempty"`
	// Homes by name: the only regions that may run what is bound to them.
	Homes map[string][]string `yaml:"homes,omitempty" json:"homes,omitempty"`
	// Tenants by name; tenants not listed have no home and weight 1.
	Tenants map[string]Tenant `yaml:"tenants,omitempty" json:"tenants,omitempty"`
	// Limits are the set points of the controllers.
	Limits Limits `yaml:"limits,omitempty" json:"limits,omitempty"`
	// HTTP is for services that are reached by host and path.
	HTTP HTTP `yaml:"http,omitempty" json:"http,omitempty"`

	// lines holds the line of each path of a parsed document.
	lines map[string]int
}

// Region is one region of the document.
type Region struct {
	Zones    []string `yaml:"zones" json:"zones" jsonschema:"minItems=1"`
	Spill    []string `yaml:"spill,omitempty" json:"spill,omitempty"`
	Capacity int      `yaml:"capacity" json:"capacity" jsonschema:"minimum=1,maximum=1000000"`
}

// Service is one set of interchangeable replicas.
type Service struct {
	Kind           string `yaml:"kind" json:"kind" jsonschema:"enum=model,enum=web"` // "model" or "web"
	MaxConcurrency int    `yaml:"max_concurrency" json:"max_concurrency" jsonschema:"minimum=1,maximum=10000"`
}

// Route points a model name to a service.
type Route struct {
	Service string `yaml:"service" json:"service"`
	Class   string `yaml:"class,omitempty" json:"class,omitempty" jsonschema:"enum=quick,enum=long,enum=fetch"` // "quick", "long" or "fetch"
	Home    string `yaml:"home,omitempty" json:"home,omitempty"`
	Weight  int    `yaml:"weight,omitempty" json:"weight,omitempty" jsonschema:"minimum=0,maximum=1000"`
}

// Tenant binds a tenant to a home and a share.
type Tenant struct {
	Home   string `yaml:"home,omitempty" json:"home,omitempty"`
	Weight int    `yaml:"weight,omitempty" json:"weight,omitempty" jsonschema:"minimum=0,maximum=1000"`
}

// Limits are the set points; a zero field means the default of catalog.Limits.
type Limits struct {
	RetryRatio        float64 `yaml:"retry_ratio,omitempty" json:"retry_ratio,omitempty" jsonschema:"minimum=0,maximum=0.2"`
	QueueLength       int     `yaml:"queue_length,omitempty" json:"queue_length,omitempty" jsonschema:"minimum=0,maximum=10000"`
	TargetUtilization float64 `yaml:"target_utilization,omitempty" json:"target_utilization,omitempty" jsonschema:"minimum=0,maximum=1"`
	FirstTokenMS      int     `yaml:"first_token_ms,omitempty" json:"first_token_ms,omitempty" jsonschema:"minimum=0,maximum=60000"`
	WarmupConcurrency int     `yaml:"cold_concurrency,omitempty" json:"cold_concurrency,omitempty" jsonschema:"minimum=0,maximum=64"`
	StreamGapMS       int     `yaml:"stream_gap_ms,omitempty" json:"stream_gap_ms,omitempty" jsonschema:"minimum=0,maximum=600000"`
}
