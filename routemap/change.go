package routemap

// Change changes named routes and services of a map and leaves the others.
type Change struct {
	// Version is the version of the resulting map.
	Version uint64 `cbor:"1,keyasint"`
	// Routes and Services are added, or replace those of the same names.
	Routes   []Route   `cbor:"2,keyasint,omitempty"`
	Services []Service `cbor:"3,keyasint,omitempty"`
	// RemovedRoutes and RemovedServices are the names to remove. Names that the map
	// does not have are ignored.
	RemovedRoutes   []string `cbor:"4,keyasint,omitempty"`
	RemovedServices []string `cbor:"5,keyasint,omitempty"`
}

// Apply returns the changed map, not yet validated. It does not modify the map
// itself.
func (m *Map) Apply(change *Change) *Map {
	return &Map{
		Version:  change.Version,
		Routes:   upsert(m.Routes, change.Routes, change.RemovedRoutes, func(r *Route) string { return r.Name }),
		Services: upsert(m.Services, change.Services, change.RemovedServices, func(s *Service) string { return s.Name }),
		Limits:   m.Limits,
	}
}

// upsert returns a copy of the items with some removed, replaced in their positions,
// and added at the end.
func upsert[Item any](items, upserted []Item, removed []string, nameOf func(*Item) string) []Item {
	removals := make(map[string]bool, len(removed))
	for _, name := range removed {
		removals[name] = true
	}
	result := make([]Item, 0, len(items)+len(upserted))
	positions := make(map[string]int, len(items))
	for i := range items {
		name := nameOf(&items[i])
		if removals[name] {
			continue
		}
		positions[name] = len(result)
		result = append(result, items[i])
	}
	for i := range upserted {
		if position, found := positions[nameOf(&upserted[i])]; found {
			result[position] = upserted[i]
			continue
		}
		result = append(result, upserted[i])
	}
	return result
}
