package configuration

import (
	"fmt"
	"maps"
	"math"
	"regexp"
	"slices"

	"github.com/deckpulley/deckpulley/api"
)

// Bounds of a document. Together they ensure that its changes fit into one update of the
// registry.
const (
	MaxRegions     = 256
	MaxZones       = 1024 // total of all regions
	MaxServices    = 1024
	MaxRoutes      = 20_000
	MaxClients     = 10_000
	MaxHomes       = 1000
	MaxTenants     = 10_000
	MaxCapacity    = 1_000_000
	MaxConcurrency = 10_000
	MaxWeight      = 1000
)

// Ranges of the set points, in the units of the fields of Limits.
const (
	MaxRetryRatio        = 0.2
	MaxQueueLength       = 10_000
	MinTargetUtilization = 0.1
	MaxTargetUtilization = 1
	MaxFirstTokenMS      = 60_000
	MaxWarmupConcurrency = 64
	MinStreamGapMS       = 100
	MaxStreamGapMS       = 600_000
)

// Kinds of services.
const (
	// KindModel is a service of a model, with prefill and decode.
	KindModel = "model"
	// KindWeb is a service without prefill and decode.
	KindWeb = "web"
)

var (
	serviceKinds = []string{KindModel, KindWeb}
	classes      = []string{string(api.ClassQuick), string(api.ClassLong), string(api.ClassFetch)}
	validName    = regexp.MustCompile(`^[A-Za-z0-9._:/@+-]+$`)
)

// Validate checks the content of the document: names, ranges, and that every reference
// is to an object in the document. The error is a *DocumentError with all problems.
func (d *Document) Validate() error {
	check := &validator{document: d}
	check.counts()
	check.regions()
	check.services()
	check.routes()
	check.clients()
	check.homes()
	check.tenants()
	check.limits()
	check.http()
	return check.problems.err()
}

// validator is one run of Validate.
type validator struct {
	document *Document
	problems problemList
}

// fail adds a problem with the field at a path.
func (v *validator) fail(path, reason string, values ...any) {
	v.problems.add(v.problemAt(path, reason, values...))
}

func (v *validator) problemAt(path, reason string, values ...any) Problem {
	return Problem{Line: v.document.lines[path], Field: path, Reason: fmt.Sprintf(reason, values...)}
}

// reference requires that an object with the name is defined. kind is the kind of
// object, for the message.
func reference[T any](v *validator, path, kind, name string, defined map[string]T) {
	if _, known := defined[name]; known {
		return
	}
	v.problems.addUnknown(v.problemAt(path, "no %s %q", kind, name), name, slices.Collect(maps.Keys(defined)))
}

// oneOf requires that the value is one of the valid ones.
func (v *validator) oneOf(path, value string, valid []string) {
	if slices.Contains(valid, value) {
		return
	}
	v.problems.addUnknown(v.problemAt(path, "%q is not one of %q", value, valid), value, valid)
}

func (v *validator) name(path, name string) {
	switch {
	case name == "":
		v.fail(path, "name is empty")
	case len(name) > api.MaxNameBytes:
		v.fail(path, "name of %d bytes, at most %d", len(name), api.MaxNameBytes)
	case !validName.MatchString(name):
		v.fail(path, `name %q contains characters other than letters, digits and "-._:/@+"`, name)
	}
}

// inRange requires a value from low to high, both included.
func (v *validator) inRange(path string, value, low, high int) {
	if value < low || value > high {
		v.fail(path, "%d is not between %d and %d", value, low, high)
	}
}

// counts checks the numbers of objects against the bounds of a document.
func (v *validator) counts() {
	zones := 0
	for _, region := range v.document.Regions {
		zones += len(region.Zones)
	}
	bounds := []struct {
		path, what   string
		count, limit int
	}{
		{"regions", "regions", len(v.document.Regions), MaxRegions},
		{"regions", "zones", zones, MaxZones},
		{"services", "services", len(v.document.Services), MaxServices},
		{"routes", "routes", len(v.document.Routes), MaxRoutes},
		{"clients", "clients", len(v.document.Clients), MaxClients},
		{"homes", "homes", len(v.document.Homes), MaxHomes},
		{"tenants", "tenants", len(v.document.Tenants), MaxTenants},
	}
	for _, bound := range bounds {
		if bound.count > bound.limit {
			v.fail(bound.path, "%d %s, at most %d", bound.count, bound.what, bound.limit)
		}
	}
}

func (v *validator) regions() {
	regions := v.document.Regions
	if len(regions) == 0 {
		v.fail("regions", "there must be at least one region")
	}
	owner := map[string]string{}
	for name, region := range sorted(regions) {
		path := joinPath("regions", name)
		v.name(path, name)
		if len(region.Zones) == 0 {
			v.fail(path+".zones", "region %q has no zones", name)
		}
		v.zones(path+".zones", name, region.Zones, owner)
		v.spill(path+".spill", name, region.Spill)
		v.inRange(path+".capacity", region.Capacity, 1, MaxCapacity)
	}
}

// zones requires that each zone is listed once, in one region.
func (v *validator) zones(path, region string, zones []string, owner map[string]string) {
	for i, zone := range zones {
		entry := fmt.Sprintf("%s[%d]", path, i)
		v.name(entry, zone)
		if other, taken := owner[zone]; taken {
			v.fail(entry, "zone %q is already in region %q", zone, other)
			continue
		}
		owner[zone] = region
	}
}

// spill requires that the targets are other regions, each listed once.
func (v *validator) spill(path, region string, targets []string) {
	seen := map[string]bool{}
	for i, target := range targets {
		entry := fmt.Sprintf("%s[%d]", path, i)
		switch {
		case target == region:
			v.fail(entry, "region %q spills to itself", region)
		case seen[target]:
			v.fail(entry, "region %q is listed twice", target)
		default:
			reference(v, entry, "region", target, v.document.Regions)
		}
		seen[target] = true
	}
}

func (v *validator) services() {
	for name, service := range sorted(v.document.Services) {
		path := joinPath("services", name)
		v.name(path, name)
		v.oneOf(path+".kind", service.Kind, serviceKinds)
		v.inRange(path+".max_concurrency", service.MaxConcurrency, 1, MaxConcurrency)
	}
}

func (v *validator) routes() {
	for name, route := range sorted(v.document.Routes) {
		path := joinPath("routes", name)
		v.name(path, name)
		reference(v, path+".service", "service", route.Service, v.document.Services)
		if route.Class != "" {
			v.oneOf(path+".class", route.Class, classes)
		}
		if route.Home != "" {
			reference(v, path+".home", "home", route.Home, v.document.Homes)
		}
		v.inRange(path+".weight", route.Weight, 0, MaxWeight)
	}
}

func (v *validator) clients() {
	for name, region := range sorted(v.document.Clients) {
		path := joinPath("clients", name)
		v.name(path, name)
		reference(v, path, "region", region, v.document.Regions)
	}
}

func (v *validator) homes() {
	for name, regions := range sorted(v.document.Homes) {
		path := joinPath("homes", name)
		v.name(path, name)
		if !v.homeRegions(path, regions) {
			v.fail(path, "no region serves home %q", name)
		}
	}
}

// homeRegions checks the regions of a home, and reports whether any of them exists.
func (v *validator) homeRegions(path string, regions []string) bool {
	seen := map[string]bool{}
	served := false
	for i, region := range regions {
		entry := fmt.Sprintf("%s[%d]", path, i)
		if seen[region] {
			v.fail(entry, "region %q is listed twice", region)
			continue
		}
		seen[region] = true
		_, known := v.document.Regions[region]
		served = served || known
		reference(v, entry, "region", region, v.document.Regions)
	}
	return served
}

func (v *validator) tenants() {
	for name, tenant := range sorted(v.document.Tenants) {
		path := joinPath("tenants", name)
		v.name(path, name)
		if tenant.Home != "" {
			reference(v, path+".home", "home", tenant.Home, v.document.Homes)
		}
		v.inRange(path+".weight", tenant.Weight, 0, MaxWeight)
	}
}

// limits checks the set points that are not zero; zero selects the default.
func (v *validator) limits() {
	limits := v.document.Limits
	ratios := []struct {
		path             string
		value, low, high float64
	}{
		{"limits.retry_ratio", limits.RetryRatio, 0, MaxRetryRatio},
		{"limits.target_utilization", limits.TargetUtilization, MinTargetUtilization, MaxTargetUtilization},
	}
	for _, ratio := range ratios {
		outside := math.IsNaN(ratio.value) || ratio.value < ratio.low || ratio.value > ratio.high
		if ratio.value != 0 && outside {
			v.fail(ratio.path, "%v is not between %v and %v", ratio.value, ratio.low, ratio.high)
		}
	}
	counts := []struct {
		path             string
		value, low, high int
	}{
		{"limits.queue_length", limits.QueueLength, 1, MaxQueueLength},
		{"limits.first_token_ms", limits.FirstTokenMS, 1, MaxFirstTokenMS},
		{"limits.cold_concurrency", limits.WarmupConcurrency, 1, MaxWarmupConcurrency},
		{"limits.stream_gap_ms", limits.StreamGapMS, MinStreamGapMS, MaxStreamGapMS},
	}
	for _, count := range counts {
		if count.value != 0 {
			v.inRange(count.path, count.value, count.low, count.high)
		}
	}
}
