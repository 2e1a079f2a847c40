package routemap

import (
	"cmp"
	"slices"
	"strings"
)

// Table finds the route of a request. It is immutable and safe for concurrent use.
type Table struct {
	byHost map[string][]*Route // longest prefix first
}

// NewTable returns a table of routes, which must be valid and must not be modified
// afterwards.
func NewTable(routes []Route) *Table {
	table := &Table{byHost: make(map[string][]*Route)}
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		table.byHost[host] = append(table.byHost[host], &routes[i])
	}
	for _, sameHost := range table.byHost {
		slices.SortFunc(sameHost, func(a, b *Route) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	return table
}

// Lookup returns the route of the host with the longest path prefix that matches, or nil
// if there is none. host may include a port.
func (t *Table) Lookup(host, path string) *Route {
	name, _, _ := strings.Cut(host, ":")
	for _, route := range t.byHost[strings.ToLower(name)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// PickService returns the service of one target. The probability of a target is
// proportional to its weight; draw is a random number in [0, 1) that determines the
// choice.
func (r *Route) PickService(draw float64) string {
	total := 0
	for _, target := range r.Targets {
		total += target.Weight
	}
	remaining := int(draw * float64(total))
	for _, target := range r.Targets {
		remaining -= target.Weight
		if remaining < 0 {
			return target.Service
		}
	}
	return ""
}
