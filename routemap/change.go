package routemap

// Change changes named routes and services of a map and leaves the others.
type Change struct {
	// Version is that of the changed map.
	Version uint64 `cbor:"1,keyasint"`
	// Routes and Services are added, or take the place of those of their names.
	Routes   []Route   `cbor:"2,keyasint,omitempty"`
	Services []Service `cbor:"3,keyasint,omitempty"`
	// RemovedRoutes and RemovedServices name what goes; names that the map does not
	// have are ignored.
	RemovedRoutes   []string `cbor:"4,keyasint,omitempty"`
	RemovedServices []string `cbor:"5,keyasint,omitempty"`
}

// Apply returns the map with the change made, not yet validated. The map itself
// stays as it is.
func (m *Map) Apply(change *Change) *Map {
	return &Map{
		Version:  change.Version,
		Routes:   upsert(m.Routes, change.Routes, change.RemovedRoutes, func(r *Route) string { return r.Name }),
		Services: upsert(m.Services, change.Services, change.RemovedServices, func(s *Service) string { return s.Name }),
		Limits:   m.Limits,
	}
}

// upsert returns the items with some replaced, removed and added.
func upsert[Item any](items, upserted []Item, removed []string, name func(*Item) string) []Item {
	gone := make(map[string]bool, len(removed))
	for _, each := range removed {
		gone[each] = true
	}
	result := make([]Item, 0, len(items)+len(upserted))
	positions := make(map[string]int, len(items))
	for i := range items {
		each := name(&items[i])
		if gone[each] {
			continue
		}
		positions[each] = len(result)
		result = append(result, items[i])
	}
	for i := range upserted {
		if at, found := positions[name(&upserted[i])]; found {
			result[at] = upserted[i]
			continue
		}
		result = append(result, upserted[i])
	}
	return result
}
