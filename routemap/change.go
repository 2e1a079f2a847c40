package routemap

// Change adds, replaces and removes routes and services of a map by name. Others stay
// unchanged.
type Change struct {
	// Version is the version of the resulting map.
	Version uint64 `cbor:"1,keyasint"`
	// Routes and Services are added to the map, or replace those with the same names.
	Routes   []Route   `cbor:"2,keyasint,omitempty"`
	Services []Service `cbor:"3,keyasint,omitempty"`
	// RemovedRoutes and RemovedServices are the names of the routes and services to
	// remove. Names that are not in the map are ignored.
	RemovedRoutes   []string `cbor:"4,keyasint,omitempty"`
	RemovedServices []string `cbor:"5,keyasint,omitempty"`
}

// Apply returns a changed copy of the map, which it does not validate. It does not modify
// m itself.
func (m *Map) Apply(change *Change) *Map {
	return &Map{
		Version:  change.Version,
		Routes:   upsert(m.Routes, change.Routes, change.RemovedRoutes, func(r *Route) string { return r.Name }),
		Services: upsert(m.Services, change.Services, change.RemovedServices, func(s *Service) string { return s.Name }),
		Limits:   m.Limits,
	}
}

// upsert returns a copy of items without those whose names are in removed. The upserted
// items replace those with the same names in their positions, or are appended.
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
