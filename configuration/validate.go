package configuration

import (
	"fmt"
	"maps"
	"math"
	"regexp"
	"slices"

	"github.com/deckpulley/deckpulley/api"
)

// Bounds of a document. Together they keep its changes within one update.
const (
	MaxRegions     = 256
	MaxZones       = 1024 // over all regions
	MaxServices    = 1024
	MaxRoutes      = 20_000
	MaxClients     = 10_000
	MaxHomes       = 1000
	MaxTenants     = 10_000
	MaxCapacity    = 1_000_000
	MaxConcurrency = 10_000
	MaxWeight      = 1000
)

// Ranges of the set points.
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
	KindModel = "model"
	KindWeb   = "web"
)

var (
	serviceKinds = []string{KindModel, KindWeb}
	classes      = []string{string(api.ClassQuick), string(api.ClassLong), string(api.ClassFetch)}
	validName    = regexp.MustCompile(`^[A-Za-z0-9._:/@+-]+$`)
)

// Validate judges the document's meaning. The error is a *Problems with all of
// what is wrong.
func (d *Document) Validate() error {
	check := &validation{document: d}
	check.counts()
	check.regions()
	check.services()
	check.routes()
	check.clients()
	check.homes()
	check.tenants()
	check.limits()
	check.http()
	return check.found.err()
}

// validation is one run of Validate.
type validation struct {
	document *Document
	found    report
}

// problem reports what is wrong with the field at a path.
func (v *validation) problem(path, reason string, values ...any) {
	v.found.add(Problem{Line: v.document.lines[path], Field: path, Reason: fmt.Sprintf(reason, values...)})
}

// reference requires that a name is the key of something.
func reference[T any](v *validation, path, what, name string, defined map[string]T) {
	if _, known := defined[name]; known {
		return
	}
	problem := Problem{Line: v.document.lines[path], Field: path, Reason: fmt.Sprintf("no %s %q", what, name)}
	v.found.addUnknown(problem, name, slices.Collect(maps.Keys(defined)))
}

// oneOf requires one of a few values.
func (v *validation) oneOf(path, value string, valid []string) {
	if slices.Contains(valid, value) {
		return
	}
	problem := Problem{Line: v.document.lines[path], Field: path, Reason: fmt.Sprintf("%q is not one of %q", value, valid)}
	v.found.addUnknown(problem, value, valid)
}

func (v *validation) name(path, name string) {
	switch {
	case name == "":
		v.problem(path, "name is empty")
	case len(name) > api.MaxNameBytes:
		v.problem(path, "name of %d bytes, at most %d", len(name), api.MaxNameBytes)
	case !validName.MatchString(name):
		v.problem(path, `name %q has other characters than letters, digits and "-._:/@+"`, name)
	}
}

func (v *validation) between(path string, value, low, high int) {
	if value < low || value > high {
		v.problem(path, "%d is not between %d and %d", value, low, high)
	}
}

func (v *validation) counts() {
	zones := 0
	for _, region := range v.document.Regions {
		zones += len(region.Zones)
	}
	bounds := []struct {
		path         string
		count, limit int
	}{
		{"regions", len(v.document.Regions), MaxRegions},
		{"regions", zones, MaxZones},
		{"services", len(v.document.Services), MaxServices},
		{"routes", len(v.document.Routes), MaxRoutes},
		{"clients", len(v.document.Clients), MaxClients},
		{"homes", len(v.document.Homes), MaxHomes},
		{"tenants", len(v.document.Tenants), MaxTenants},
	}
	for i, bound := range bounds {
		what := bound.path
		if i == 1 {
			what = "zones"
		}
		if bound.count > bound.limit {
			v.problem(bound.path, "%d %s, at most %d", bound.count, what, bound.limit)
		}
	}
}

func (v *validation) regions() {
	regions := v.document.Regions
	if len(regions) == 0 {
		v.problem("regions", "there must be at least one region")
	}
	owner := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(regions)) {
		region, path := regions[name], join("regions", name)
		v.name(path, name)
		if len(region.Zones) == 0 {
			v.problem(path+".zones", "region %q has no zone", name)
		}
		v.zones(path+".zones", name, region.Zones, owner)
		v.spill(path+".spill", name, region.Spill)
		v.between(path+".capacity", region.Capacity, 1, MaxCapacity)
	}
}

// zones requires that each zone is in one region, once.
func (v *validation) zones(path, region string, zones []string, owner map[string]string) {
	for i, zone := range zones {
		entry := fmt.Sprintf("%s[%d]", path, i)
		v.name(entry, zone)
		if other, taken := owner[zone]; taken {
			v.problem(entry, "zone %q is already in region %q", zone, other)
			continue
		}
		owner[zone] = region
	}
}

func (v *validation) spill(path, region string, targets []string) {
	seen := map[string]bool{}
	for i, target := range targets {
		entry := fmt.Sprintf("%s[%d]", path, i)
		switch {
		case target == region:
			v.problem(entry, "region %q spills to itself", region)
		case seen[target]:
			v.problem(entry, "region %q is listed twice", target)
		default:
			reference(v, entry, "region", target, v.document.Regions)
		}
		seen[target] = true
	}
}

func (v *validation) services() {
	for _, name := range slices.Sorted(maps.Keys(v.document.Services)) {
		service, path := v.document.Services[name], join("services", name)
		v.name(path, name)
		v.oneOf(path+".kind", service.Kind, serviceKinds)
		v.between(path+".max_concurrency", service.MaxConcurrency, 1, MaxConcurrency)
	}
}

func (v *validation) routes() {
	for _, name := range slices.Sorted(maps.Keys(v.document.Routes)) {
		route, path := v.document.Routes[name], join("routes", name)
		v.name(path, name)
		reference(v, path+".service", "service", route.Service, v.document.Services)
		if route.Class != "" {
			v.oneOf(path+".class", route.Class, classes)
		}
		if route.Home != "" {
			reference(v, path+".home", "home", route.Home, v.document.Homes)
		}
		v.between(path+".weight", route.Weight, 0, MaxWeight)
	}
}

func (v *validation) clients() {
	for _, name := range slices.Sorted(maps.Keys(v.document.Clients)) {
		path := join("clients", name)
		v.name(path, name)
		reference(v, path, "region", v.document.Clients[name], v.document.Regions)
	}
}

func (v *validation) homes() {
	for _, name := range slices.Sorted(maps.Keys(v.document.Homes)) {
		path := join("homes", name)
		v.name(path, name)
		seen := map[string]bool{}
		served := false
		for i, region := range v.document.Homes[name] {
			entry := fmt.Sprintf("%s[%d]", path, i)
			if seen[region] {
				v.problem(entry, "region %q is listed twice", region)
				continue
			}
			seen[region] = true
			_, known := v.document.Regions[region]
			served = served || known
			reference(v, entry, "region", region, v.document.Regions)
		}
		if !served {
			v.problem(path, "no region serves home %q", name)
		}
	}
}

func (v *validation) tenants() {
	for _, name := range slices.Sorted(maps.Keys(v.document.Tenants)) {
		tenant, path := v.document.Tenants[name], join("tenants", name)
		v.name(path, name)
		if tenant.Home != "" {
			reference(v, path+".home", "home", tenant.Home, v.document.Homes)
		}
		v.between(path+".weight", tenant.Weight, 0, MaxWeight)
	}
}

// limits checks the set points; zero stands for the default of each.
func (v *validation) limits() {
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
			v.problem(ratio.path, "%v is not between %v and %v", ratio.value, ratio.low, ratio.high)
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
			v.between(count.path, count.value, count.low, count.high)
		}
	}
}
