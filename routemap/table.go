package routemap

import (
	"cmp"
	"slices"
	"strings"
)

// Table finds the route of a request. It is immutable.
type Table struct {
	byHost map[string][]*Route // longest prefix first
}

// NewTable returns the table of valid routes.
func NewTable(routes []Route) *Table {
	table := &Table{byHost: make(map[string][]*Route)}
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		table.byHost[host] = append(table.byHost[host], &routes[i])
	}
	for _, list := range table.byHost {
		slices.SortFunc(list, func(a, b *Route) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	return table
}

// Lookup returns the route with the longest prefix of the path at the host, nil
// if there is none. host may carry a port.
func (t *Table) Lookup(host, path string) *Route {
	name, _, _ := strings.Cut(host, ":")
	for _, route := range t.byHost[strings.ToLower(name)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// Pick chooses one of the targets by weight. draw is in [0, 1).
func (r *Route) Pick(draw float64) string {
	total := 0
	for _, target := range r.Targets {
		total += target.Weight
	}
	rest := int(draw * float64(total))
	for _, target := range r.Targets {
		rest -= target.Weight
		if rest < 0 {
			return target.Service
		}
	}
	return ""
}
